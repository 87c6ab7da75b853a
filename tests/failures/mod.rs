//! What a failed controller costs: how soon it is noticed and its share handed on, and how many tasks end
//! with the leases of workers whose machines are well.

mod load;
mod measure;
mod pairs;
mod table;
