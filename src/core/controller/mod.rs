//! What [`Core`](crate::core::Core) does with each input: the glue between the parts of its state, one module for each
//! exchange (users, workers, siblings, store, cloud, operators).

pub mod acquired_machines;
pub mod catalog;
pub mod deferred_heartbeats;
pub mod failure_detection;
pub mod heartbeat_routing;
pub mod hello;
pub mod inputs;
pub mod machine_claims;
pub mod ownership;
pub mod status;
pub mod store_sync;
pub mod user_requests;
