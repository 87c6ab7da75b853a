//! Quotas of teams: their usage, and the further tasks that their limits, grants and guarantees allow. Usage
//! includes every task that may be on a machine.

use crate::config::{Config, TeamLimits};
use crate::core::model::resources::Resources;
use crate::ids::{Team, Version};
use crate::wire::{JobKind, JobSpec};
use quota_ledger::{Amount, Limit};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Tolerance for rounding errors in sums of CPUs and GPUs.
const EPSILON: f64 = 1e-6;

/// An amount of the resources that quotas count, which excludes memory.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct QuotaUnits {
    /// Number of CPUs; may be fractional.
    pub(crate) cpus: f64,
    /// Number of GPUs; may be fractional.
    pub(crate) gpus: f64,
}

impl QuotaUnits {
    fn of(need: &Resources) -> Self {
        Self {
            cpus: need.cpus,
            gpus: need.gpus,
        }
    }

    fn add(&mut self, other: Self) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
    }

    fn times(self, count: usize) -> Self {
        Self {
            cpus: self.cpus * count as f64,
            gpus: self.gpus * count as f64,
        }
    }

    fn amount(self) -> Amount {
        Amount::covering(self.cpus, self.gpus)
    }

    /// Whether this is more than a team's limit.
    pub(crate) fn exceeds_limit(self, team_limits: &TeamLimits) -> bool {
        !is_within_limit(self.cpus, team_limits.cpus_max)
            || !is_within_limit(self.gpus, team_limits.gpus_max)
    }
}

impl fmt::Display for QuotaUnits {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} CPUs {} GPUs", self.cpus, self.gpus)
    }
}

/// The evidence for a part of what a team may be using.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UsageTerm {
    /// Attempts that this process has issued, or that machines or siblings have reported.
    Attempts,
    /// Tasks of unfinished jobs that machines may run which have not reported.
    Unreconciled,
    /// Tasks of cancelled jobs that machines may run which have not reported.
    Cancelled,
}

/// What a team may be using, by the evidence for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct UsageTerms {
    /// See [`UsageTerm::Attempts`].
    pub(crate) attempts: QuotaUnits,
    /// See [`UsageTerm::Unreconciled`].
    pub(crate) unreconciled: QuotaUnits,
    /// See [`UsageTerm::Cancelled`].
    pub(crate) cancelled: QuotaUnits,
}

impl UsageTerms {
    fn add(&mut self, term: UsageTerm, units: QuotaUnits) {
        match term {
            UsageTerm::Attempts => self.attempts.add(units),
            UsageTerm::Unreconciled => self.unreconciled.add(units),
            UsageTerm::Cancelled => self.cancelled.add(units),
        }
    }
}

impl fmt::Display for UsageTerms {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            attempts,
            unreconciled,
            cancelled,
        } = self;
        write!(
            formatter,
            "attempts {attempts}, unreconciled {unreconciled}, cancelled {cancelled}"
        )
    }
}

/// Resources that one team may be using, and its grant.
#[derive(Clone, Debug, Default)]
struct TeamUsage {
    /// What the team may be using, whatever is granted.
    terms: UsageTerms,
    /// Resources of all tasks that may be on a machine.
    total: QuotaUnits,
    /// The part of `total` that belongs to tasks that this process started since it gained the team.
    own: QuotaUnits,
    /// The grant, which `own` must not exceed; `None` if no grant applies.
    granted: Option<Amount>,
    /// The most that can be granted while other holders keep their grants; `None` if no grant applies.
    grantable: Option<Amount>,
    /// Resources of tasks that the limit allows and that wait for a larger grant.
    blocked: QuotaUnits,
    /// Resources of the first of the blocked tasks, or of its whole gang.
    first_blocked: QuotaUnits,
}

