use super::*;

/// Settings of one controller, for unit tests.
pub const TEST_SETTINGS: &str = r#"
host_name = "n0"
area = "a"
front = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[deployment]
teams = [{ name = "red" }]
objectives = [{ kind = "wait", class = "chat", within_s = 10.0 }]
[deployment.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 30.0
[deployment.state]
rps = 120.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 8
[deployment.cloud]
rps = 2.0
list_lag_s = 5.0
[deployment.limits]
mem_mb = 56.0
fd_limit = 700
"#;

/// The settings do not state when the future limits come into force.
#[test]
fn the_lower_of_present_and_future_limits_applies_from_the_start() {
    let with = |next: &str| {
        let text = TEST_SETTINGS.replace("txn_ops = 8", &format!("txn_ops = 8\nnext = {next}"));
        Config::parse(&text).map(|config| config.deployment.state)
    };
    let limits = with("{ write_rps = 18.0, value_kb = 2.0, txn_ops = 16, other = 1 }").unwrap();
    assert_eq!((limits.rps, limits.write_rps), (120.0, 18.0));
    assert_eq!((limits.value_kb, limits.txn_ops), (2.0, 8));
    assert!(with("{ rps = -1.0 }").is_err());
}
