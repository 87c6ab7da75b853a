//! ochredrum: a scheduler for fleets of machines that serve language models.
//!
//! The library is split in two. [`core`] decides everything and does no I/O; the other modules
//! turn messages into its commands and its effects into requests. See `docs/design.md`.

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
pub mod operator;
pub mod service;
pub mod state_client;
pub mod status;
pub mod wire;
pub mod worker_client;
