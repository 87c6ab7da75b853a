//! Emulates controllers of the previous version: removes the fields that this version does not know from all
//! that they read, write and send, and names the messages that they cannot read. They run the present core,
//! so faults that were fixed since the previous version do not occur. `tests/compatibility.rs` checks the
//! formats.

use ochredrum::core::effects::{Input, StoreCall, StoreReply};
use ochredrum::core::messages::mesh::{MeshMessage, MeshReply};
use ochredrum::wire::Write;
use serde_json::Value;

/// Fields of a job's record that the previous version does not know.
const NEW_JOB_FIELDS: [&str; 3] = ["jd", "e", "x"];
/// Fields of a process's record that the previous version does not know.
const NEW_PROCESS_FIELDS: [&str; 3] = ["consents", "claims", RAISES_TOKENS];
/// The field of a process's record that says that it understands raised fencing tokens.
const RAISES_TOKENS: &str = "raises";

/// Removes the fields that the previous version does not know from the value of a key.
fn strip(key: &str, value: &mut Value) {
    let Value::Object(record) = value else { return };
    if key.starts_with("ochredrum/job/") {
        NEW_JOB_FIELDS
            .iter()
            .for_each(|field| drop(record.remove(*field)));
    } else if key.starts_with("ochredrum/node/") {
        NEW_PROCESS_FIELDS
            .iter()
            .for_each(|field| drop(record.remove(*field)));
    } else if key == "ochredrum/map/teams" {
        record.remove("q");
    } else if key.starts_with("ochredrum/map/m")
        && let Some(Value::Array(shards)) = record.get_mut("shares")
    {
        let owners = shards.iter_mut().filter_map(|shard| shard.get_mut("o"));
        owners
            .filter_map(Value::as_object_mut)
            .for_each(|owner| drop(owner.remove("r")));
    }
}

/// Removes the unknown fields from a value that a controller reads. The core that plays it takes its own
/// record to be as it would write it.
fn strip_read(key: &str, value: &mut Value) {
    strip(key, value);
    if key.starts_with("ochredrum/node/")
        && let Value::Object(record) = value
    {
        record.insert(RAISES_TOKENS.into(), Value::Bool(true));
    }
}

/// Removes from an input the fields that a controller of the previous version does not read.
pub fn strip_input(mut input: Input) -> Input {
    match &mut input {
        Input::Store(_, StoreReply::Listing(listing)) => {
            listing
                .entries
                .iter_mut()
                .for_each(|entry| strip_read(&entry.key, &mut entry.value));
        }
        Input::Store(_, StoreReply::Changes(changes)) => {
            for change in &mut changes.events {
                let key = change.put_key.clone().unwrap_or_default();
                strip_read(&key, &mut change.value);
            }
        }
        Input::Mesh(_, message) => strip_message(message),
        Input::MeshReply(_, Some(reply)) => strip_reply(reply),
        _ => {}
    }
    input
}

/// Whether a controller of the previous version can read a request.
pub fn can_read(input: &Input) -> bool {
    !matches!(
        input,
        Input::Mesh(
            _,
            MeshMessage::SubmitDependent(..) | MeshMessage::Heartbeat(..)
        )
    )
}

/// Removes from a request to the store the fields that the previous version does not write.
pub fn strip_write(mut call: StoreCall) -> StoreCall {
    if let StoreCall::Commit(transaction) = &mut call {
        for write in &mut transaction.writes {
            if let Write::Put { key, value, .. } = write {
                strip(key, value);
            }
        }
    }
    call
}

/// Removes from a message the fields that the previous version does not send.
pub fn strip_message(message: &mut MeshMessage) {
    if let MeshMessage::Hello(hello) = message {
        hello.final_states_after = None;
        hello.bounded_staleness = false;
        hello.detection = None;
        if let Some(update) = hello.update.as_mut() {
            update.contacts = Default::default();
        }
    }
}

/// Removes from a reply the fields that the previous version does not send.
pub fn strip_reply(reply: &mut MeshReply) {
    if let MeshReply::Hello(reply) = reply {
        reply.final_states = None;
        reply.detection = None;
    }
}
