//! Records and messages of earlier versions, and what this version makes of them.
//!
//! Each fixture was printed by an example program built inside a checkout of that version: its own
//! types, written by its own `serde_json` and `ciborium` calls; messages as hexadecimal CBOR.
//!
//! - `fixtures/production.json`: commit 4f704a4, named in `deploy/service.toml`, before pipelines.
//! - `fixtures/first_with_pipelines.json`: commit 8e74ff9, the first landing with pipelines.
//! - `fixtures/before_renames/`: commit aa1df23, the last one before Rust's names were changed. Every
//!   form that is stored, sent, read from files or printed: `forms.tsv` tells in each line a kind, a
//!   name, JSON that is read, what is written as JSON where that differs, and the bytes that are sent.
//!
//! What is read and written again to the letter can be read by the version that wrote it first.

#![allow(
    clippy::cast_possible_truncation,
    clippy::indexing_slicing,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    clippy::unwrap_used,
    reason = "a test fails by panicking, and states a whole case in one place"
)]

use ochredrum::core::messages::mesh::{MeshMessage, MeshReply};
use ochredrum::core::records::job_record::JobRecord;
use ochredrum::core::records::process_record::ProcessRecord;
use ochredrum::core::records::shard_map::ShardMapChunk;
use ochredrum::wire::{JobStatus, MachineTypes};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::rc::Rc;

fn fixture() -> Value {
    serde_json::from_str(include_str!("fixtures/production.json")).unwrap()
}

fn rewritten<T: DeserializeOwned + Serialize>(stored: &Value) -> Value {
    serde_json::to_value(serde_json::from_value::<T>(stored.clone()).unwrap()).unwrap()
}

