//! ochredrum: a scheduler for fleets of machines that serve language models.
//!
//! The library has two parts. [`core`] makes all decisions and does no I/O. The other modules convert
//! messages into inputs of the core, and effects of the core into requests. See `docs/design.md`.

pub mod cli;
pub mod cloud_client;
pub mod config;
pub mod core;
pub mod features;
pub mod front;
pub mod http;
pub mod ids;
pub mod inbox;
pub mod mesh;
pub mod serde_defaults;
pub mod service;
pub mod status;
pub mod status_client;
pub mod step_watchdog;
pub mod store_client;
pub mod wire;
pub mod worker_client;
