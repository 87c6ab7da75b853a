use super::*;
use crate::config::Config;
use crate::core::records::keys::job_key;
use serde_json::Value;

fn stored(status: &str) -> Value {
    serde_json::json!({"s": status, "at": 1, "n": 1})
}

/// A receiver gets all final states that the sender knows, one page at a time. Splitting a transaction across
/// pages would lose states, as would a page that claims to be complete beyond the sender's last read.
#[test]
fn final_states_are_sent_in_pages() {
    let config = Config::parse(crate::config::TEST_SETTINGS).unwrap();
    let (mut sender, mut receiver) = (StoreReplica::new(&config), StoreReplica::new(&config));
    let id = |number: usize| JobId::from(format!("req-{number:06}"));
    for number in 0..FINAL_STATES_PAGE * 2 + 50 {
        // Each transaction holds three states.
        sender.put(
            &job_key(&id(number)),
            &stored("withdrawn"),
            10 + number as Version / 3,
        );
    }
    // The later states are the sender's own writes, which are newer than its last read.
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
    // A receiver ignores records that are not final.
    let mut final_states = sender.final_states_after(0);
    final_states.jobs = vec![(
        id(9999),
        9999,
        serde_json::from_value(stored("pending")).unwrap(),
    )];
    receiver.apply_final_states(final_states);
    assert!(receiver.job(&id(9999)).is_none());
}
