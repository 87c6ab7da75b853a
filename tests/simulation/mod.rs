//! Tests that simulate a whole deployment.

mod best_effort;
mod failover;
mod generated_scenarios;
mod grants;
mod load;
mod machine_types;
mod scenario_files;
