//! Requests that no well-behaved user sends, as bodies on the wire: fields that are missing, null or of
//! the wrong type, and dependencies that were never accepted, are the job itself, or are hundreds.

use super::users::RequestKind;
use super::{Asker, Event, World};
use ochredrum::core::effects::{Input, RequestId, UserRequest};
use ochredrum::ids::JobId;
use ochredrum::wire::{JobSpec, encode, parse_submission};
use rand::Rng;
use serde_json::{Value, json};

const EVERY_S: f64 = 0.7;
const REQUIRED: [&str; 17] = [
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

/// What becomes of an odd request.
enum ExpectedOutcome {
    /// 400: it is not even a job.
    Malformed,
    /// Never accepted, nor refused as malformed.
    Refused,
    /// Accepted: odd in form only.
    Accepted,
}

fn plain(id: &JobId) -> Value {
    json!({"nameId": id, "herd": "batch", "crew": "red", "shape": "sweep", "urgency": "standard",
        "beats": 2, "cores": 4.0, "cards": 2.0, "memGb": 16.0, "pressing": "img", "sizeGb": 8.0,
        "breeds": null, "yard": null, "samePlace": false, "apart": false, "loaners": false,
        "expectS": 5.0, "markEveryS": 0.0, "markS": 0.0, "dueS": null})
}

impl World {
    pub(super) fn unusual_request(&mut self, until: f64) {
        if self.now > until {
            return;
        }
        self.after(EVERY_S, Event::UnusualRequest { until });
        let id = self.users.next_unusual_id();
        let accepted = self.users.accepted_arrays();
        let mut body = plain(&id);
        let field = REQUIRED[self.rng.random_range(0..REQUIRED.len())];
        let expected = match self.rng.random_range(0..9) {
            0 => {
                body.as_object_mut().map(|body| body.remove(field));
                ExpectedOutcome::Malformed
            }
            1 => {
                body[field] = Value::Null;
                ExpectedOutcome::Malformed
            }
            2 => {
                body[field] = json!([1, {"a": "b"}]);
                ExpectedOutcome::Malformed
            }
            3 => {
                body["awaits"] = json!(["req-000001", 7]);
                ExpectedOutcome::Malformed
            }
            4 => {
                body["awaits"] = json!(["req-899999"]);
                ExpectedOutcome::Refused
            }
            5 => {
                body["awaits"] = json!([id]);
                ExpectedOutcome::Refused
            }
            6 => {
                let never: Vec<String> = (0..700).map(|n| format!("req-8{n:05}")).collect();
                body["awaits"] = json!(never);
                ExpectedOutcome::Refused
            }
            7 => {
                body["cards"] = json!(1000.0);
                ExpectedOutcome::Refused
            }
            _ if accepted.is_empty() => return,
            _ => {
                let needed: Vec<&JobId> = accepted.iter().cycle().take(500).collect();
                body["awaits"] = json!(needed);
                ExpectedOutcome::Accepted
            }
        };
        self.send_unusual(&body, expected);
    }

    fn send_unusual(&mut self, body: &Value, expected: ExpectedOutcome) {
        let parsed = parse_submission(&encode(body));
        let malformed = matches!(expected, ExpectedOutcome::Malformed);
        self.work.unusual_requests += 1;
        let Ok((id, spec)) = parsed else {
            if !malformed {
                self.record_violation("odd_refused", format!("{body} is called malformed"));
            }
            return;
        };
        if malformed {
            return self.record_violation("odd_accepted", format!("{body} is taken for a job"));
        }
        match expected {
            ExpectedOutcome::Accepted => self.submit_unusual(spec),
            _ => {
                let node = self.rng.random_range(0..self.nodes.len());
                let asker = Asker::User {
                    job: None,
                    kind: RequestKind::Unusual,
                    asked: self.now,
                };
                let what = UserRequest::Submit(id, Box::new(spec));
                self.ask_node(node, asker, Input::User(RequestId(0), what));
            }
        }
    }

    fn submit_unusual(&mut self, spec: JobSpec) {
        let run_s = self.rng.random_range(1.0..4.0);
        self.add_job(self.now, spec, run_s);
    }
}