impl TeamUsage {
    /// Number of further tasks, up to `max_tasks`, for which `own` stays within `bound`.
    fn tasks_within(
        &self,
        bound: Option<Amount>,
        team_limits: &TeamLimits,
        need: &Resources,
        max_tasks: usize,
    ) -> usize {
        let Some(bound) = bound else {
            return max_tasks;
        };
        let limit = limit_of(team_limits);
        largest_allowed_count(max_tasks, |count| {
            let mut own = self.own;
            own.add(QuotaUnits::of(need).times(count));
            bound.covers(&limit.limited_part(&own.amount()))
        })
    }

    /// Applies a grant while other holders have grants outstanding. Of a limited resource, inherited usage
    /// counts up to the amount granted to them; if the team's usage `is_unknown`, that whole amount counts.
    fn apply_grant(&mut self, limit: &Limit, own: Amount, outstanding: &Amount, is_unknown: bool) {
        self.granted = Some(own);
        self.grantable = Some(limit.amount().saturating_sub(outstanding).max(&own));
        let (cpus, gpus) = outstanding.cpus_and_gpus();
        let count_inherited = |counted: f64, granted: f64, is_limited: bool| match is_limited {
            true if is_unknown => granted,
            true => counted.min(granted),
            false => counted,
        };
        let limited = limit.amount();
        let inherited = QuotaUnits {
            cpus: count_inherited(
                self.total.cpus - self.own.cpus,
                cpus,
                limited.cpu_thousandths > 0,
            ),
            gpus: count_inherited(
                self.total.gpus - self.own.gpus,
                gpus,
                limited.gpu_thousandths > 0,
            ),
        };
        self.total = self.own;
        self.total.add(inherited);
    }
}

/// Resources that each team may be using at present.
#[derive(Debug, Default)]
pub struct Usage {
    /// The revision of the store up to which the usage is known.
    pub(crate) read_up_to: Version,
    teams: BTreeMap<Team, TeamUsage>,
    /// Teams whose usage is unknown. Those with limits start nothing.
    unknown_usage: BTreeSet<Team>,
    /// Teams for which it is unknown whether a record of grants exists. They start nothing.
    unknown_grants: BTreeSet<Team>,
}

impl Usage {
    /// Creates the usage of teams without tasks, which is known up to this revision of the store.
    pub(crate) fn known_up_to(read_up_to: Version) -> Self {
        Self {
            read_up_to,
            ..Self::default()
        }
    }

    /// Adds resources of tasks that this process started.
    pub fn add(&mut self, team: &Team, cpus: f64, gpus: f64) {
        let used = self.teams.entry(team.clone()).or_default();
        used.terms
            .add(UsageTerm::Attempts, QuotaUnits { cpus, gpus });
        used.total.add(QuotaUnits { cpus, gpus });
        used.own.add(QuotaUnits { cpus, gpus });
    }

    /// Adds `count` equal tasks that this process started.
    pub fn add_tasks(&mut self, team: &Team, need: &Resources, count: usize) {
        let QuotaUnits { cpus, gpus } = QuotaUnits::of(need).times(count);
        self.add(team, cpus, gpus);
    }

    /// Adds resources of tasks that a previous owner of the team may have started.
    pub(crate) fn add_inherited(&mut self, team: &Team, term: UsageTerm, cpus: f64, gpus: f64) {
        let used = self.teams.entry(team.clone()).or_default();
        used.terms.add(term, QuotaUnits { cpus, gpus });
        used.total.add(QuotaUnits { cpus, gpus });
    }

    /// What the team may be using, by the evidence for it.
    pub(crate) fn terms(&self, team: &Team) -> UsageTerms {
        self.teams
            .get(team)
            .map(|used| used.terms)
            .unwrap_or_default()
    }

    /// Marks the usage of a team as unknown.
    pub fn mark_unknown(&mut self, team: &Team) {
        self.unknown_usage.insert(team.clone());
    }

    /// GPUs that the team may be using.
    #[cfg(test)]
    pub fn gpus(&self, team: &Team) -> f64 {
        self.total(team).gpus
    }

    fn total(&self, team: &Team) -> QuotaUnits {
        self.teams
            .get(team)
            .map(|used| used.total)
            .unwrap_or_default()
    }

