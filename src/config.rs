//! The settings file of a controller. It is validated before anything starts.
//!
//! Two of its field names differ from the terms of the code: `host_name` (name of a controller) and `area`
//! (zone). The types below `Config` correspond to the tables of the file.

use crate::features::Features;
use crate::ids::{ControllerName, Team, Zone};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;

/// Lowest limit on sockets and files. With fewer, some listeners or clients would get no socket.
const MIN_FD_LIMIT: usize = 32;
/// Lowest limit on operations of a transaction: one precondition and one write.
const MIN_TXN_OPS: usize = 2;

/// Why a settings file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read settings file {path}: {source}")]
    Read {
        /// Path of the file, as given on the command line.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is missing or has the wrong type. Holds the parser's message
    /// on one line.
    #[error("settings: {0}")]
    Parse(String),
    /// A value is out of range.
    #[error("settings: {field}: {problem}")]
    Invalid {
        /// The field's path in the file.
        field: String,
        /// The requirement that the value does not meet.
        problem: &'static str,
    },
}

/// The settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// Name of this controller, unique in the fleet.
    #[serde(rename = "host_name")]
    pub controller: ControllerName,
    /// The zone that this controller runs in.
    #[serde(rename = "area")]
    pub zone: Zone,
    /// The address to listen on for requests of users, workers and health checks.
    pub front: SocketAddr,
    /// The address to listen on for other controllers and operators.
    #[serde(rename = "mesh_addr")]
    pub mesh: SocketAddr,
    /// The other controllers of the fleet.
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    /// Addresses of the services that controllers depend on.
    pub services: Services,
    /// Settings that all controllers of the fleet share.
    pub deployment: Deployment,
    /// Optional features, which are read from a separate file.
    #[serde(skip)]
    pub features: Features,
}

/// Another controller of the fleet.
#[derive(Debug, Clone, Deserialize)]
pub struct Sibling {
    /// Name of the controller, unique in the fleet.
    #[serde(rename = "host_name")]
    pub controller: ControllerName,
    /// The address on which it listens for other controllers (its `mesh_addr`).
    pub addr: SocketAddr,
}

/// Addresses of the services that controllers depend on.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// Address of the cloud's API for renting machines.
    pub cloud: SocketAddr,
    /// Address of the key-value store.
    pub state: SocketAddr,
}

/// Settings that all controllers of a fleet share.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Greatest difference between the wall clocks of two controllers, in milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// Guarantees and limits of teams.
    #[serde(default)]
    pub teams: Vec<TeamLimits>,
    /// Service-level objectives of workload classes.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of workers.
    pub workers: Workers,
    /// Limits of the key-value store.
    pub state: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resource limits of a controller's process.
    pub limits: ProcessLimits,
}

/// A team's guarantee and limit; 0 means that there is none.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamLimits {
    /// Name of the team, as job submissions give it.
    pub name: Team,
    /// CPUs that the team is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// CPUs that all tasks of the team may use together at most.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs that the team is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// GPUs that all tasks of the team may use together at most.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective of a workload class. Objectives of an unknown kind are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// The event that has to happen in time: `wait` (start of a task) or `finished` (completion of a job).
    pub kind: String,
    /// The workload class; an objective without one is ignored.
    pub class: Option<String>,
    /// Seconds from the submission to the event; an objective without them is ignored.
    pub within_s: Option<f64>,
}

/// Timing of workers.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Seconds between two heartbeats of a worker.
    pub report_s: f64,
    /// Seconds without an answer to its heartbeats after which a worker stops all its tasks.
    pub lease_s: f64,
    /// Seconds that a member of a gang waits for the others to be ready.
    pub gang_wait_s: f64,
    /// Seconds after which the members of a gang notice that another member is gone.
    pub gang_peer_s: f64,
    /// Seconds within which all tasks of a cancelled job must have ended.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Write requests per second.
    pub write_rps: f64,
    /// Greatest size of a value, in KiB.
    pub value_kb: f64,
    /// Greatest number of preconditions and writes of one transaction, counted together.
    pub txn_ops: usize,
    /// Limits that come into force at a time that the settings do not state.
    pub next: Option<FutureStoreLimits>,
}

