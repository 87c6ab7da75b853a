//! The operators' commands: they ask a running controller and print what it answers.

use crate::http::{Client, Failure};
use crate::status::{JSON, PATH, Status};
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an answer is waited for.
const DEADLINE: Duration = Duration::from_secs(5);

/// Why an operator gets no answer.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The runtime can't be had.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// Nobody listens there.
    #[error("{0} can't be reached (is it the address of mesh_addr?)")]
    Unreachable(SocketAddr),
    /// It took too long, or the connection broke.
    #[error("{0} gives no answer within {1} s")]
    NoAnswer(SocketAddr, u64),
    /// It answers something else.
    #[error("{address} answers with status {status}")]
    Refused {
        /// Who was asked.
        address: SocketAddr,
        /// What it answered.
        status: u16,
    },
    /// The answer can't be read: another version, perhaps.
    #[error("{0} answers what this version can't read: {1}")]
    Unreadable(SocketAddr, serde_json::Error),
}

/// Asks the controller whose `mesh_addr` this is.
pub fn status(address: SocketAddr) -> Result<Status, OperatorError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(OperatorError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, ask_status(address))
}

async fn ask_status(address: SocketAddr) -> Result<Status, OperatorError> {
    let client = Client::new(address, JSON, 1);
    let answer = client.send(Method::GET, PATH, Vec::new(), DEADLINE).await;
    let (status, body) = answer.map_err(|failure| match failure {
        Failure::NotSent => OperatorError::Unreachable(address),
        Failure::Unknown => OperatorError::NoAnswer(address, DEADLINE.as_secs()),
    })?;
    if status != 200 {
        return Err(OperatorError::Refused { address, status });
    }
    serde_json::from_slice(&body).map_err(|error| OperatorError::Unreadable(address, error))
}
