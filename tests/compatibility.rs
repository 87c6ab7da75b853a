//! Reads records and messages of earlier versions and compares them with those that this version writes.
//!
//! Each fixture was printed by an example program that was built inside a checkout of that version. So it was
//! written by that version's own types, `serde_json` and `ciborium`. Messages are CBOR in hexadecimal.
//!
//! - `fixtures/production.json`: commit 4f704a4, which `deploy/service.toml` names; before pipelines.
//! - `fixtures/first_with_pipelines.json`: commit 8e74ff9, the first version with pipelines.
//! - `fixtures/before_renames/`: commit aa1df23, the last one before identifiers were renamed. It covers
//!   every form that is stored, sent, read from files or printed. The columns of `forms.tsv` are the kind,
//!   the name, the JSON to read, the JSON that is written if it differs, and the bytes that are sent.
//!
//! If a record or message is written again byte for byte, the version that wrote it first can read it.

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

fn production_fixture() -> Value {
    serde_json::from_str(include_str!("fixtures/production.json")).unwrap()
}

fn reserialized_json<T: DeserializeOwned + Serialize>(stored: &Value) -> Value {
    serde_json::to_value(serde_json::from_value::<T>(stored.clone()).unwrap()).unwrap()
}

fn reserialized_cbor<T: DeserializeOwned + Serialize>(hex: &Value) -> String {
    let hex = hex.as_str().unwrap();
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    let body: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
    let message: T = ciborium::from_reader(body.as_slice()).unwrap();
    let mut again = Vec::new();
    ciborium::into_writer(&message, &mut again).unwrap();
    again.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn production_records_are_rewritten_unchanged() {
    let stored = production_fixture();
    for name in ["job", "job_done", "job_cancelled"] {
        assert_eq!(
            reserialized_json::<JobRecord>(&stored[name]),
            stored[name],
            "{name}"
        );
    }
    assert_eq!(
        reserialized_json::<ProcessRecord>(&stored["process"]),
        stored["process"]
    );
    assert_eq!(
        reserialized_json::<ShardMapChunk>(&stored["map"]),
        stored["map"]
    );
    let types: MachineTypes = serde_json::from_value(stored["types"].clone()).unwrap();
    assert_eq!(types.types[0].gpus, 8.0);
}

#[test]
fn production_messages_are_resent_unchanged() {
    let sent = production_fixture();
    for name in ["hello", "submit", "cancelled"] {
        assert_eq!(
            reserialized_cbor::<MeshMessage>(&sent[name]),
            sent[name].as_str().unwrap(),
            "{name}"
        );
    }
    for name in ["hello_reply", "answer"] {
        assert_eq!(
            reserialized_cbor::<MeshReply>(&sent[name]),
            sent[name].as_str().unwrap(),
            "{name}"
        );
    }
}

fn pipelines_fixture() -> Value {
    serde_json::from_str(include_str!("fixtures/first_with_pipelines.json")).unwrap()
}

#[test]
fn records_of_the_first_pipelines_version_are_rewritten_unchanged() {
    let stored = &pipelines_fixture()["records"];
    for name in ["job", "job_waiting", "job_done", "job_cancelled"] {
        assert_eq!(
            reserialized_json::<JobRecord>(&stored[name]),
            stored[name],
            "{name}"
        );
    }
    assert_eq!(
        reserialized_json::<ProcessRecord>(&stored["process"]),
        stored["process"]
    );
    assert_eq!(
        reserialized_json::<ShardMapChunk>(&stored["map"]),
        stored["map"]
    );
    assert_eq!(
        reserialized_json::<MachineTypes>(&stored["types"]),
        stored["types"]
    );
    let waiting: JobRecord = serde_json::from_value(stored["job_waiting"].clone()).unwrap();
    let needed = &waiting.spec.as_ref().unwrap().dependencies;
    assert_eq!(*needed, ["req-000007".into(), "req-0000000012".into()]);
    let cancelled: JobRecord = serde_json::from_value(stored["job_cancelled"].clone()).unwrap();
    assert!(cancelled.ended_ms.is_some() && cancelled.terminating.is_some());
}

#[test]
fn messages_of_the_first_pipelines_version_are_resent_unchanged() {
    let sent = pipelines_fixture();
    let messages = sent["messages"].as_object().unwrap();
    assert_eq!(messages.len(), 7);
    for (name, message) in messages {
        assert_eq!(
            reserialized_cbor::<MeshMessage>(message),
            message.as_str().unwrap(),
            "{name}"
        );
    }
    let replies = sent["replies"].as_object().unwrap();
    assert_eq!(replies.len(), 4);
    for (name, reply) in replies {
        assert_eq!(
            reserialized_cbor::<MeshReply>(reply),
            reply.as_str().unwrap(),
            "{name}"
        );
    }
}

/// The production version answers requests about a job whose record lacks `j`, and cancels it, but never
/// starts it.
#[test]
fn job_with_dependencies_is_stored_without_the_description_that_production_reads() {
    let mut record: JobRecord =
        serde_json::from_value(production_fixture()["job"].clone()).unwrap();
    let spec = Rc::make_mut(record.spec.as_mut().unwrap());
    spec.dependencies = vec!["req-000007".into()];
    let stored = serde_json::to_value(&record).unwrap();
    assert!(stored.get("j").is_none() && stored.get("jd").is_some());
    for field in ["s", "at", "n"] {
        assert_eq!(stored[field], production_fixture()["job"][field]);
    }
    assert_eq!(serde_json::from_value::<JobRecord>(stored).unwrap(), record);
    let cancelled = serde_json::to_value(record.to_cancelled(5)).unwrap();
    assert_eq!(
        cancelled["s"],
        serde_json::to_value(JobStatus::Cancelled).unwrap()
    );
    assert!(cancelled.get("j").is_none() && cancelled.get("jd").is_none());
}

/// Checks that the forms of these kinds in `forms.tsv` are read and written again byte for byte.
fn assert_forms_unchanged(kinds: &[&str]) {
    let mut seen = std::collections::BTreeSet::new();
    for line in include_str!("fixtures/before_renames/forms.tsv").lines() {
        let [kind, name, read, written, sent] = line.split('\t').collect::<Vec<_>>()[..] else {
            panic!("{line}")
        };
        if kinds.contains(&kind) {
            seen.insert(kind);
            let written = if written.is_empty() { read } else { written };
            assert_eq!(
                reserializer(kind)(read, sent),
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
    assert_forms_unchanged(&["job", "process", "map", "grants", "machine types"]);
}

#[test]
fn messages_between_controllers_are_resent_unchanged() {
    assert_forms_unchanged(&["mesh message", "mesh reply", "stage"]);
}

#[test]
fn messages_from_and_to_users_are_unchanged() {
    assert_forms_unchanged(&["submission", "status answer", "state answer"]);
}

#[test]
fn messages_from_and_to_workers_are_unchanged() {
    assert_forms_unchanged(&["report", "report answer", "direct orders", "conductor"]);
}

#[test]
fn messages_to_and_from_the_cloud_are_unchanged() {
    assert_forms_unchanged(&["rental", "machine names", "machine list", "machine types"]);
}

#[test]
fn messages_to_and_from_the_store_are_unchanged() {
    assert_forms_unchanged(&["transaction", "revision", "listing", "changes"]);
    assert_forms_unchanged(&["lease life", "lease id"]);
}

#[test]
fn status_of_a_controller_is_rewritten_unchanged() {
    assert_forms_unchanged(&["status"]);
}

#[test]
fn settings_and_features_files_are_accepted_and_refused_as_before() {
    let settings = include_str!("fixtures/before_renames/settings.toml");
    let features = include_str!("fixtures/before_renames/features.toml");
    let before = include_str!("fixtures/before_renames/places.tsv");
    assert_eq!(describe_all_fields(settings, features), before);
}

#[test]
fn printed_schemas_are_unchanged() {
    for (schema, before) in [
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
        let printed = program.args(["schema", schema]).output().unwrap();
        assert!(printed.status.success(), "{schema}");
        assert_eq!(
            String::from_utf8(printed.stdout).unwrap(),
            before,
            "{schema}"
        );
    }
}

/// Returns the function that reads and writes a kind of `fixtures/before_renames/forms.tsv`, as JSON and as
/// the hexadecimal bytes that are sent. Only this function names the present types of these kinds.
fn reserializer(kind: &str) -> fn(&str, &str) -> [String; 2] {
    use ochredrum::wire;
    match kind {
        "job" => reserialize_json_only::<JobRecord>,
        "process" => reserialize_json_only::<ProcessRecord>,
        "map" => reserialize_json_only::<ShardMapChunk>,
        "grants" => |text, _| {
            let ledger = quota_ledger::TeamLedger::decode(&parse_json(text)).unwrap();
            [serde_json::to_string(&ledger).unwrap(), String::new()]
        },
        "status" => reserialize_json_only::<ochredrum::status::Status>,
        "stage" => reserialize_json_only::<failure_detector::Stage>,
        "mesh message" => reserialize_in_cbor::<MeshMessage>,
        "mesh reply" => reserialize_in_cbor::<MeshReply>,
        "machine types" => reserialize_in_messagepack::<wire::MachineTypes>,
        "report" => reserialize_in_messagepack::<wire::Heartbeat>,
        "report answer" => reserialize_in_messagepack::<wire::HeartbeatResponse>,
        "direct orders" => reserialize_in_messagepack::<wire::DirectCommands>,
        "rental" => reserialize_in_messagepack::<wire::Rental>,
        "machine names" => reserialize_in_messagepack::<wire::MachineIds>,
        "machine list" => reserialize_in_messagepack::<wire::MachineList>,
        "transaction" => reserialize_in_messagepack::<wire::Transaction>,
        "revision" => reserialize_in_messagepack::<wire::CommitResponse>,
        "listing" => reserialize_in_messagepack::<wire::Listing>,
        "changes" => reserialize_in_messagepack::<wire::Changes>,
        "lease life" => reserialize_in_messagepack::<wire::LeaseRequest>,
        "lease id" => reserialize_in_messagepack::<wire::LeaseResponse>,
        "submission" => |text, _| {
            let body = wire::encode(&parse_json::<Value>(text));
            let read = wire::parse_submission(&body).unwrap();
            [
                serde_json::to_string(&read).unwrap(),
                encode_hex(&wire::encode(&read)),
            ]
        },
        "status answer" => |text, _| {
            let (job, status) = parse_json(text);
            encode_answer(&wire::status_answer(&job, status))
        },
        "state answer" => |text, _| {
            let (job, status, done, running) = parse_json(text);
            encode_answer(&wire::progress_answer(&job, status, done, running))
        },
        "conductor" => |text, _| {
            let node = parse_json::<Option<_>>(text);
            encode_answer(&wire::redirect_answer(node.as_ref()))
        },
        _ => panic!("{kind}"),
    }
}

fn parse_json<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).unwrap()
}

fn encode_answer(answer: &Value) -> [String; 2] {
    [
        answer.to_string(),
        encode_hex(&ochredrum::wire::encode(answer)),
    ]
}

fn reserialize_json_only<T: DeserializeOwned + Serialize>(text: &str, _: &str) -> [String; 2] {
    [
        serde_json::to_string(&parse_json::<T>(text)).unwrap(),
        String::new(),
    ]
}

/// Reserializes the JSON, and separately the CBOR. If the fixture has no CBOR, the CBOR is written from the
/// JSON.
fn reserialize_in_cbor<T: DeserializeOwned + Serialize>(text: &str, sent: &str) -> [String; 2] {
    let read: T = match sent {
        "" => parse_json(text),
        sent => ciborium::from_reader(decode_hex(sent).as_slice()).unwrap(),
    };
    let mut again = Vec::new();
    ciborium::into_writer(&read, &mut again).unwrap();
    [
        reserialize_json_only::<T>(text, "")[0].clone(),
        encode_hex(&again),
    ]
}

fn reserialize_in_messagepack<T: DeserializeOwned + Serialize>(
    text: &str,
    sent: &str,
) -> [String; 2] {
    let decoded = |body: Vec<u8>| ochredrum::wire::decode::<T>(&body).unwrap();
    let from_json = decoded(ochredrum::wire::encode(&parse_json::<Value>(text)));
    let read = if sent.is_empty() {
        &from_json
    } else {
        &decoded(decode_hex(sent))
    };
    [
        serde_json::to_string(&from_json).unwrap(),
        encode_hex(&ochredrum::wire::encode(read)),
    ]
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Lists the fields of a file by JSON pointer, with whether each may be absent, and with the error for -1 if
/// a rule of the file refuses it (errors of the TOML parser contain ` | `). A value of another type must
/// always be refused.
fn describe_fields(file: &str, text: &str, check: fn(&str) -> Result<(), String>) -> String {
    let whole = serde_json::to_value(toml::from_str::<toml::Table>(text).unwrap()).unwrap();
    let check = |changed: &Value| {
        check(&toml::to_string(&toml::Value::try_from(changed).unwrap()).unwrap())
    };
    check(&whole).unwrap();
    let mut lines = String::new();
    for pointer in field_pointers(&whole, "") {
        let check_with = |value: Value| {
            let mut changed = whole.clone();
            *changed.pointer_mut(&pointer).unwrap() = value;
            check(&changed)
        };
        let old = whole.pointer(&pointer).unwrap();
        let wrong_type = if old.is_boolean() {
            Value::from("wrong")
        } else {
            Value::from(true)
        };
        assert!(
            check_with(wrong_type).is_err(),
            "{file} {pointer} is not checked"
        );
        let (parent, name) = pointer.rsplit_once('/').unwrap();
        let mut without = whole.clone();
        let may_be_absent = match without.pointer_mut(parent).unwrap() {
            Value::Object(fields) => fields.remove(name).is_some() && check(&without).is_ok(),
            _ => true,
        };
        let requirement = if may_be_absent {
            "may be left out"
        } else {
            "needed"
        };
        let refusal = match old.is_number() {
            true => check_with(Value::from(-1))
                .err()
                .filter(|error| !error.contains(" | ")),
            false => None,
        };
        lines += &format!(
            "{file}\t{pointer}\t{requirement}\t{}\n",
            refusal.unwrap_or_default()
        );
    }
    lines
}

/// Returns the JSON pointers of all values inside `value`, whose own pointer is `at`.
fn field_pointers(value: &Value, at: &str) -> Vec<String> {
    let inner: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(name, v)| (name.clone(), v)).collect(),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .map(|(i, v)| (i.to_string(), v))
            .collect(),
        _ => Vec::new(),
    };
    let pointers = inner
        .into_iter()
        .map(|(name, v)| (format!("{at}/{name}"), v));
    pointers
        .flat_map(|(at, v)| [vec![at.clone()], field_pointers(v, &at)].concat())
        .collect()
}

fn describe_all_fields(settings: &str, features: &str) -> String {
    use ochredrum::{config::Config, features::Features};
    let of_settings = |text: &str| Config::parse(text).map(drop).map_err(|e| e.to_string());
    let of_features = |text: &str| Features::parse(text).map(drop).map_err(|e| e.to_string());
    describe_fields("settings", settings, of_settings)
        + &describe_fields("features", features, of_features)
}
