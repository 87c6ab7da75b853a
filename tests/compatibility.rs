//! Records and messages of earlier versions, and what this version makes of them.
//!
//! Each fixture was printed by an example program built inside a checkout of that version: its own
//! types, written by its own `serde_json` and `ciborium` calls; messages as hexadecimal CBOR.
//!
//! - `fixtures/production.json`: commit 4f704a4, named in `deploy/service.toml`, before pipelines.
//! - `fixtures/first_with_pipelines.json`: commit 8e74ff9, the first landing with pipelines.
//!
//! What is read and written again to the letter can be read by the version that wrote it first.

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
    let cancelled = serde_json::to_value(record.cancelled(5)).unwrap();
    assert_eq!(
        cancelled["s"],
        serde_json::to_value(JobStatus::Cancelled).unwrap()
    );
    assert!(cancelled.get("j").is_none() && cancelled.get("jd").is_none());
}
