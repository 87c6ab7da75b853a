//! The listener for users, workers and health checks (MessagePack over HTTP).
//!
//! Protocol words: the paths (`/v1/jobs`, `withdraw` for cancelling, `/checkin` for heartbeats,
//! `/healthz`).

use crate::core::effects::{Answer, Body, UserRequest};
use crate::http::{self, BodyError, Reply};
use crate::ids::JobId;
use crate::inbox::{ExternalRequest, Inbox};
use crate::wire::{
    BODY_LIMIT, Heartbeat, SubmissionError, decode, encode, is_valid_job_id, parse_submission,
};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request};
use std::rc::Rc;
use std::time::Duration;

/// The content type of all messages of the protocol.
pub const MESSAGE_PACK: &str = "application/msgpack";

/// What a method and path ask for; ids of jobs are not checked yet.
#[derive(Debug, PartialEq, Eq)]
enum Route<'a> {
    Submit,
    Poll(&'a str),
    Cancel(&'a str),
    Heartbeat,
    Health,
    /// The path exists, but not with this method.
    WrongMethod,
    Unknown,
}

fn route<'a>(method: &Method, path: &'a str) -> Route<'a> {
    let (expected, route) = match path {
        "/v1/jobs" => (Method::POST, Route::Submit),
        "/checkin" => (Method::POST, Route::Heartbeat),
        "/healthz" => (Method::GET, Route::Health),
        _ => match job_route(path) {
            Some(found) => found,
            None => return Route::Unknown,
        },
    };
    if *method == expected {
        route
    } else {
        Route::WrongMethod
    }
}

/// The method and route of a path below one job.
fn job_route(path: &str) -> Option<(Method, Route<'_>)> {
    let rest = path.strip_prefix("/v1/jobs/")?;
    match rest.split_once('/') {
        None if !rest.is_empty() => Some((Method::GET, Route::Poll(rest))),
        Some((id, "withdraw")) if !id.is_empty() => Some((Method::POST, Route::Cancel(id))),
        _ => None,
    }
}

/// Why a request is refused before it reaches the core.
enum Refusal {
    /// No such path, or no job can have such an id.
    NotFound,
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// The body was not read to its end.
    UnreadBody(BodyError),
    /// The body is not a submission; the user is told why.
    InvalidSubmission(SubmissionError),
    /// The body is not a heartbeat.
    InvalidHeartbeat,
}

impl Refusal {
    fn into_reply(self) -> Reply {
        match self {
            Self::NotFound => to_reply(Answer::empty(404)),
            Self::MethodNotAllowed => to_reply(Answer::empty(405)),
            Self::UnreadBody(error) => unread_body_reply(error),
            Self::InvalidSubmission(error) => bad_request(&error.to_string()),
            Self::InvalidHeartbeat => bad_request("not a report"),
        }
    }
}

/// After a body that was not read to its end the connection can't be used again, so it is closed.
fn unread_body_reply(error: BodyError) -> Reply {
    let status = match error {
        BodyError::TooLarge | BodyError::Broken => 400,
        BodyError::Slow => 408,
    };
    let mut reply = to_reply(Answer::empty(status));
    reply
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

fn bad_request(problem: &str) -> Reply {
    to_reply(Answer::value(400, serde_json::json!({"error": problem})))
}

/// Answers one request. Its body must arrive within `body_timeout`.
pub async fn handle(inbox: Rc<Inbox>, request: Request<Incoming>, body_timeout: Duration) -> Reply {
    match read_request(request, body_timeout).await {
        Ok(request) => to_reply(inbox.request(request).await),
        Err(refusal) => refusal.into_reply(),
    }
}

/// Reads and validates a request.
async fn read_request(
    request: Request<Incoming>,
    body_timeout: Duration,
) -> Result<ExternalRequest, Refusal> {
    let path = request.uri().path().to_owned();
    match route(request.method(), &path) {
        Route::Unknown => Err(Refusal::NotFound),
        Route::WrongMethod => Err(Refusal::MethodNotAllowed),
        Route::Health => Ok(ExternalRequest::Health),
        Route::Poll(id) => Ok(ExternalRequest::User(UserRequest::Poll(job_id(id)?))),
        Route::Cancel(id) => Ok(ExternalRequest::User(UserRequest::Cancel(job_id(id)?))),
        Route::Submit => submission(&read_body(request, body_timeout).await?),
        Route::Heartbeat => heartbeat(&read_body(request, body_timeout).await?),
    }
}

fn job_id(text: &str) -> Result<JobId, Refusal> {
    if is_valid_job_id(text) {
        Ok(JobId::from(text))
    } else {
        Err(Refusal::NotFound)
    }
}

async fn read_body(request: Request<Incoming>, timeout: Duration) -> Result<Bytes, Refusal> {
    let body = http::read_body(request.into_body(), BODY_LIMIT, timeout).await;
    body.map_err(Refusal::UnreadBody)
}

fn submission(body: &Bytes) -> Result<ExternalRequest, Refusal> {
    let (id, spec) = parse_submission(body).map_err(Refusal::InvalidSubmission)?;
    let submit = UserRequest::Submit(id, Box::new(spec));
    Ok(ExternalRequest::User(submit))
}

fn heartbeat(body: &Bytes) -> Result<ExternalRequest, Refusal> {
    let heartbeat: Heartbeat = decode(body).ok_or(Refusal::InvalidHeartbeat)?;
    Ok(ExternalRequest::Heartbeat(Box::new(heartbeat)))
}

fn to_reply(answer: Answer) -> Reply {
    let body = match &answer.body {
        Body::Empty => encode(&serde_json::json!({})),
        Body::Value(value) => encode(value),
        Body::HeartbeatResponse(response) => encode(response),
        Body::Status(status) => encode(status),
    };
    let mut reply = http::reply(answer.status, body, MESSAGE_PACK);
    if let Some(seconds) = answer.retry_after {
        reply
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    reply
}

#[cfg(test)]
mod tests;
