use super::*;

fn ended(stance: &str) -> Value {
    serde_json::json!({"s": stance, "at": 1, "n": 1})
}

/// Whoever asks gets all final states that a controller knows, a page at a time; what one
/// transaction wrote stays together, and what was learnt late is not passed over.
#[test]
fn final_states_are_told_in_pages() {
    let config = Config::parse(crate::config::TEST_SETTINGS).unwrap();
    let (mut teller, mut asker) = (View::new(&config), View::new(&config));
    let id = |n: usize| JobId::from(format!("req-{n:06}"));
    for n in 0..FINALS_PAGE * 2 + 50 {
        // Three to a transaction.
        teller.put(&job_key(&id(n)), &ended("withdrawn"), 10 + n as Version / 3);
    }
    // Own writes, ahead of its last sync.
    teller.revision = 9 + (FINALS_PAGE * 2 / 3) as Version;
    let mut pages = 0;
    loop {
        let finals = teller.finals_after(asker.finals_known());
        let complete = finals.complete;
        asker.take_finals(finals);
        pages += 1;
        if complete {
            break;
        }
        assert!(pages < 9);
    }
    assert_eq!(asker.jobs().len(), FINALS_PAGE * 2 + 50);
    assert!(
        asker.finals_known() <= teller.revision,
        "a sync may still bring older ones"
    );
    assert_eq!(
        asker.take_changed().len(),
        FINALS_PAGE * 2 + 50,
        "what is over need not wait"
    );
    // Not final, so not for others to tell.
    let mut finals = teller.finals_after(0);
    finals.jobs = vec![(
        id(9999),
        9999,
        serde_json::from_value(ended("pending")).unwrap(),
    )];
    asker.take_finals(finals);
    assert!(asker.job(&id(9999)).is_none());
}
