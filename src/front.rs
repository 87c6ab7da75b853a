//! The listener for users, workers and health checks.

use crate::core::effects::{Answer, Body, UserRequest};
use crate::http::{self, BodyError, Reply};
use crate::ids::JobId;
use crate::inbox::{Inbox, Question};
use crate::wire::{BODY_LIMIT, Heartbeat, decode, encode, parse_submission, valid_job_id};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request};
use std::rc::Rc;
use std::time::Duration;

pub const MESSAGE_PACK: &str = "application/msgpack";

#[derive(Debug, PartialEq, Eq)]
enum Route<'a> {
    Submit,
    Poll(&'a str),
    Cancel(&'a str),
    Heartbeat,
    Health,
    WrongMethod,
    Unknown,
}

fn route<'a>(method: &Method, path: &'a str) -> Route<'a> {
    let (wanted, route) = match path {
        "/v1/jobs" => (Method::POST, Route::Submit),
        "/checkin" => (Method::POST, Route::Heartbeat),
        "/healthz" => (Method::GET, Route::Health),
        _ => {
            let Some(rest) = path.strip_prefix("/v1/jobs/") else {
                return Route::Unknown;
            };
            match rest.split_once('/') {
                None if !rest.is_empty() => (Method::GET, Route::Poll(rest)),
                Some((id, "withdraw")) if !id.is_empty() => (Method::POST, Route::Cancel(id)),
                _ => return Route::Unknown,
            }
        }
    };
    if *method == wanted {
        route
    } else {
        Route::WrongMethod
    }
}

pub async fn handle(inbox: Rc<Inbox>, request: Request<Incoming>, read: Duration) -> Reply {
    let path = request.uri().path().to_owned();
    let question = match route(request.method(), &path) {
        Route::Unknown => return to_reply(Answer::empty(404)),
        Route::WrongMethod => return to_reply(Answer::empty(405)),
        Route::Health => Question::Health,
        Route::Poll(id) if valid_job_id(id) => Question::User(UserRequest::Poll(JobId::from(id))),
        Route::Cancel(id) if valid_job_id(id) => {
            Question::User(UserRequest::Cancel(JobId::from(id)))
        }
        // No job has such an id.
        Route::Poll(_) | Route::Cancel(_) => return to_reply(Answer::empty(404)),
        Route::Submit => match http::read_body(request.into_body(), BODY_LIMIT, read).await {
            Ok(body) => match parse_submission(&body) {
                Ok((id, spec)) => Question::User(UserRequest::Submit(id, Box::new(spec))),
                Err(e) => return refuse(&e.to_string()),
            },
            Err(e) => return refuse_body(e),
        },
        Route::Heartbeat => match http::read_body(request.into_body(), BODY_LIMIT, read).await {
            Ok(body) => match parse_report(&body) {
                Some(heartbeat) => Question::Heartbeat(Box::new(heartbeat)),
                None => return refuse("not a report"),
            },
            Err(e) => return refuse_body(e),
        },
    };
    to_reply(inbox.ask(question).await)
}

fn parse_report(body: &Bytes) -> Option<Heartbeat> {
    decode(body)
}

fn refuse(problem: &str) -> Reply {
    to_reply(Answer::value(400, serde_json::json!({"error": problem})))
}

/// After a body that was not read to its end the connection cannot be used again.
fn refuse_body(error: BodyError) -> Reply {
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

fn to_reply(answer: Answer) -> Reply {
    let body = match &answer.body {
        Body::Empty => encode(&serde_json::json!({})),
        Body::Value(value) => encode(value),
        Body::HeartbeatResponse(commands) => encode(commands),
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
