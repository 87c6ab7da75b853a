//! The listener for users, workers and health checks (MessagePack over HTTP).
//!
//! Protocol names: the paths (`/v1/jobs`, `withdraw` for cancelling, `/checkin` for heartbeats,
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

/// The operation that a method and path select. Job ids are not validated yet.
#[derive(Debug, PartialEq, Eq)]
enum Route<'a> {
    Submit,
    Poll(&'a str),
    Cancel(&'a str),
    Heartbeat,
    Health,
    /// The path exists, but not with this method.
    WrongMethod,
    UnknownPath,
}

fn match_route<'a>(method: &Method, path: &'a str) -> Route<'a> {
    let (expected, route) = match path {
        "/v1/jobs" => (Method::POST, Route::Submit),
        "/checkin" => (Method::POST, Route::Heartbeat),
        "/healthz" => (Method::GET, Route::Health),
        _ => match match_job_route(path) {
            Some(found) => found,
            None => return Route::UnknownPath,
        },
    };
    if *method == expected {
        route
    } else {
        Route::WrongMethod
    }
}

/// Returns the expected method and the route of a path below `/v1/jobs/`.
fn match_job_route(path: &str) -> Option<(Method, Route<'_>)> {
    let rest = path.strip_prefix("/v1/jobs/")?;
    match rest.split_once('/') {
        None if !rest.is_empty() => Some((Method::GET, Route::Poll(rest))),
        Some((id, "withdraw")) if !id.is_empty() => Some((Method::POST, Route::Cancel(id))),
        _ => None,
    }
}

/// Why a request is rejected before it reaches the core.
enum Rejection {
    /// The path does not exist, or the job id in it is invalid.
    NotFound,
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// The whole body could not be read.
    UnreadBody(BodyError),
    /// The body is not a valid submission; the answer says why.
    InvalidSubmission(SubmissionError),
    /// The body is not a valid heartbeat.
    InvalidHeartbeat,
}

impl Rejection {
    fn into_reply(self) -> Reply {
        match self {
            Self::NotFound => encode_answer(Answer::empty(404)),
            Self::MethodNotAllowed => encode_answer(Answer::empty(405)),
            Self::UnreadBody(error) => unread_body_reply(error),
            Self::InvalidSubmission(error) => bad_request_reply(&error.to_string()),
            Self::InvalidHeartbeat => bad_request_reply("not a report"),
        }
    }
}

/// Closes the connection: it cannot be used again because part of the body may be unread.
fn unread_body_reply(error: BodyError) -> Reply {
    let status = match error {
        BodyError::TooLarge | BodyError::ConnectionFailed => 400,
        BodyError::TimedOut => 408,
    };
    let mut reply = encode_answer(Answer::empty(status));
    reply
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

fn bad_request_reply(problem: &str) -> Reply {
    encode_answer(Answer::json(400, serde_json::json!({"error": problem})))
}

/// Answers one request, whose body must arrive within `body_timeout`.
pub async fn handle_request(
    inbox: Rc<Inbox>,
    request: Request<Incoming>,
    body_timeout: Duration,
) -> Reply {
    match read_request(request, body_timeout).await {
        Ok(request) => encode_answer(inbox.submit_request(request).await),
        Err(rejection) => rejection.into_reply(),
    }
}

/// Reads and validates a request.
async fn read_request(
    request: Request<Incoming>,
    body_timeout: Duration,
) -> Result<ExternalRequest, Rejection> {
    let path = request.uri().path().to_owned();
    match match_route(request.method(), &path) {
        Route::UnknownPath => Err(Rejection::NotFound),
        Route::WrongMethod => Err(Rejection::MethodNotAllowed),
        Route::Health => Ok(ExternalRequest::Health),
        Route::Poll(id) => {
            let id = parse_job_id(id)?;
            Ok(ExternalRequest::User(UserRequest::Poll(id)))
        }
        Route::Cancel(id) => {
            let id = parse_job_id(id)?;
            Ok(ExternalRequest::User(UserRequest::Cancel(id)))
        }
        Route::Submit => parse_submit_request(&read_body(request, body_timeout).await?),
        Route::Heartbeat => parse_heartbeat(&read_body(request, body_timeout).await?),
    }
}

fn parse_job_id(text: &str) -> Result<JobId, Rejection> {
    if is_valid_job_id(text) {
        Ok(JobId::from(text))
    } else {
        Err(Rejection::NotFound)
    }
}

async fn read_body(request: Request<Incoming>, timeout: Duration) -> Result<Bytes, Rejection> {
    let body = http::read_body(request.into_body(), BODY_LIMIT, timeout).await;
    body.map_err(Rejection::UnreadBody)
}

fn parse_submit_request(body: &Bytes) -> Result<ExternalRequest, Rejection> {
    let (id, spec) = parse_submission(body).map_err(Rejection::InvalidSubmission)?;
    let submit = UserRequest::Submit(id, Box::new(spec));
    Ok(ExternalRequest::User(submit))
}

fn parse_heartbeat(body: &Bytes) -> Result<ExternalRequest, Rejection> {
    let heartbeat: Heartbeat = decode(body).ok_or(Rejection::InvalidHeartbeat)?;
    Ok(ExternalRequest::Heartbeat(Box::new(heartbeat)))
}

fn encode_answer(answer: Answer) -> Reply {
    let body = match &answer.body {
        Body::Empty => encode(&serde_json::json!({})),
        Body::Json(value) => encode(value),
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