fn resent<T: DeserializeOwned + Serialize>(hex: &Value) -> String {
    let hex = hex.as_str().unwrap();
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    let body: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
    let message: T = ciborium::from_reader(body.as_slice()).unwrap();
    let mut again = Vec::new();
    ciborium::into_writer(&message, &mut again).unwrap();
    again.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn what_production_stored_is_rewritten_as_it_was() {
    let stored = fixture();
    for name in ["job", "job_done", "job_cancelled"] {
        assert_eq!(
            rewritten::<JobRecord>(&stored[name]),
            stored[name],
            "{name}"
        );
    }
    assert_eq!(
        rewritten::<ProcessRecord>(&stored["process"]),
        stored["process"]
    );
    assert_eq!(rewritten::<ShardMapChunk>(&stored["map"]), stored["map"]);
    let types: MachineTypes = serde_json::from_value(stored["types"].clone()).unwrap();
    assert_eq!(types.types[0].gpus, 8.0);
}

#[test]
fn what_production_sent_is_sent_as_it_was() {
    let sent = fixture();
    for name in ["hello", "submit", "cancelled"] {
        assert_eq!(
            resent::<MeshMessage>(&sent[name]),
            sent[name].as_str().unwrap(),
            "{name}"
        );
    }
    for name in ["hello_reply", "answer"] {
        assert_eq!(
            resent::<MeshReply>(&sent[name]),
            sent[name].as_str().unwrap(),
            "{name}"
        );
    }
}

fn pipelines_fixture() -> Value {
    serde_json::from_str(include_str!("fixtures/first_with_pipelines.json")).unwrap()
}

#[test]
fn what_the_first_pipelines_version_stored_is_rewritten_as_it_was() {
    let stored = &pipelines_fixture()["records"];
    for name in ["job", "job_waiting", "job_done", "job_cancelled"] {
        assert_eq!(
            rewritten::<JobRecord>(&stored[name]),
            stored[name],
            "{name}"
        );
    }
    assert_eq!(
        rewritten::<ProcessRecord>(&stored["process"]),
        stored["process"]
    );
    assert_eq!(rewritten::<ShardMapChunk>(&stored["map"]), stored["map"]);
    assert_eq!(rewritten::<MachineTypes>(&stored["types"]), stored["types"]);
    let waiting: JobRecord = serde_json::from_value(stored["job_waiting"].clone()).unwrap();
    let needed = &waiting.spec.as_ref().unwrap().dependencies;
    assert_eq!(*needed, ["req-000007".into(), "req-0000000012".into()]);
    let cancelled: JobRecord = serde_json::from_value(stored["job_cancelled"].clone()).unwrap();
    assert!(cancelled.ended_ms.is_some() && cancelled.terminating.is_some());
}

#[test]
fn what_the_first_pipelines_version_sent_is_sent_as_it_was() {
    let sent = pipelines_fixture();
    let messages = sent["messages"].as_object().unwrap();
    assert_eq!(messages.len(), 7);
    for (name, message) in messages {
        assert_eq!(
            resent::<MeshMessage>(message),
            message.as_str().unwrap(),
            "{name}"
        );
    }
    let replies = sent["replies"].as_object().unwrap();
    assert_eq!(replies.len(), 4);
    for (name, reply) in replies {
        assert_eq!(
            resent::<MeshReply>(reply),
            reply.as_str().unwrap(),
            "{name}"
        );
    }
}

/// To production a record without `j` is a job that it answers for and cancels, but never starts.
#[test]
fn a_job_with_dependencies_has_no_description_for_production() {
    let mut record: JobRecord = serde_json::from_value(fixture()["job"].clone()).unwrap();
    let spec = Rc::make_mut(record.spec.as_mut().unwrap());
    spec.dependencies = vec!["req-000007".into()];
    let stored = serde_json::to_value(&record).unwrap();
    assert!(stored.get("j").is_none() && stored.get("jd").is_some());
    for field in ["s", "at", "n"] {
        assert_eq!(stored[field], fixture()["job"][field]);
    }
    assert_eq!(serde_json::from_value::<JobRecord>(stored).unwrap(), record);
    let cancelled = serde_json::to_value(record.to_cancelled(5)).unwrap();
    assert_eq!(
        cancelled["s"],
        serde_json::to_value(JobStatus::Cancelled).unwrap()
    );
    assert!(cancelled.get("j").is_none() && cancelled.get("jd").is_none());
}

/// What was printed before the renames, of these kinds, is read and written again to the letter.
fn rewritten_unchanged(kinds: &[&str]) {
    let mut seen = std::collections::BTreeSet::new();
    for line in include_str!("fixtures/before_renames/forms.tsv").lines() {
        let [kind, name, read, written, sent] = line.split('\t').collect::<Vec<_>>()[..] else {
            panic!("{line}")
        };
        if kinds.contains(&kind) {
            seen.insert(kind);
            let written = if written.is_empty() { read } else { written };
            assert_eq!(
                rewriter(kind)(read, sent),
                [written, sent],
                "{kind}: {name}"
            );
        }
    }
    assert_eq!(
        seen.len(),
        kinds.len(),
        "kinds without a line: {seen:?} of {kinds:?}"
    );
}

#[test]
fn stored_records_are_rewritten_unchanged() {
    rewritten_unchanged(&["job", "process", "map", "grants", "machine types"]);
}

#[test]
fn messages_between_controllers_are_resent_unchanged() {
    rewritten_unchanged(&["mesh message", "mesh reply", "stage"]);
}

#[test]
fn what_users_send_and_are_told_is_unchanged() {
    rewritten_unchanged(&["submission", "status answer", "state answer"]);
}

#[test]
fn what_workers_send_and_are_told_is_unchanged() {
    rewritten_unchanged(&["report", "report answer", "direct orders", "conductor"]);
}

#[test]
fn what_the_cloud_is_sent_and_tells_is_unchanged() {
    rewritten_unchanged(&["rental", "machine names", "machine list", "machine types"]);
}

#[test]
fn what_the_state_service_is_sent_and_tells_is_unchanged() {
    rewritten_unchanged(&["transaction", "revision", "listing", "changes"]);
    rewritten_unchanged(&["lease life", "lease id"]);
}

#[test]
fn the_status_is_unchanged() {
    rewritten_unchanged(&["status"]);
}

#[test]
fn files_of_settings_and_features_are_read_and_refused_as_before() {
    let settings = include_str!("fixtures/before_renames/settings.toml");
    let features = include_str!("fixtures/before_renames/features.toml");
    let before = include_str!("fixtures/before_renames/places.tsv");
    assert_eq!(all_places(settings, features), before);
}

#[test]
fn printed_schemas_are_unchanged() {
    for (of, before) in [
        (
            "features",
            include_str!("fixtures/before_renames/schema_features.json"),
        ),
        (
            "status",
            include_str!("fixtures/before_renames/schema_status.json"),
        ),
    ] {
        let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_ochredrum"));
        let printed = program.args(["schema", of]).output().unwrap();
        assert!(printed.status.success(), "{of}");
        assert_eq!(String::from_utf8(printed.stdout).unwrap(), before, "{of}");
    }
}

/// How each kind in `fixtures/before_renames/forms.tsv` is read and written. Rust's names stand only here.
fn rewriter(kind: &str) -> fn(&str, &str) -> [String; 2] {
    use ochredrum::wire;
    match kind {
        "job" => stored::<JobRecord>,
        "process" => stored::<ProcessRecord>,
        "map" => stored::<ShardMapChunk>,
        "grants" => |text, _| {
            let ledger = quota_ledger::TeamLedger::decode(&parsed(text)).unwrap();
            [serde_json::to_string(&ledger).unwrap(), String::new()]
        },
        "status" => stored::<ochredrum::status::Status>,
        "stage" => stored::<failure_detector::Stage>,
        "mesh message" => in_cbor::<MeshMessage>,
        "mesh reply" => in_cbor::<MeshReply>,
        "machine types" => in_messagepack::<wire::MachineTypes>,
        "report" => in_messagepack::<wire::Heartbeat>,
        "report answer" => in_messagepack::<wire::HeartbeatResponse>,
        "direct orders" => in_messagepack::<wire::DirectCommands>,
        "rental" => in_messagepack::<wire::Rental>,
        "machine names" => in_messagepack::<wire::MachineIds>,
        "machine list" => in_messagepack::<wire::MachineList>,
        "transaction" => in_messagepack::<wire::Transaction>,
        "revision" => in_messagepack::<wire::CommitResponse>,
        "listing" => in_messagepack::<wire::Listing>,
        "changes" => in_messagepack::<wire::Changes>,
        "lease life" => in_messagepack::<wire::LeaseRequest>,
        "lease id" => in_messagepack::<wire::LeaseResponse>,
        "submission" => |text, _| {
            let body = wire::encode(&parsed::<Value>(text));
            let read = wire::parse_submission(&body).unwrap();
            [
                serde_json::to_string(&read).unwrap(),
                hexadecimal(&wire::encode(&read)),
            ]
        },
        "status answer" => |text, _| {
            let (job, status) = parsed(text);
            answered(&wire::status_answer(&job, status))
        },
        "state answer" => |text, _| {
            let (job, status, done, running) = parsed(text);
            answered(&wire::progress_answer(&job, status, done, running))
        },
        "conductor" => |text, _| {
            let node = parsed::<Option<_>>(text);
            answered(&wire::redirect_answer(node.as_ref()))
        },
        _ => panic!("{kind}"),
    }
}

fn parsed<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).unwrap()
}

