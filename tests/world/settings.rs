//! The settings and features of the simulated controllers.

use ochredrum::features::Features;

use super::{CANCEL_S, GANG_PEER_S, GANG_WAIT_S, HEARTBEAT_INTERVAL_S, LEASE_S, TeamLimit};

/// The limits of the store.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Size of one value, in KiB.
    pub value_kb: f64,
    /// Writes in one transaction.
    pub txn_ops: usize,
    /// Requests a second.
    pub rps: f64,
    /// Writes a second.
    pub write_rps: f64,
}

impl Limits {
    fn settings(&self, section: &str) -> String {
        let Self {
            value_kb,
            txn_ops,
            rps,
            write_rps,
        } = self;
        format!(
            "[{section}]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\n\
             value_kb = {value_kb:?}\ntxn_ops = {txn_ops}\n"
        )
    }
}

/// The section of a team in the settings. The team [`super::BLUE`] has a guaranteed quota.
fn team_section(team: &TeamLimit) -> String {
    let TeamLimit { name, gpus, cpus } = team;
    let guarantee = if name == super::BLUE {
        "gpus = 8.0\n"
    } else {
        ""
    };
    format!(
        "[[deployment.teams]]\nname = \"{name}\"\n{guarantee}gpus_max = {gpus:?}\n\
         cpus_max = {cpus:?}\n"
    )
}

/// The features in `deploy/features.toml`, which enforce team limits by grants.
pub fn features_with_grants() -> Features {
    let Ok(features) = Features::parse(include_str!("../../deploy/features.toml")) else {
        panic!("deploy/features.toml is invalid")
    };
    features
}

/// The features in `deploy/failure-detection.toml`, with which the service is deployed.
pub fn default_features() -> Features {
    let Ok(features) = Features::parse(include_str!("../../deploy/failure-detection.toml")) else {
        panic!("deploy/failure-detection.toml is invalid")
    };
    features
}

/// The settings file of one controller. `next` holds announced limits of the store, absent for versions that
/// cannot read them. `teams` are the teams with a limit.
pub fn settings(
    index: usize,
    nodes: usize,
    limits: Limits,
    next: Option<Limits>,
    teams: &[TeamLimit],
) -> String {
    let state = limits.settings("deployment.state");
    let next = next
        .map(|next| next.settings("deployment.state.next"))
        .unwrap_or_default();
    let teams: String = teams.iter().map(team_section).collect();
    let siblings: String = (0..nodes)
        .filter(|other| *other != index)
        .map(|other| {
            format!(
                "[[siblings]]\nhost_name = \"n{other}\"\naddr = \"127.0.0.1:{}\"\n",
                9100 + other
            )
        })
        .collect();
    format!(
        r#"
host_name = "n{index}"
area = "a"
front = "127.0.0.1:{}"
mesh_addr = "127.0.0.1:{}"
{siblings}
[services]
cloud = "127.0.0.1:9301"
state = "127.0.0.1:9302"
[deployment]
clock_error_ms = 5.0
{teams}[[deployment.teams]]
name = "red"
[[deployment.objectives]]
kind = "wait"
class = "chat"
within_s = 10.0
[deployment.workers]
report_s = {HEARTBEAT_INTERVAL_S}
lease_s = {LEASE_S}
gang_wait_s = {GANG_WAIT_S}
gang_peer_s = {GANG_PEER_S}
cancel_s = {CANCEL_S}
{state}{next}[deployment.cloud]
rps = 2.0
list_lag_s = 5.0
[deployment.limits]
mem_mb = 56.0
fd_limit = 700
"#,
        9000 + index,
        9100 + index
    )
}
