//! The input handlers of [`Core`](crate::core::Core), which connect the parts of its state. There is a module
//! for each kind of exchange, for example with users, workers, siblings, the store, the cloud and operators.

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