fn answered(answer: &Value) -> [String; 2] {
    [
        answer.to_string(),
        hexadecimal(&ochredrum::wire::encode(answer)),
    ]
}

fn stored<T: DeserializeOwned + Serialize>(text: &str, _: &str) -> [String; 2] {
    [
        serde_json::to_string(&parsed::<T>(text)).unwrap(),
        String::new(),
    ]
}

/// The JSON is read from the text, the binary form from the binary one, if there is one yet.
fn in_cbor<T: DeserializeOwned + Serialize>(text: &str, sent: &str) -> [String; 2] {
    let read: T = match sent {
        "" => parsed(text),
        sent => ciborium::from_reader(bytes(sent).as_slice()).unwrap(),
    };
    let mut again = Vec::new();
    ciborium::into_writer(&read, &mut again).unwrap();
    [stored::<T>(text, "")[0].clone(), hexadecimal(&again)]
}

fn in_messagepack<T: DeserializeOwned + Serialize>(text: &str, sent: &str) -> [String; 2] {
    let decoded = |body: Vec<u8>| ochredrum::wire::decode::<T>(&body).unwrap();
    let told = decoded(ochredrum::wire::encode(&parsed::<Value>(text)));
    let read = if sent.is_empty() {
        &told
    } else {
        &decoded(bytes(sent))
    };
    [
        serde_json::to_string(&told).unwrap(),
        hexadecimal(&ochredrum::wire::encode(read)),
    ]
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// What a file says of a place in it (a JSON pointer): whether that may be left out, and how -1 is
/// refused there, if by a rule of this file. A value of another type must always be refused.
fn places(file: &str, text: &str, check: fn(&str) -> Result<(), String>) -> String {
    let whole = serde_json::to_value(toml::from_str::<toml::Table>(text).unwrap()).unwrap();
    let check = |changed: &Value| {
        check(&toml::to_string(&toml::Value::try_from(changed).unwrap()).unwrap())
    };
    check(&whole).unwrap();
    let mut lines = String::new();
    for place in inner_places(&whole, "") {
        let with = |value: Value| {
            let mut changed = whole.clone();
            *changed.pointer_mut(&place).unwrap() = value;
            check(&changed)
        };
        let old = whole.pointer(&place).unwrap();
        let wrong = if old.is_boolean() {
            Value::from("wrong")
        } else {
            Value::from(true)
        };
        assert!(with(wrong).is_err(), "{file} {place} is not read");
        let (parent, name) = place.rsplit_once('/').unwrap();
        let mut without = whole.clone();
        let left_out = match without.pointer_mut(parent).unwrap() {
            Value::Object(fields) => fields.remove(name).is_some() && check(&without).is_ok(),
            _ => true,
        };
        let need = if left_out {
            "may be left out"
        } else {
            "needed"
        };
        let refusal = match old.is_number() {
            true => with(Value::from(-1))
                .err()
                .filter(|error| !error.contains(" | ")),
            false => None,
        };
        lines += &format!("{file}\t{place}\t{need}\t{}\n", refusal.unwrap_or_default());
    }
    lines
}

fn inner_places(value: &Value, at: &str) -> Vec<String> {
    let inner: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(name, v)| (name.clone(), v)).collect(),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .map(|(i, v)| (i.to_string(), v))
            .collect(),
        _ => Vec::new(),
    };
    let places = inner
        .into_iter()
        .map(|(name, v)| (format!("{at}/{name}"), v));
    places
        .flat_map(|(at, v)| [vec![at.clone()], inner_places(v, &at)].concat())
        .collect()
}

fn all_places(settings: &str, features: &str) -> String {
    use ochredrum::{config::Config, features::Features};
    let of_settings = |text: &str| Config::parse(text).map(drop).map_err(|e| e.to_string());
    let of_features = |text: &str| Features::parse(text).map(drop).map_err(|e| e.to_string());
    places("settings", settings, of_settings) + &places("features", features, of_features)
}
