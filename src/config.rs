//! The platform's settings file, validated before anything starts.
//!
//! Its words differ from ours in two places: `host_name` (name of a controller) and `area` (zone). The
//! types below `Config` mirror the tables of the file.

use crate::features::Features;
use crate::ids::{ControllerName, Team, Zone};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;

/// The lowest limit on sockets with which all listeners and clients get some.
const MIN_FD_LIMIT: usize = 32;
/// The lowest limit on operations of a transaction with which guarded writes are possible.
const MIN_TXN_OPS: usize = 2;

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("cannot read settings file {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not TOML, or a field is missing or has the wrong type. Holds the parser's message on one
    /// line.
    #[error("settings: {0}")]
    Parse(String),
    /// A value is out of its range.
    #[error("settings: {field}: {problem}")]
    Invalid {
        /// The field's path in the file.
        field: String,
        /// What is required of it.
        problem: &'static str,
    },
}

/// The settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// This controller's name.
    #[serde(rename = "host_name")]
    pub controller: ControllerName,
    /// The zone that it runs in.
    #[serde(rename = "area")]
    pub zone: Zone,
    /// The address to listen on for users, workers and health checks.
    pub front: SocketAddr,
    /// The address to listen on for other controllers and operators.
    #[serde(rename = "mesh_addr")]
    pub mesh: SocketAddr,
    /// The other controllers of the fleet.
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    /// The services that controllers depend on.
    pub services: Services,
    /// What is the same for all controllers of the fleet.
    pub deployment: Deployment,
    /// What the installation switches on, from a file of its own.
    #[serde(skip)]
    pub features: Features,
}

/// Another controller of the fleet.
#[derive(Debug, Clone, Deserialize)]
pub struct Sibling {
    /// Its name.
    #[serde(rename = "host_name")]
    pub controller: ControllerName,
    /// The address on which it listens for controllers.
    pub addr: SocketAddr,
}

/// The services that controllers depend on.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// Address of the cloud, which rents machines.
    pub cloud: SocketAddr,
    /// Address of the key-value store.
    pub state: SocketAddr,
}

/// What is the same for all controllers of a fleet.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// How far the wall clocks of two controllers may differ, in milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// Guarantees and limits of teams.
    #[serde(default)]
    pub teams: Vec<TeamLimits>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// How workers behave.
    pub workers: Workers,
    /// Limits of the key-value store.
    pub state: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of a controller's process.
    pub limits: ProcessLimits,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamLimits {
    /// The team.
    pub name: Team,
    /// CPUs that it is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// CPUs that its tasks may use at most.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs that it is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// GPUs that its tasks may use at most.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What is expected of a class; kinds that are not known are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is to happen in time: `wait` (the start of a task) or `finished` (the completion of a job).
    pub kind: String,
    /// The workload class that it is for.
    pub class: Option<String>,
    /// Seconds from the submission within which it is to happen.
    pub within_s: Option<f64>,
}

/// How workers behave.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Seconds between two heartbeats of a worker.
    pub report_s: f64,
    /// Seconds without an answer after which a worker stops all its tasks.
    pub lease_s: f64,
    /// Seconds that a member of a gang waits for the others to be ready.
    pub gang_wait_s: f64,
    /// Seconds after which the members of a gang notice that one of them is gone.
    pub gang_peer_s: f64,
    /// Seconds within which a cancelled job has to have ended.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writing requests per second.
    pub write_rps: f64,
    /// Size of a value, in KiB.
    pub value_kb: f64,
    /// Preconditions and writes of one transaction.
    pub txn_ops: usize,
    /// Limits that hold from some moment on, which nobody is told.
    pub next: Option<FutureStoreLimits>,
}

/// Limits of the key-value store that replace the present ones at some time; those left out stay.
#[derive(Debug, Clone, Deserialize)]
pub struct FutureStoreLimits {
    /// See [`StoreLimits::rps`].
    pub rps: Option<f64>,
    /// See [`StoreLimits::write_rps`].
    pub write_rps: Option<f64>,
    /// See [`StoreLimits::value_kb`].
    pub value_kb: Option<f64>,
    /// See [`StoreLimits::txn_ops`].
    pub txn_ops: Option<usize>,
}

impl StoreLimits {
    /// Applies the lower of the present and the later limits from the start, since the settings do not say
    /// when the later ones begin to hold.
    fn apply_lower_limits(&mut self) {
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

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Seconds by which the list of machines may be out of date.
    pub list_lag_s: f64,
}

/// Limits of a controller's process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Memory, in MiB.
    pub mem_mb: f64,
    /// Open sockets and files.
    pub fd_limit: usize,
}

