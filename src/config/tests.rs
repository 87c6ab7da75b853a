use super::*;

/// Nobody tells when the later limits begin to hold.
#[test]
fn the_lower_of_present_and_later_limits_holds_from_the_start() {
    let with = |next: &str| {
        let text = TEST_SETTINGS.replace("txn_ops = 8", &format!("txn_ops = 8\nnext = {next}"));
        Config::parse(&text).map(|config| config.deployment.state)
    };
    let limits = with("{ write_rps = 18.0, value_kb = 2.0, txn_ops = 16, other = 1 }").unwrap();
    assert_eq!((limits.rps, limits.write_rps), (120.0, 18.0));
    assert_eq!((limits.value_kb, limits.txn_ops), (2.0, 8));
    assert!(with("{ rps = -1.0 }").is_err());
}
