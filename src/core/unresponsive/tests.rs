use super::*;

#[test]
fn only_the_term_it_was_said_of_counts() {
    let said = |term, age| {
        [Unresponsive {
            machine: "m-1".into(),
            term: Term(term),
            age,
        }]
    };
    let mut quiet = UnresponsiveMachines::default();
    let id = MachineId::from("m-1");
    quiet.note(said(5, 8.0), 20.0);
    let at = quiet.answered(&id, Term(5)).unwrap();
    assert!(
        (12.0..12.1).contains(&at),
        "clocks differ: later rather than earlier"
    );
    assert_eq!(quiet.answered(&id, Term(4)), None);
    quiet.note(said(4, 30.0), 21.0);
    quiet.note(said(5, 2.0), 21.0);
    assert_eq!(
        quiet.answered(&id, Term(5)),
        Some(at),
        "older terms and later words add nothing"
    );
    quiet.note(said(6, 8.0), 40.0);
    assert_eq!(quiet.answered(&id, Term(5)), None);
    assert!(quiet.answered(&id, Term(6)).is_some());
}
