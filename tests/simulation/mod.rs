//! Tests that run whole simulations, by subject.

mod failover;
mod generated_days;
mod grants;
mod load;
mod machine_types;
mod scenario_files;
