//! Cost of a failed controller: the time until it is suspected and its shard fails over, and the number of
//! tasks that are lost because leases of workers on healthy machines expire.

mod load;
mod measure;
mod pairs;
mod table;
