use super::*;
use crate::core::records::keys::job_key;

fn ended(status: &str) -> Value {
    serde_json::json!({"s": status, "at": 1, "n": 1})
}

/// Whoever asks gets all final states that a controller knows, a page at a time; what one
/// transaction wrote stays together, and what was learnt late is not passed over.
#[test]
fn final_states_are_told_in_pages() {
    let config = Config::parse(crate::config::TEST_SETTINGS).unwrap();
    let (mut teller, mut asker) = (StoreReplica::new(&config), StoreReplica::new(&config));
    let id = |n: usize| JobId::from(format!("req-{n:06}"));
    for n in 0..FINAL_STATES_PAGE * 2 + 50 {
        // Three to a transaction.
        teller.put(&job_key(&id(n)), &ended("withdrawn"), 10 + n as Version / 3);
    }
    // Own writes, ahead of its last sync.
    teller.revision = 9 + (FINAL_STATES_PAGE * 2 / 3) as Version;
    let mut pages = 0;
    loop {
        let final_states = teller.final_states_after(asker.final_states_known());
        let complete = final_states.complete;
        asker.take_final_states(final_states);
        pages += 1;
        if complete {
            break;
        }
        assert!(pages < 9);
    }
    assert_eq!(asker.jobs().len(), FINAL_STATES_PAGE * 2 + 50);
    assert!(
        asker.final_states_known() <= teller.revision,
        "a sync may still bring older ones"
    );
    assert_eq!(
        asker.take_changed().len(),
        FINAL_STATES_PAGE * 2 + 50,
        "what is over need not wait"
    );
    // Not final, so not for others to tell.
    let mut final_states = teller.final_states_after(0);
    final_states.jobs = vec![(
        id(9999),
        9999,
        serde_json::from_value(ended("pending")).unwrap(),
    )];
    asker.take_final_states(final_states);
    assert!(asker.job(&id(9999)).is_none());
}
