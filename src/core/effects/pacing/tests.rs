use super::*;

#[test]
fn refusals_lengthen_the_pause_and_a_served_request_resets_it() {
    let config = Config::parse(crate::config::TEST_SETTINGS).unwrap();
    let mut pacing = Pacing::new(&config);
    let shortest = SHORTEST_PAUSE_WRITES / config.deployment.state.write_rps;
    assert!(pacing.may_send(0.0));
    pacing.record_refusal(0.0, 1.0);
    pacing.record_refusal(0.0, 1.0);
    assert!(
        !pacing.may_send(shortest * 0.99) && pacing.may_send(shortest),
        "one burst counts once"
    );
    pacing.record_refusal(1.0, 1.0);
    assert!(!pacing.may_send(1.0 + shortest * 1.99) && pacing.may_send(1.0 + shortest * 2.0));
    for second in 2..20 {
        pacing.record_refusal(f64::from(second), 1.0);
    }
    assert!(
        pacing.may_send(19.0 + shortest * 8.0),
        "at most eight times as long"
    );
    pacing.record_success(20.0);
    pacing.record_refusal(20.0, 1.0);
    assert!(pacing.may_send(20.0 + shortest));
}