/// Limits of the key-value store that later replace the present ones; a limit that is `None` stays.
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
    /// Applies the lower of the present and the future limits from the start, because the settings do not
    /// state when the future limits come into force.
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
    /// Seconds by which the cloud's list of machines may be out of date.
    pub list_lag_s: f64,
}

/// Resource limits of a controller's process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Memory of the process, in MiB.
    pub mem_mb: f64,
    /// Sockets and files that the process may have open at the same time.
    pub fd_limit: usize,
}

impl Config {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut config: Self = toml::from_str(text)
            .map_err(|error| ConfigError::Parse(error.to_string().trim().replace('\n', " | ")))?;
        config.validate()?;
        config.deployment.state.apply_lower_limits();
        Ok(config)
    }

    /// Checks the constraints that the field types do not express.
    fn validate(&self) -> Result<(), ConfigError> {
        self.deployment.validate()?;
        if self.controller.as_str().is_empty() {
            return invalid_field("host_name", "must not be empty");
        }
        self.validate_siblings()?;
        self.deployment.validate_teams()?;
        self.deployment.validate_objectives()
    }

    fn validate_siblings(&self) -> Result<(), ConfigError> {
        let mut names = HashSet::from([&self.controller]);
        for sibling in &self.siblings {
            if !names.insert(&sibling.controller) {
                return invalid_field("siblings.host_name", "each controller must be named once");
            }
        }
        Ok(())
    }

    /// The number of controllers in the fleet, this one included.
    pub fn controller_count(&self) -> usize {
        self.siblings.len() + 1
    }

    /// A team's guarantee and limit; `None` if the settings do not list the team.
    pub fn team_limits(&self, team: &Team) -> Option<&TeamLimits> {
        self.deployment
            .teams
            .iter()
            .find(|limits| limits.name == *team)
    }

    /// The shortest objective for the start of a class's tasks, in seconds from the submission.
    pub fn wait_objective(&self, class: &str) -> Option<f64> {
        self.shortest_objective("wait", class)
    }

    /// The shortest objective for the completion of a class's jobs, in seconds from the submission.
    pub fn finish_objective(&self, class: &str) -> Option<f64> {
        self.shortest_objective("finished", class)
    }

    fn shortest_objective(&self, kind: &str, class: &str) -> Option<f64> {
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
            if !is_non_negative(value) {
                return invalid_field(field, "must not be negative");
            }
        }
        if let Some(next) = &self.state.next {
            next.validate()?;
        }
        require_txn_ops("deployment.state.txn_ops", self.state.txn_ops)?;
        if self.limits.fd_limit < MIN_FD_LIMIT {
            return invalid_field("deployment.limits.fd_limit", "must be at least 32");
        }
        Ok(())
    }

    fn validate_teams(&self) -> Result<(), ConfigError> {
        for team in &self.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if !amounts.into_iter().all(is_non_negative) {
                return invalid_field("deployment.teams", "amounts must not be negative");
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
        invalid_field(field, "must be a positive number")
    }
}

/// Requires room for one precondition and one write in a transaction.
fn require_txn_ops(field: &str, operations: usize) -> Result<(), ConfigError> {
    if operations >= MIN_TXN_OPS {
        Ok(())
    } else {
        invalid_field(field, "must be at least 2")
    }
}

/// Whether a number is finite and at least 0.
fn is_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn invalid_field<T>(field: &str, problem: &'static str) -> Result<T, ConfigError> {
    Err(ConfigError::Invalid {
        field: field.into(),
        problem,
    })
}

#[cfg(test)]
mod tests;

#[cfg(test)]
pub use tests::TEST_SETTINGS;
