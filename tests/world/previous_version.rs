//! Controllers of the version before dependencies, as far as others can tell: what that version does
//! not know it neither reads nor writes nor sends. The core itself is the present one, so that an old
//! controller's faults that have been mended since don't show; see also `tests/compatibility.rs`.

use ochredrum::core::effects::{Input, StoreCall, StoreReply};
use ochredrum::core::messages::mesh::{MeshMessage, MeshReply};
use ochredrum::wire::Write;
use serde_json::Value;

/// Fields of a job's record that are new since.
const NEW_FIELDS: [&str; 3] = ["jd", "e", "x"];
/// Fields of a process's record that are new since.
const NEW_PROCESS_FIELDS: [&str; 2] = ["consents", "claims"];

fn strip(key: &str, value: &mut Value) {
    let Value::Object(record) = value else { return };
    if key.starts_with("ochredrum/job/") {
        NEW_FIELDS
            .iter()
            .for_each(|field| drop(record.remove(*field)));
    } else if key.starts_with("ochredrum/node/") {
        NEW_PROCESS_FIELDS
            .iter()
            .for_each(|field| drop(record.remove(*field)));
    } else if key == "ochredrum/map/teams" {
        record.remove("q");
    }
}

/// What an old controller sees of an input.
pub fn strip_input(mut input: Input) -> Input {
    match &mut input {
        Input::State(_, StoreReply::Listing(listing)) => {
            listing
                .entries
                .iter_mut()
                .for_each(|entry| strip(&entry.key, &mut entry.value));
        }
        Input::State(_, StoreReply::Changes(changes)) => {
            for change in &mut changes.events {
                let key = change.put.clone().unwrap_or_default();
                strip(&key, &mut change.value);
            }
        }
        Input::Mesh(_, message) => strip_message(message),
        Input::MeshReply(_, Some(reply)) => strip_reply(reply),
        _ => {}
    }
    input
}

/// Whether an old controller can read a message at all.
pub fn can_read(input: &Input) -> bool {
    !matches!(
        input,
        Input::Mesh(
            _,
            MeshMessage::SubmitDependent(..) | MeshMessage::Heartbeat(..)
        )
    )
}

/// What an old controller writes to the state service.
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

pub fn strip_reply(reply: &mut MeshReply) {
    if let MeshReply::Hello(reply) = reply {
        reply.final_states = None;
        reply.detection = None;
    }
}