    /// Returns the same usage without grants, so that only limits apply.
    pub fn without_grants(mut self) -> Self {
        for used in self.teams.values_mut() {
            used.granted = None;
            used.grantable = None;
        }
        self.unknown_grants.clear();
        self
    }

    /// Whether the team may use this much more within both its limit and its grant.
    #[cfg(test)]
    pub fn allows(&self, team_limits: &TeamLimits, cpus: f64, gpus: f64) -> bool {
        let need = Resources {
            cpus,
            gpus,
            ..Resources::default()
        };
        self.tasks_within_limit(team_limits, &need, 1) == 1
            && self.tasks_within_grant(team_limits, &need, 1) == 1
    }

    /// Whether the team may start nothing because its usage or its grant is unknown.
    fn is_blocked(&self, team_limits: &TeamLimits) -> bool {
        let is_unknown = self.unknown_usage.contains(&team_limits.name);
        (limit_of(team_limits).is_limited() && is_unknown)
            || self.unknown_grants.contains(&team_limits.name)
    }

    /// Number of further tasks, up to `max_tasks`, that the team's grant covers.
    fn tasks_within_grant(
        &self,
        team_limits: &TeamLimits,
        need: &Resources,
        max_tasks: usize,
    ) -> usize {
        let used = self.teams.get(&team_limits.name);
        used.map_or(max_tasks, |used| {
            used.tasks_within(used.granted, team_limits, need, max_tasks)
        })
    }

    /// Number of further tasks, up to `max_tasks`, that fit into the team's limit less the grants of others.
    pub fn tasks_within_limit(
        &self,
        team_limits: &TeamLimits,
        need: &Resources,
        max_tasks: usize,
    ) -> usize {
        if self.is_blocked(team_limits) {
            return 0;
        }
        let team_usage = self.teams.get(&team_limits.name);
        let grantable = team_usage.map_or(max_tasks, |used| {
            used.tasks_within(used.grantable, team_limits, need, max_tasks)
        });
        let used = self.total(&team_limits.name);
        largest_allowed_count(grantable, |count| {
            let more = QuotaUnits::of(need).times(count);
            is_within_limit(used.cpus + more.cpus, team_limits.cpus_max)
                && is_within_limit(used.gpus + more.gpus, team_limits.gpus_max)
        })
    }

    /// Returns the number of tasks, up to `max_tasks`, that the team's grant allows to start now; for a gang
    /// all or none. Records the tasks that have to wait for a larger grant.
    pub fn admit_under_grant(
        &mut self,
        team_limits: &TeamLimits,
        need: &Resources,
        max_tasks: usize,
        is_gang: bool,
    ) -> usize {
        let covered = self.tasks_within_grant(team_limits, need, max_tasks);
        let need = QuotaUnits::of(need);
        if covered == max_tasks {
            return max_tasks;
        }
        let admitted = if is_gang { 0 } else { covered };
        let used = self.teams.entry(team_limits.name.clone()).or_default();
        if used.blocked == QuotaUnits::default() {
            used.first_blocked = need.times(if is_gang { max_tasks } else { 1 });
        }
        used.blocked.add(need.times(max_tasks - admitted));
        admitted
    }

    /// Whether both the team's usage and its grant are known.
    pub fn is_known(&self, team: &Team) -> bool {
        !self.unknown_usage.contains(team) && !self.unknown_grants.contains(team)
    }

    /// The team's usage that counts against this process's grant, and the usage that counts against the
    /// grants of previous owners.
    pub fn own_and_inherited(&self, team: &Team) -> (Amount, Amount) {
        let Some(used) = self.teams.get(team) else {
            return Default::default();
        };
        let own = used.own.amount();
        (own, used.total.amount().saturating_sub(&own))
    }

    /// Resources of all tasks of the team that wait only for a larger grant, and those of the first of them.
    pub fn blocked_by_grant(&self, team: &Team) -> (Amount, Amount) {
        let Some(used) = self.teams.get(team) else {
            return Default::default();
        };
        (used.blocked.amount(), used.first_blocked.amount())
    }

