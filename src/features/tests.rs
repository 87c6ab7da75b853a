use super::*;

const VALID_FEATURES: &str =
    "[quota_ledger]\nenabled = true\nheadroom = 0.125\ngive_back_leases = 1.0\n";

#[test]
fn the_shipped_file_is_valid() {
    let features = Features::parse(include_str!("../../deploy/features.toml")).unwrap();
    assert!(features.headroom(10.0).is_some());
    assert_eq!(Features::parse("").unwrap(), Features::default());
}

#[test]
fn an_invalid_value_is_rejected_with_its_field() {
    for (from, to, field) in [
        ("headroom = 0.125", "headroom = 0.0", "headroom"),
        ("headroom = 0.125", "headroom = nan", "headroom"),
        ("headroom = 0.125", "headroom = 0.125\nroom = 1", "room"),
        (
            "give_back_leases = 1.0",
            "give_back_leases = -1.0",
            "give_back_leases",
        ),
        ("enabled = true", "enabled = 1", "enabled"),
        ("enabled = true\n", "", "enabled"),
        ("quota_ledger", "quota", "quota"),
    ] {
        let error = Features::parse(&VALID_FEATURES.replace(from, to))
            .unwrap_err()
            .to_string();
        assert!(
            error.contains(field) && error.lines().count() == 1,
            "{to}: {error}"
        );
    }
}

#[test]
fn a_quota_ledger_that_is_not_enabled_gives_no_headroom() {
    let off = Features::parse(&VALID_FEATURES.replace("true", "false")).unwrap();
    assert_eq!(off.headroom(10.0), None);
}
