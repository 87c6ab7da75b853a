use super::*;
use crate::config::Config;
use crate::core::records::keys::job_key;
use serde_json::Value;

fn stored(status: &str) -> Value {
    serde_json::json!({"s": status, "at": 1, "n": 1})
}

/// A requester gets all final states that a controller knows, a page at a time. States of one transaction stay
/// together, and states that the sender itself learnt late are not skipped.
#[test]
fn final_states_are_sent_in_pages() {
    let config = Config::parse(crate::config::TEST_SETTINGS).unwrap();
    let (mut sender, mut receiver) = (StoreReplica::new(&config), StoreReplica::new(&config));
    let id = |number: usize| JobId::from(format!("req-{number:06}"));
    for number in 0..FINAL_STATES_PAGE * 2 + 50 {
        // Three to a transaction.
        sender.put(
            &job_key(&id(number)),
            &stored("withdrawn"),
            10 + number as Version / 3,
        );
    }
    // Writes of its own, ahead of its last read.
    sender.revision = 9 + (FINAL_STATES_PAGE * 2 / 3) as Version;
    let mut pages = 0;
    loop {
        let final_states = sender.final_states_after(receiver.final_states_known_up_to());
        let complete = final_states.complete;
        receiver.apply_final_states(final_states);
        pages += 1;
        if complete {
            break;
        }
        assert!(pages < 9);
    }
    assert_eq!(receiver.jobs().len(), FINAL_STATES_PAGE * 2 + 50);
    assert!(
        receiver.final_states_known_up_to() <= sender.revision,
        "a read may still return older ones"
    );
    assert_eq!(
        receiver.take_changed_jobs().len(),
        FINAL_STATES_PAGE * 2 + 50,
        "finished jobs need not wait"
    );
    // Records that are not final are not accepted from a sibling.
    let mut final_states = sender.final_states_after(0);
    final_states.jobs = vec![(
        id(9999),
        9999,
        serde_json::from_value(stored("pending")).unwrap(),
    )];
    receiver.apply_final_states(final_states);
    assert!(receiver.job(&id(9999)).is_none());
}
