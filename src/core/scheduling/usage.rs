//! Teams' guarantees and limits, against everything that may be on a machine.

use crate::config::{Config, TeamLimits};
use crate::core::model::resources::Resources;
use crate::ids::Team;
use crate::wire::{JobSpec, Kind};
use quota_ledger::{Amount, Limit};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) const EPSILON: f64 = 1e-6;

/// CPUs and GPUs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct QuotaUnits {
    pub(crate) cpus: f64,
    pub(crate) gpus: f64,
}

impl QuotaUnits {
    pub(crate) fn of(need: &Resources) -> Self {
        Self {
            cpus: need.cpus,
            gpus: need.gpus,
        }
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
    }

    pub(crate) fn times(self, count: usize) -> Self {
        Self {
            cpus: self.cpus * count as f64,
            gpus: self.gpus * count as f64,
        }
    }

    pub(crate) fn amount(self) -> Amount {
        Amount::covering(self.cpus, self.gpus)
    }
}

/// What one team may be using.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamUsage {
    /// All of it.
    pub(crate) all: QuotaUnits,
    /// The part that was started here since the team was gained.
    pub(crate) own: QuotaUnits,
    /// What was started here may not pass our grant.
    pub(crate) ceiling: Option<Amount>,
    /// Nor can our grant pass this, as long as others hold what they hold.
    pub(crate) reachable: Option<Amount>,
    /// What waits beyond the ceiling though the limit allows it, and the first of that.
    pub(crate) lacking: QuotaUnits,
    pub(crate) first_lacking: QuotaUnits,
}

impl TeamUsage {
    /// How many of `most` tasks more what was started here may grow by within `bound`.
    pub(crate) fn own_within(
        &self,
        bound: Option<Amount>,
        team_limits: &TeamLimits,
        need: &Resources,
        most: usize,
    ) -> usize {
        let Some(bound) = bound else { return most };
        let limit = limit_of(team_limits);
        fitting(most, |count| {
            let mut own = self.own;
            own.add(QuotaUnits::of(need).times(count));
            bound.covers(&limit.limited(&own.amount()))
        })
    }
}

/// What each team may be using at this moment.
#[derive(Debug, Default)]
pub struct Usage {
    pub(crate) teams: BTreeMap<Team, TeamUsage>,
    /// Of these it is not known what they use: those with limits start nothing.
    pub(crate) closed: BTreeSet<Team>,
    /// Of these it is not known whether there is a record of grants: they start nothing.
    pub(crate) undecided: BTreeSet<Team>,
}

impl Usage {
    /// More that was started here.
    pub fn add(&mut self, team: &Team, cpus: f64, gpus: f64) {
        let used = self.teams.entry(team.clone()).or_default();
        used.all.add(QuotaUnits { cpus, gpus });
        used.own.add(QuotaUnits { cpus, gpus });
    }

    /// Many tasks more that were started here.
    pub fn add_tasks(&mut self, team: &Team, need: &Resources, count: usize) {
        let QuotaUnits { cpus, gpus } = QuotaUnits::of(need).times(count);
        self.add(team, cpus, gpus);
    }

    /// More that a former owner of the team may have started.
    pub(crate) fn add_inherited(&mut self, team: &Team, cpus: f64, gpus: f64) {
        self.teams
            .entry(team.clone())
            .or_default()
            .all
            .add(QuotaUnits { cpus, gpus });
    }

    pub fn close(&mut self, team: &Team) {
        self.closed.insert(team.clone());
    }

    #[cfg(test)]
    pub fn gpus(&self, team: &Team) -> f64 {
        self.of(team).gpus
    }

    pub(crate) fn of(&self, team: &Team) -> QuotaUnits {
        self.teams
            .get(team)
            .map(|used| used.all)
            .unwrap_or_default()
    }

    /// The same without regard to grants.
    pub fn without_grants(mut self) -> Self {
        for used in self.teams.values_mut() {
            used.ceiling = None;
            used.reachable = None;
        }
        self.undecided.clear();
        self
    }

    /// Whether the team may use this much more without passing its limit and our grant.
    pub fn allows(&self, team_limits: &TeamLimits, cpus: f64, gpus: f64) -> bool {
        let need = Resources {
            cpus,
            gpus,
            ..Resources::default()
        };
        self.room_in_limit(team_limits, &need, 1) == 1
            && self.covered_by_grant(team_limits, &need, 1) == 1
    }

    pub(crate) fn is_closed(&self, team_limits: &TeamLimits) -> bool {
        let closed = limit_of(team_limits).is_limited() && self.closed.contains(&team_limits.name);
        closed || self.undecided.contains(&team_limits.name)
    }

    pub(crate) fn covered_by_grant(
        &self,
        team_limits: &TeamLimits,
        need: &Resources,
        most: usize,
    ) -> usize {
        let used = self.teams.get(&team_limits.name);
        used.map_or(most, |used| {
            used.own_within(used.ceiling, team_limits, need, most)
        })
    }

    /// How many of `most` tasks fit into the team's limit, less what is granted to others.
    pub fn room_in_limit(&self, team_limits: &TeamLimits, need: &Resources, most: usize) -> usize {
        if self.is_closed(team_limits) {
            return 0;
        }
        let of_team = self.teams.get(&team_limits.name);
        let reachable = of_team.map_or(most, |used| {
            used.own_within(used.reachable, team_limits, need, most)
        });
        let used = self.of(&team_limits.name);
        fitting(reachable, |count| {
            let more = QuotaUnits::of(need).times(count);
            within(used.cpus + more.cpus, team_limits.cpus_max)
                && within(used.gpus + more.gpus, team_limits.gpus_max)
        })
    }

