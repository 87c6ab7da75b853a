//! The operators' client: it asks a running controller for its status.

use crate::http::{Client, RequestError};
use crate::status::{JSON_CONTENT_TYPE, STATUS_PATH, Status};
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an answer is waited for.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Why an operator gets no answer.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The runtime can't be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// No process listens at the address.
    #[error("{0} can't be reached (is it the address of mesh_addr?)")]
    Unreachable(SocketAddr),
    /// The answer took too long, or the connection failed. The number is the timeout in seconds.
    #[error("{0} gives no answer within {1} s")]
    NoAnswer(SocketAddr, u64),
    /// The answer is not a success.
    #[error("{address} answers with status {status}")]
    Refused {
        /// The address that was asked.
        address: SocketAddr,
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The answer can't be parsed; the controller may run another version.
    #[error("{0} answers what this version can't read: {1}")]
    Unreadable(SocketAddr, serde_json::Error),
}

/// Asks the controller with this `mesh_addr` for its status.
pub fn status(address: SocketAddr) -> Result<Status, OperatorError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(OperatorError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, request_status(address))
}

async fn request_status(address: SocketAddr) -> Result<Status, OperatorError> {
    let client = Client::new(address, JSON_CONTENT_TYPE, 1);
    let answer = client
        .send(Method::GET, STATUS_PATH, Vec::new(), TIMEOUT)
        .await;
    let (status, body) = answer.map_err(|error| match error {
        RequestError::NotSent => OperatorError::Unreachable(address),
        RequestError::Unknown => OperatorError::NoAnswer(address, TIMEOUT.as_secs()),
    })?;
    if status != 200 {
        return Err(OperatorError::Refused { address, status });
    }
    serde_json::from_slice(&body).map_err(|error| OperatorError::Unreadable(address, error))
}
