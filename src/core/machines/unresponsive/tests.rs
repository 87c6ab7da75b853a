use super::*;

#[test]
fn a_declaration_holds_only_for_its_token() {
    let declared = |token, age| {
        [UnresponsiveMachine {
            machine: "m-1".into(),
            token: FencingToken(token),
            age,
        }]
    };
    let mut unresponsive = UnresponsiveMachines::default();
    let id = MachineId::from("m-1");
    unresponsive.record(declared(5, 8.0), 20.0);
    let last_answered = unresponsive.last_answered(&id, FencingToken(5)).unwrap();
    assert!(
        (12.0..12.1).contains(&last_answered),
        "clock drift makes the time later, never earlier"
    );
    assert_eq!(unresponsive.last_answered(&id, FencingToken(4)), None);
    unresponsive.record(declared(4, 30.0), 21.0);
    unresponsive.record(declared(5, 2.0), 21.0);
    assert_eq!(
        unresponsive.last_answered(&id, FencingToken(5)),
        Some(last_answered),
        "declarations with lower tokens or later answers change nothing"
    );
    unresponsive.record(declared(6, 8.0), 40.0);
    assert_eq!(unresponsive.last_answered(&id, FencingToken(5)), None);
    assert!(unresponsive.last_answered(&id, FencingToken(6)).is_some());
}
