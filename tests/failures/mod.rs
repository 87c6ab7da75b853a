//! What a failed controller costs: how soon it is suspected and its shard fails over, and how many tasks are lost with
//! the leases of workers on healthy machines.

mod load;
mod measure;
mod pairs;
mod table;
