use super::*;

#[test]
fn only_the_term_it_was_said_of_counts() {
    let said = |token, age| {
        [Unresponsive {
            machine: "m-1".into(),
            token: FencingToken(token),
            age,
        }]
    };
    let mut quiet = UnresponsiveMachines::default();
    let id = MachineId::from("m-1");
    quiet.note(said(5, 8.0), 20.0);
    let at = quiet.answered(&id, FencingToken(5)).unwrap();
    assert!(
        (12.0..12.1).contains(&at),
        "clocks differ: later rather than earlier"
    );
    assert_eq!(quiet.answered(&id, FencingToken(4)), None);
    quiet.note(said(4, 30.0), 21.0);
    quiet.note(said(5, 2.0), 21.0);
    assert_eq!(
        quiet.answered(&id, FencingToken(5)),
        Some(at),
        "older terms and later words add nothing"
    );
    quiet.note(said(6, 8.0), 40.0);
    assert_eq!(quiet.answered(&id, FencingToken(5)), None);
    assert!(quiet.answered(&id, FencingToken(6)).is_some());
}
