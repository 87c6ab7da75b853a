use super::*;

#[test]
fn refusals_lengthen_the_pause_and_a_served_request_ends_it() {
    let config = Config::parse(crate::config::TEST_SETTINGS).unwrap();
    let mut pacing = Pacing::new(&config);
    let shortest = PAUSE_WRITES / config.deployment.state.write_rps;
    assert!(pacing.open(0.0));
    pacing.refused(0.0, 1.0);
    pacing.refused(0.0, 1.0);
    assert!(
        !pacing.open(shortest * 0.99) && pacing.open(shortest),
        "one burst counts once"
    );
    pacing.refused(1.0, 1.0);
    assert!(!pacing.open(1.0 + shortest * 1.99) && pacing.open(1.0 + shortest * 2.0));
    for again in 2..20 {
        pacing.refused(f64::from(again), 1.0);
    }
    assert!(
        pacing.open(19.0 + shortest * 8.0),
        "at most eight times as long"
    );
    pacing.served(20.0);
    pacing.refused(20.0, 1.0);
    assert!(pacing.open(20.0 + shortest));
}