impl Config {
    /// Reads and validates a file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut config: Self = toml::from_str(text)
            .map_err(|error| ConfigError::Parse(error.to_string().trim().replace('\n', " | ")))?;
        config.validate()?;
        config.deployment.state.apply_lower_limits();
        Ok(config)
    }

    /// Checks what the types of the fields do not express.
    fn validate(&self) -> Result<(), ConfigError> {
        self.deployment.validate()?;
        if self.controller.as_str().is_empty() {
            return invalid("host_name", "must not be empty");
        }
        self.validate_siblings()?;
        self.deployment.validate_teams()?;
        self.deployment.validate_objectives()
    }

    fn validate_siblings(&self) -> Result<(), ConfigError> {
        let mut names = HashSet::from([&self.controller]);
        for sibling in &self.siblings {
            if !names.insert(&sibling.controller) {
                return invalid("siblings.host_name", "each controller must be named once");
            }
        }
        Ok(())
    }

    /// The number of controllers, this one included.
    pub fn controller_count(&self) -> usize {
        self.siblings.len() + 1
    }

    /// A team's guarantee and limit, if the settings name it.
    pub fn team_limits(&self, team: &Team) -> Option<&TeamLimits> {
        self.deployment
            .teams
            .iter()
            .find(|limits| limits.name == *team)
    }

    /// The shortest objective on the starts of a class's tasks in seconds, if there is one.
    pub fn wait_objective(&self, class: &str) -> Option<f64> {
        self.objective("wait", class)
    }

    /// The shortest objective on the completion of a class's jobs in seconds, if there is one.
    pub fn finish_objective(&self, class: &str) -> Option<f64> {
        self.objective("finished", class)
    }

    fn objective(&self, kind: &str, class: &str) -> Option<f64> {
        self.deployment
            .objectives
            .iter()
            .filter(|each| each.kind == kind && each.class.as_deref() == Some(class))
            .filter_map(|each| each.within_s)
            .min_by(f64::total_cmp)
    }
}

impl Deployment {
    fn validate(&self) -> Result<(), ConfigError> {
        for (field, value) in [
            ("deployment.workers.report_s", self.workers.report_s),
            ("deployment.workers.lease_s", self.workers.lease_s),
            ("deployment.workers.gang_wait_s", self.workers.gang_wait_s),
            ("deployment.workers.gang_peer_s", self.workers.gang_peer_s),
            ("deployment.workers.cancel_s", self.workers.cancel_s),
            ("deployment.state.rps", self.state.rps),
            ("deployment.state.write_rps", self.state.write_rps),
            ("deployment.state.value_kb", self.state.value_kb),
            ("deployment.cloud.rps", self.cloud.rps),
            ("deployment.limits.mem_mb", self.limits.mem_mb),
        ] {
            require_positive(field, value)?;
        }
        for (field, value) in [
            ("deployment.clock_error_ms", self.clock_error_ms),
            ("deployment.cloud.list_lag_s", self.cloud.list_lag_s),
        ] {
            if !is_amount(value) {
                return invalid(field, "must not be negative");
            }
        }
        if let Some(next) = &self.state.next {
            next.validate()?;
        }
        require_txn_ops("deployment.state.txn_ops", self.state.txn_ops)?;
        if self.limits.fd_limit < MIN_FD_LIMIT {
            return invalid("deployment.limits.fd_limit", "must be at least 32");
        }
        Ok(())
    }

    fn validate_teams(&self) -> Result<(), ConfigError> {
        for team in &self.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if !amounts.into_iter().all(is_amount) {
                return invalid("deployment.teams", "amounts must not be negative");
            }
        }
        Ok(())
    }

    fn validate_objectives(&self) -> Result<(), ConfigError> {
        for within_s in self.objectives.iter().filter_map(|each| each.within_s) {
            require_positive("deployment.objectives.within_s", within_s)?;
        }
        Ok(())
    }
}

impl FutureStoreLimits {
    fn validate(&self) -> Result<(), ConfigError> {
        for (field, value) in [
            ("deployment.state.next.rps", self.rps),
            ("deployment.state.next.write_rps", self.write_rps),
            ("deployment.state.next.value_kb", self.value_kb),
        ] {
            if let Some(value) = value {
                require_positive(field, value)?;
            }
        }
        match self.txn_ops {
            Some(operations) => require_txn_ops("deployment.state.next.txn_ops", operations),
            None => Ok(()),
        }
    }
}

fn require_positive(field: &str, value: f64) -> Result<(), ConfigError> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        invalid(field, "must be a positive number")
    }
}

/// A transaction needs at least one precondition and one write.
fn require_txn_ops(field: &str, operations: usize) -> Result<(), ConfigError> {
    if operations >= MIN_TXN_OPS {
        Ok(())
    } else {
        invalid(field, "must be at least 2")
    }
}

/// Whether a number is finite and not negative.
fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn invalid<T>(field: &str, problem: &'static str) -> Result<T, ConfigError> {
    Err(ConfigError::Invalid {
        field: field.into(),
        problem,
    })
}

#[cfg(test)]
mod tests;

#[cfg(test)]
pub use tests::TEST_SETTINGS;
