//! The platform's settings file, checked before anything starts.

use crate::features::Features;
use crate::ids::{Node, Team, Zone};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("cannot read settings file {path}: {source}")]
    Read {
        path: String,
        source: std::io::Error,
    },
    #[error("settings: {0}")]
    Parse(String),
    #[error("settings: {field}: {problem}")]
    Invalid {
        field: String,
        problem: &'static str,
    },
}

#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    #[serde(rename = "host_name")]
    pub node: Node,
    #[serde(rename = "area")]
    pub zone: Zone,
    pub front: SocketAddr,
    #[serde(rename = "mesh_addr")]
    pub mesh: SocketAddr,
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    pub services: Services,
    pub deployment: Deployment,
    /// What the installation switches on, from a file of its own.
    #[serde(skip)]
    pub features: Features,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Sibling {
    #[serde(rename = "host_name")]
    pub node: Node,
    pub addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    #[serde(default)]
    pub clock_error_ms: f64,
    #[serde(default)]
    pub teams: Vec<TeamLimits>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub limits: ProcessLimits,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamLimits {
    pub name: Team,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// What is expected of a class; kinds that are not known are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    pub class: Option<String>,
    pub within_s: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that hold from some moment on, which nobody is told.
    pub next: Option<NextLimits>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct NextLimits {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// As the moment is not told, the lower of both holds from the start.
    fn lower(&mut self) {
        let Some(next) = self.next.take() else { return };
        self.rps = next.rps.map_or(self.rps, |rps| self.rps.min(rps));
        self.write_rps = next
            .write_rps
            .map_or(self.write_rps, |rps| self.write_rps.min(rps));
        self.value_kb = next
            .value_kb
            .map_or(self.value_kb, |kb| self.value_kb.min(kb));
        self.txn_ops = next
            .txn_ops
            .map_or(self.txn_ops, |ops| self.txn_ops.min(ops));
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    pub mem_mb: f64,
    pub fd_limit: usize,
}

impl Config {
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut config: Self = toml::from_str(text)
            .map_err(|e| ConfigError::Parse(e.to_string().trim().replace('\n', " | ")))?;
        config.check()?;
        config.deployment.state.lower();
        Ok(config)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let d = &self.deployment;
        for (field, value) in [
            ("deployment.workers.report_s", d.workers.report_s),
            ("deployment.workers.lease_s", d.workers.lease_s),
            ("deployment.workers.gang_wait_s", d.workers.gang_wait_s),
            ("deployment.workers.gang_peer_s", d.workers.gang_peer_s),
            ("deployment.workers.cancel_s", d.workers.cancel_s),
            ("deployment.state.rps", d.state.rps),
            ("deployment.state.write_rps", d.state.write_rps),
            ("deployment.state.value_kb", d.state.value_kb),
            ("deployment.cloud.rps", d.cloud.rps),
            ("deployment.limits.mem_mb", d.limits.mem_mb),
        ] {
            if !(value.is_finite() && value > 0.0) {
                return invalid(field, "must be a positive number");
            }
        }
        for (field, value) in [
            ("deployment.clock_error_ms", d.clock_error_ms),
            ("deployment.cloud.list_lag_s", d.cloud.list_lag_s),
        ] {
            if !(value.is_finite() && value >= 0.0) {
                return invalid(field, "must not be negative");
            }
        }
        if let Some(next) = &d.state.next {
            for (field, value) in [
                ("deployment.state.next.rps", next.rps),
                ("deployment.state.next.write_rps", next.write_rps),
                ("deployment.state.next.value_kb", next.value_kb),
            ] {
                if value.is_some_and(|value| !(value.is_finite() && value > 0.0)) {
                    return invalid(field, "must be a positive number");
                }
            }
            if next.txn_ops.is_some_and(|ops| ops < 2) {
                return invalid("deployment.state.next.txn_ops", "must be at least 2");
            }
        }
        if d.state.txn_ops < 2 {
            return invalid("deployment.state.txn_ops", "must be at least 2");
        }
        if d.limits.fd_limit < 32 {
            return invalid("deployment.limits.fd_limit", "must be at least 32");
        }
        if self.node.as_str().is_empty() {
            return invalid("host_name", "must not be empty");
        }
        for (i, sibling) in self.siblings.iter().enumerate() {
            if sibling.node == self.node
                || self.siblings[..i]
                    .iter()
                    .any(|other| other.node == sibling.node)
            {
                return invalid("siblings.host_name", "each controller must be named once");
            }
        }
        for team in &d.teams {
            for amount in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
                if !(amount.is_finite() && amount >= 0.0) {
                    return invalid("deployment.teams", "amounts must not be negative");
                }
            }
        }
        for objective in &d.objectives {
            if objective
                .within_s
                .is_some_and(|s| !(s.is_finite() && s > 0.0))
            {
                return invalid(
                    "deployment.objectives.within_s",
                    "must be a positive number",
                );
            }
        }
        Ok(())
    }

    pub fn controllers(&self) -> usize {
        self.siblings.len() + 1
    }

    /// A team's guarantee and limit, if the settings name it.
    pub fn team_limits(&self, team: &Team) -> Option<&TeamLimits> {
        self.deployment
            .teams
            .iter()
            .find(|limits| limits.name == *team)
    }

    /// The tightest objective on a class's starts, if it has one.
    pub fn wait_objective(&self, class: &str) -> Option<f64> {
        self.objective("wait", class)
    }

    /// The tightest objective on a class's completion, if it has one.
    pub fn finish_objective(&self, class: &str) -> Option<f64> {
        self.objective("finished", class)
    }

    fn objective(&self, kind: &str, class: &str) -> Option<f64> {
        let of_class = |o: &&Objective| o.kind == kind && o.class.as_deref() == Some(class);
        let all = self.deployment.objectives.iter().filter(of_class);
        all.filter_map(|o| o.within_s).min_by(f64::total_cmp)
    }
}

fn invalid<T>(field: &str, problem: &'static str) -> Result<T, ConfigError> {
    Err(ConfigError::Invalid {
        field: field.into(),
        problem,
    })
}

#[cfg(test)]
mod tests;

/// Settings of one controller, for unit tests.
#[cfg(test)]
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