    /// Accounts for a team's usage on the given basis. Tasks of previous owners use at most the amount
    /// granted to these owners. Once nothing is granted to them, all running tasks count as this process's.
    pub(crate) fn apply_basis(&mut self, team_limits: &TeamLimits, basis: QuotaBasis) {
        let is_unknown = self.unknown_usage.contains(&team_limits.name);
        let used = self.teams.entry(team_limits.name.clone()).or_default();
        match basis {
            QuotaBasis::Undecided => {
                self.unknown_grants.insert(team_limits.name.clone());
            }
            QuotaBasis::Counting { unconfirmed_grant } => {
                used.granted = unconfirmed_grant;
                used.own = used.total;
            }
            QuotaBasis::Granted { own, outstanding } if outstanding.is_zero() => {
                used.granted = Some(own);
                used.own = used.total;
            }
            QuotaBasis::Granted { own, outstanding } => {
                used.apply_grant(&limit_of(team_limits), own, &outstanding, is_unknown);
                self.unknown_usage.remove(&team_limits.name);
            }
        }
    }

    /// Whether the team stays within its guaranteed quota with this much more. A team without a guarantee
    /// never does.
    pub fn is_within_guarantee(&self, team_limits: &TeamLimits, cpus: f64, gpus: f64) -> bool {
        let used = self.total(&team_limits.name);
        let is_within = |used: f64, guarantee: f64| guarantee > 0.0 && used <= guarantee + EPSILON;
        let has_guarantee = team_limits.cpus > 0.0 || team_limits.gpus > 0.0;
        has_guarantee
            && (team_limits.cpus == 0.0 || is_within(used.cpus + cpus, team_limits.cpus))
            && (team_limits.gpus == 0.0 || is_within(used.gpus + gpus, team_limits.gpus))
    }
}

/// The largest count, up to `max`, such that it and all smaller positive counts are allowed.
fn largest_allowed_count(max: usize, is_allowed: impl Fn(usize) -> bool) -> usize {
    (1..=max).take_while(|count| is_allowed(*count)).count()
}

/// Whether `used` is within a limit. A limit of 0 means unlimited.
pub fn is_within_limit(used: f64, limit: f64) -> bool {
    limit == 0.0 || used <= limit + EPSILON
}

/// Whether grants of team limits are enabled in this configuration.
pub fn grants_are_enabled(config: &Config) -> bool {
    config
        .features
        .headroom(config.deployment.workers.lease_s)
        .is_some()
}

/// A team's limit in the units of the quota ledger.
pub fn limit_of(team_limits: &TeamLimits) -> Limit {
    Limit::new(team_limits.cpus_max, team_limits.gpus_max)
}

/// Basis on which the owner of a team accounts for the team's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaBasis {
    /// The owner has not yet read whether a record of grants exists, or one exists that is to be deleted. It
    /// starts nothing.
    Undecided,
    /// All tasks that any owner may have started count against the limit.
    Counting {
        /// The owner's grant in a record of grants whose creation is not confirmed, if there is one. Running
        /// tasks must not exceed it.
        unconfirmed_grant: Option<Amount>,
    },
    /// The owner's tasks count against its grant. Tasks of other holders count up to the amount granted to
    /// them.
    Granted {
        /// The owner's grant.
        own: Amount,
        /// The amount that is granted to other holders.
        outstanding: Amount,
    },
}

/// The smallest quota with which the job can run: of one task for an array, of all tasks otherwise.
pub(crate) fn minimum_quota(spec: &JobSpec) -> QuotaUnits {
    let tasks = match spec.kind {
        JobKind::Array => 1.0,
        JobKind::Gang | JobKind::Service => f64::from(spec.tasks),
    };
    QuotaUnits {
        cpus: spec.cpus * tasks,
        gpus: spec.gpus * tasks,
    }
}

#[cfg(test)]
mod tests;
