//! The published protocol's messages, renamed to ordinary terms. MessagePack is spoken only here.

mod cloud;
mod state;
mod users;
mod workers;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub use cloud::*;
pub use state::*;
pub use users::*;
pub use workers::*;

/// The published limit on request bodies.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Why a body is not a submission.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum WireError {
    #[error("not MessagePack")]
    NotMessagePack,
    #[error("not a map")]
    NotMap,
    #[error("{0}: missing or invalid")]
    Field(&'static str),
}

/// A message as MessagePack.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Our own types hold nothing that MessagePack cannot carry; an empty body is refused by peers.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// A message from MessagePack, if that is one.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    rmp_serde::from_slice(body).ok()
}

#[cfg(test)]
mod tests;
