//! The client of the command line: it asks a running controller for its status.

use crate::http::{Client, RequestError};
use crate::status::{JSON_CONTENT_TYPE, STATUS_PATH, Status};
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of the whole request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a controller's status cannot be shown.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The async runtime cannot be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// No connection could be made, for example because no process listens at the address.
    #[error("{0} can't be reached (is it the address of mesh_addr?)")]
    Unreachable(SocketAddr),
    /// The answer took too long, or the connection failed. Holds the address and the timeout in seconds.
    #[error("{0} gives no answer within {1} s")]
    NoAnswer(SocketAddr, u64),
    /// The answer has a status other than 200.
    #[error("{address} answers with status {status}")]
    Refused {
        /// The `mesh_addr` that the request was sent to.
        address: SocketAddr,
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The answer cannot be parsed; the controller may run another version.
    #[error("{0} answers what this version can't read: {1}")]
    Unreadable(SocketAddr, serde_json::Error),
}

/// Asks the controller with this `mesh_addr` for its status.
pub fn fetch_status(address: SocketAddr) -> Result<Status, StatusError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StatusError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, request_status(address))
}

async fn request_status(address: SocketAddr) -> Result<Status, StatusError> {
    let client = Client::new(address, JSON_CONTENT_TYPE, 1);
    let answer = client
        .send(Method::GET, STATUS_PATH, Vec::new(), STATUS_TIMEOUT)
        .await;
    let (status, body) = answer.map_err(|error| match error {
        RequestError::NotSent => StatusError::Unreachable(address),
        RequestError::OutcomeUnknown => StatusError::NoAnswer(address, STATUS_TIMEOUT.as_secs()),
    })?;
    if status != 200 {
        return Err(StatusError::Refused { address, status });
    }
    serde_json::from_slice(&body).map_err(|error| StatusError::Unreadable(address, error))
}