    /// How many of `most` tasks that would be started now our grant covers: all or none of them if
    /// they are to be `whole`. Notes what it holds back.
    pub fn room_in_grant(
        &mut self,
        team_limits: &TeamLimits,
        need: &Resources,
        most: usize,
        whole: bool,
    ) -> usize {
        let covered = self.covered_by_grant(team_limits, need, most);
        let need = QuotaUnits::of(need);
        if covered == most {
            return most;
        }
        let room = if whole { 0 } else { covered };
        let used = self.teams.entry(team_limits.name.clone()).or_default();
        if used.lacking == QuotaUnits::default() {
            used.first_lacking = need.times(if whole { most } else { 1 });
        }
        used.lacking.add(need.times(most - room));
        room
    }

    /// Whether it is known what the team uses.
    pub fn is_known(&self, team: &Team) -> bool {
        !self.closed.contains(team) && !self.undecided.contains(team)
    }

    /// What our grant of a team covers, and what those of former owners do.
    pub fn under_grants(&self, team: &Team) -> (Amount, Amount) {
        let Some(used) = self.teams.get(team) else {
            return Default::default();
        };
        let own = used.own.amount();
        (own, used.all.amount().less(&own))
    }

    /// What waits for a larger grant only, and the first of that.
    pub fn lacking(&self, team: &Team) -> (Amount, Amount) {
        let Some(used) = self.teams.get(team) else {
            return Default::default();
        };
        (used.lacking.amount(), used.first_lacking.amount())
    }

    /// Counts a team by its grants: what former owners started is at most what was granted to them,
    /// and once nothing is granted to them any more, all that runs is ours.
    pub(crate) fn count_by_grants(&mut self, team_limits: &TeamLimits, basis: Basis) {
        let limit = limit_of(team_limits);
        let closed = self.closed.contains(&team_limits.name);
        let used = self.teams.entry(team_limits.name.clone()).or_default();
        match basis {
            Basis::Undecided => {
                self.undecided.insert(team_limits.name.clone());
            }
            Basis::Counting { beginning } => {
                used.ceiling = beginning;
                used.own = used.all;
            }
            Basis::Granted { own, outstanding } if outstanding.is_zero() => {
                used.ceiling = Some(own);
                used.own = used.all;
            }
            Basis::Granted { own, outstanding } => {
                used.ceiling = Some(own);
                used.reachable = Some(limit.amount().less(&outstanding).max(&own));
                let (cpus, gpus) = outstanding.units();
                let bound = |counted: f64, granted: f64, is_limited: bool| match is_limited {
                    true if closed => granted,
                    true => counted.min(granted),
                    false => counted,
                };
                let limited = limit.amount();
                let inherited = QuotaUnits {
                    cpus: bound(
                        used.all.cpus - used.own.cpus,
                        cpus,
                        limited.cpu_thousandths > 0,
                    ),
                    gpus: bound(
                        used.all.gpus - used.own.gpus,
                        gpus,
                        limited.gpu_thousandths > 0,
                    ),
                };
                used.all = used.own;
                used.all.add(inherited);
                self.closed.remove(&team_limits.name);
            }
        }
    }

    /// Whether the team, with this much more, stays inside what it is guaranteed.
    pub fn guaranteed(&self, team_limits: &TeamLimits, cpus: f64, gpus: f64) -> bool {
        let used = self.of(&team_limits.name);
        let inside = |used: f64, guarantee: f64| guarantee > 0.0 && used <= guarantee + EPSILON;
        let named = team_limits.cpus > 0.0 || team_limits.gpus > 0.0;
        named
            && (team_limits.cpus == 0.0 || inside(used.cpus + cpus, team_limits.cpus))
            && (team_limits.gpus == 0.0 || inside(used.gpus + gpus, team_limits.gpus))
    }
}

/// The largest count up to `most` that is allowed, as are all below it.
pub(crate) fn fitting(most: usize, allowed: impl Fn(usize) -> bool) -> usize {
    (1..=most).take_while(|count| allowed(*count)).count()
}

/// 0 means no limit.
pub fn within(used: f64, limit: f64) -> bool {
    limit == 0.0 || used <= limit + EPSILON
}

/// Whether grants of team limits are switched on here.
pub fn are_on(config: &Config) -> bool {
    config
        .features
        .headroom(config.deployment.workers.lease_s)
        .is_some()
}

/// A team's limit as the ledger counts it.
pub fn limit_of(team_limits: &TeamLimits) -> Limit {
    Limit::new(team_limits.cpus_max, team_limits.gpus_max)
}

/// What an owner goes by when it starts tasks of a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Basis {
    /// It has not read yet what there is: it starts nothing.
    Undecided,
    /// Everything that anybody may have started counts. If a record is being begun, no more may run
    /// than it covers.
    Counting { beginning: Option<Amount> },
    /// Its own starts count against its grant, those of others up to what is granted to them.
    Granted { own: Amount, outstanding: Amount },
}

/// What a job needs at once at the least, against its team's limit.
pub fn least_need(spec: &JobSpec) -> (f64, f64) {
    let tasks = match spec.kind {
        Kind::Array => 1.0,
        Kind::Gang | Kind::Service => f64::from(spec.tasks),
    };
    (spec.cpus * tasks, spec.gpus * tasks)
}

#[cfg(test)]
mod tests;
