use super::*;

#[test]
fn limits_are_enforced_and_zero_means_unlimited() {
    let team_limits = TeamLimits {
        name: "t".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 4.0,
        gpus_max: 8.0,
    };
    let mut usage = Usage::default();
    assert!(
        usage.allows(&team_limits, 1e9, 8.0) && usage.is_within_guarantee(&team_limits, 1e9, 4.0)
    );
    usage.add(&"t".into(), 2.0, 6.0);
    assert!(usage.allows(&team_limits, 2.0, 2.0) && !usage.allows(&team_limits, 2.0, 2.5));
    assert!(!usage.is_within_guarantee(&team_limits, 0.0, 0.0));
}
