//! Submissions with unusual bodies: fields that are missing, null or of the wrong type, impossible resource
//! demands, and dependencies that were never accepted, that are the job itself, or that number in the
//! hundreds.

use super::users::RequestKind;
use super::{Event, Requester, World};
use ochredrum::core::effects::{Input, RequestId, UserRequest};
use ochredrum::ids::JobId;
use ochredrum::wire::{JobSpec, encode, parse_submission};
use rand::Rng;
use serde_json::{Value, json};

/// Seconds between unusual requests.
const UNUSUAL_REQUEST_INTERVAL_S: f64 = 0.7;
/// The required fields of a submission.
const REQUIRED_FIELDS: [&str; 17] = [
    "nameId",
    "herd",
    "crew",
    "shape",
    "urgency",
    "beats",
    "cores",
    "cards",
    "memGb",
    "pressing",
    "sizeGb",
    "samePlace",
    "apart",
    "loaners",
    "expectS",
    "markEveryS",
    "markS",
];

/// Number of variants of malformed submissions.
const MALFORMED_FORMS: i32 = 4;
/// Number of variants of well-formed submissions that cannot be accepted.
const IMPOSSIBLE_FORMS: i32 = 4;

/// The outcome that an unusual submission must have.
enum ExpectedOutcome {
    /// Its body cannot be parsed as a submission, which a controller answers with status 400.
    Malformed,
    /// It is well formed, but no controller may accept it.
    Refused,
    /// It is accepted, because only its form is unusual.
    Accepted,
}

/// The body of a valid submission.
fn valid_submission(id: &JobId) -> Value {
    json!({"nameId": id, "herd": "batch", "crew": "red", "shape": "sweep", "urgency": "standard",
        "beats": 2, "cores": 4.0, "cards": 2.0, "memGb": 16.0, "pressing": "img", "sizeGb": 8.0,
        "breeds": null, "yard": null, "samePlace": false, "apart": false, "loaners": false,
        "expectS": 5.0, "markEveryS": 0.0, "markS": 0.0, "dueS": null})
}

/// A malformed submission. `choice` selects the variant and is below [`MALFORMED_FORMS`].
fn malformed_submission(id: &JobId, choice: i32, field: &str) -> Value {
    let mut body = valid_submission(id);
    match choice {
        0 => {
            body.as_object_mut().map(|body| body.remove(field));
        }
        1 => body[field] = Value::Null,
        2 => body[field] = json!([1, {"a": "b"}]),
        _ => body["awaits"] = json!(["req-000001", 7]),
    }
    body
}

/// A well-formed submission that cannot be accepted. `choice` selects the variant and is below
/// [`IMPOSSIBLE_FORMS`].
fn impossible_submission(id: &JobId, choice: i32) -> Value {
    let mut body = valid_submission(id);
    match choice {
        0 => body["awaits"] = json!(["req-899999"]),
        1 => body["awaits"] = json!([id]),
        2 => {
            let never: Vec<String> = (0..700).map(|n| format!("req-8{n:05}")).collect();
            body["awaits"] = json!(never);
        }
        _ => body["cards"] = json!(1000.0),
    }
    body
}

/// A valid submission whose 500 dependencies repeat jobs that are done.
fn submission_with_repeated_dependencies(id: &JobId, done: &[JobId]) -> Value {
    let mut body = valid_submission(id);
    let dependencies: Vec<&JobId> = done.iter().cycle().take(500).collect();
    body["awaits"] = json!(dependencies);
    body
}

impl World {
    /// Sends one unusual request and schedules the next, until the time `until`.
    pub(super) fn unusual_request(&mut self, until: f64) {
        if self.now > until {
            return;
        }
        self.schedule_after(UNUSUAL_REQUEST_INTERVAL_S, Event::UnusualRequest { until });
        let id = self.users.create_unusual_job_id();
        let done = self.users.done_arrays();
        let field = REQUIRED_FIELDS[self.rng.random_range(0..REQUIRED_FIELDS.len())];
        let forms = MALFORMED_FORMS + IMPOSSIBLE_FORMS + 1;
        let choice = self.rng.random_range(0..forms);
        if choice < MALFORMED_FORMS {
            let body = malformed_submission(&id, choice, field);
            self.send_unusual(&body, ExpectedOutcome::Malformed);
        } else if choice < MALFORMED_FORMS + IMPOSSIBLE_FORMS {
            let body = impossible_submission(&id, choice - MALFORMED_FORMS);
            self.send_unusual(&body, ExpectedOutcome::Refused);
        } else if !done.is_empty() {
            let body = submission_with_repeated_dependencies(&id, &done);
            self.send_unusual(&body, ExpectedOutcome::Accepted);
        }
    }

    /// Parses a body as a controller does, checks the outcome, and submits the job if the body is well
    /// formed.
    fn send_unusual(&mut self, body: &Value, expected: ExpectedOutcome) {
        let parsed = parse_submission(&encode(body));
        let malformed = matches!(expected, ExpectedOutcome::Malformed);
        self.counters.unusual_requests += 1;
        let Ok((id, spec)) = parsed else {
            if !malformed {
                self.record_violation(
                    "valid_submission_refused",
                    format!("{body} is refused as malformed"),
                );
            }
            return;
        };
        if malformed {
            return self.record_violation(
                "malformed_submission_accepted",
                format!("{body} is parsed as a job"),
            );
        }
        match expected {
            ExpectedOutcome::Accepted => self.submit_unusual(spec),
            _ => {
                let node = self.rng.random_range(0..self.nodes.len());
                let requester = Requester::User {
                    job: None,
                    kind: RequestKind::Unusual,
                    sent_at: self.now,
                };
                let request = UserRequest::Submit(id, Box::new(spec));
                self.deliver_request(node, requester, Input::User(RequestId(0), request));
            }
        }
    }

    /// Adds a user who submits the job under a new id and polls it.
    fn submit_unusual(&mut self, spec: JobSpec) {
        let run_s = self.rng.random_range(1.0..4.0);
        self.add_job(self.now, spec, run_s);
    }
}
