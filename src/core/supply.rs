//! What a share lacks and what it can spare. What is queued, and what is expected to arrive while
//! a machine boots, is packed onto the free room there is; what is left over is wanted, at the
//! lowest price per task. Machines that neither queue nor forecast would use can be spared, and
//! those that stay so for long are closed, so that the leader may return them.

use super::Time;
use super::catalog::Catalog;
use super::forecast::longest_boot;
use super::jobs::Job;
use super::opportunistic::{machine_time, rentals_worth};
use super::outbox::Outbox;
use super::owner::Shard;
use super::plan::{PackingCandidate, Plan, TaskDemand};
use super::quota::Usage;
use super::renting::RENT_LIMIT;
use super::schedule::team_limits;
use super::store::StoreReplica;
use crate::config::Config;
use crate::ids::{FencingToken, JobId, MachineId, Team, TypeName, Zone};
use crate::wire::{MachineType, Priority};
use serde::{Deserialize, Serialize};

/// A kind of machine that can be rented: type, zone, and whether spot.
pub type Offer = (TypeName, Zone, bool);

/// Machines that a share lacks, all for the same reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineDemand {
    pub count: u32,
    /// The cheapest for what waits.
    pub offer: Offer,
    /// Everything that would do, if somebody can spare it.
    pub any_of: Vec<Offer>,
    /// Of the task that asks first: what it takes, and how urgent it is; None for a forecast.
    pub urgency: Option<Priority>,
    pub gpus: f64,
    /// For opportunistic work, which comes after everything else.
    #[serde(
        rename = "opportunistic",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub opportunistic: bool,
}

/// What a share tells the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CapacityDemand {
    /// Machines that would serve what finds no room.
    pub wants: Vec<MachineDemand>,
    /// GPUs (of tasks without: CPUs) that wait for room, a waiting gang counting whole.
    pub queued: f64,
    /// Idle machines that no plan uses.
    pub spare: Vec<MachineId>,
    /// Idle machines that are kept for what is expected only.
    pub kept: Vec<MachineId>,
    /// Machines that only opportunistic work is on, and that no plan uses for anything else.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub yielding: Vec<MachineId>,
    /// Idle machines closed because they were idle for long.
    pub closed: Vec<MachineId>,
    /// Machines with room beside work that matters, most first: GPUs free or taken by work of
    /// normal and low priority.
    pub roomy: Vec<(MachineId, f64)>,
    /// Teams of which nothing waits.
    pub quiet: Vec<Team>,
    /// Machines that have not been heard of for long.
    pub silent: Vec<MachineId>,
    /// Machines that are to get a fresh token in place of this one.
    pub raise: Vec<(MachineId, FencingToken)>,
    /// Teams that are to get a fresh term.
    #[serde(rename = "worn")]
    pub exhausted: Vec<Team>,
}

impl CapacityDemand {
    /// Asks for a fresh token; whether that is news.
    pub fn raise(&mut self, id: &MachineId, token: FencingToken) -> bool {
        let news = !self
            .raise
            .iter()
            .any(|(other, of)| other == id && *of == token);
        if news {
            self.raise.push((id.clone(), token));
        }
        news
    }

    pub fn wanted(&self) -> u32 {
        self.wants.iter().map(|want| want.count).sum()
    }

    pub fn want(&mut self, want: MachineDemand) {
        match self.wants.last_mut() {
            Some(last)
                if (MachineDemand {
                    count: last.count,
                    ..want.clone()
                }) == *last =>
            {
                last.count += want.count;
            }
            _ => self.wants.push(want),
        }
    }
}

/// Machines with room told to the leader at most.
const ROOMY: usize = 6;
/// Opportunistic work that has not begun after this many times `cancel_s` may rent any machine.
const STARVED_CANCEL_TIMES: f64 = 3.0;
/// Leases after which a silent machine is given up.
const SILENT_LEASES: f64 = 3.0;

/// Machines that a share wants at once at most: as many as the cloud can be asked for within the time
/// that a cancellation has. A share that is to grow several times over must be able to ask for that
/// at once, for each further asking costs its users a boot.
fn most_wanted(config: &Config) -> u32 {
    let deployment = &config.deployment;
    let calls = deployment.cloud.rps * deployment.workers.cancel_s;
    (calls * RENT_LIMIT as f64) as u32
}

/// What a share needs room for.
#[derive(Default)]
struct Demand {
    pressing: Vec<TaskDemand>,
    opportunistic: Vec<OpportunisticDemand>,
}

/// How long a job has waited with nothing of it on a machine. What is left of one that has begun must not
/// wait for ever either, if it is too little to be worth a machine.
fn unserved(job: &Job, now: Time) -> Time {
    if !job.began {
        return now - job.submitted;
    }
    let since = job.waits_since.filter(|_| job.placed() == 0);
    since.map_or(0.0, |since| now - since)
}

/// Waiting tasks of an opportunistic job.
struct OpportunisticDemand {
    job: JobId,
    wanted: TaskDemand,
    /// See [`unserved`].
    unserved_s: Time,
}

impl Shard {
    /// Tells what this share lacks and can spare, once a second.
    pub(super) fn plan_when_due(
        &mut self,
        outbox: &Outbox,
        store: &StoreReplica,
        catalog: &Catalog,
    ) {
        let now = outbox.now;
        if now < self.next_plan || !catalog.known() || self.catching_up {
            return;
        }
        self.next_plan = now + self.config.deployment.workers.lease_s / 10.0;
        let mut need = CapacityDemand::default();
        self.plan(outbox, store, catalog, &mut need);
        let lease = self.config.deployment.workers.lease_s;
        let lag = self.config.deployment.cloud.list_lag_s;
        for machine in self.machines.values().filter(|machine| machine.mine) {
            if now > machine.seen.max(machine.answered) + lease * SILENT_LEASES + lag {
                need.silent.push(machine.id.clone());
            } else if machine.raise && !machine.address.is_empty() {
                need.raise.push((machine.id.clone(), machine.token));
            }
        }
        need.exhausted = self.teams_short_of_attempts();
        self.sync_soon |= need.wants != self.need.wants;
        self.need = need;
    }

    fn plan(
        &mut self,
        outbox: &Outbox,
        store: &StoreReplica,
        catalog: &Catalog,
        need: &mut CapacityDemand,
    ) {
        let now = outbox.now;
        let types = catalog.types();
        let refused = self.refused.clone();
        let mut plan = Plan::new(
            types,
            &refused,
            self.candidates(now),
            most_wanted(&self.config),
        );
        // What is needed does not depend on how much of the limit is granted yet.
        let mut usage = self.usage(store, outbox.wall_ms).without_grants();
        let Demand {
            pressing,
            opportunistic,
        } = self.demand(catalog, &mut usage, now);
        for wanted in pressing {
            plan.serve(wanted, need);
        }
        let upcoming = self.upcoming(store, usage, types, now);
        let expects_none = upcoming.wanted.is_empty();
        for (machine, room) in &upcoming.released {
            plan.release(machine, room);
        }
        for wanted in upcoming.wanted {
            plan.serve(wanted, need);
        }
        if need.wants.is_empty() && need.queued == 0.0 && expects_none {
            self.consolidate(plan.candidates(), catalog, now);
        }
        self.plan_opportunistic(&mut plan, opportunistic, types, need);
        self.spare(&plan.into_bins(), catalog, now, need);
    }

    fn candidates(&self, now: Time) -> Vec<PackingCandidate> {
        let lease = self.config.deployment.workers.lease_s;
        let usable = self.machines.values().filter(|machine| {
            let terminating = machine.leaves.is_some() || now < machine.cordoned_until;
            machine.mine
                && !terminating
                && !machine.unresponsive
                && now <= machine.answered + lease
                && !machine.address.is_empty()
        });
        usable
            .map(|machine| {
                let offer = (
                    machine.type_name.clone(),
                    machine.zone.clone(),
                    machine.spot,
                );
                let opportunistic = machine.opportunistic_room();
                PackingCandidate {
                    free: machine.free_for_other_work(),
                    total: machine.total,
                    opportunistic,
                    used: !machine.holds_only_opportunistic() && !machine.draining,
                    draining: machine.draining,
                    ..PackingCandidate::empty(Some(machine.id.clone()), offer)
                }
            })
            .collect()
    }

    /// What opportunistic work finds no room for, as far as machines are worth renting for it.
    fn plan_opportunistic(
        &mut self,
        plan: &mut Plan,
        demand: Vec<OpportunisticDemand>,
        types: &[MachineType],
        need: &mut CapacityDemand,
    ) {
        plan.count_opportunistic();
        let busy = demand
            .iter()
            .map(|demand| machine_time(types, &demand.wanted.spec, demand.wanted.count));
        let mut rentals = rentals_worth(types, busy.sum());
        let patience = self.config.deployment.workers.cancel_s * STARVED_CANCEL_TIMES;
        let without_machines = !self.has_machines();
        for OpportunisticDemand {
            job,
            wanted,
            unserved_s,
        } in demand
        {
            let out_of_patience = unserved_s > patience;
            if let Some(job) = self.jobs.get_mut(&job) {
                job.starved |= out_of_patience;
            }
            let starved = without_machines || out_of_patience;
            if starved {
                rentals = rentals.max(1);
            }
            plan.serve_opportunistic(wanted, starved, &mut rentals, need);
        }
    }

    /// What waits, and what is likely to arrive before a machine rented now could serve it; and the
    /// opportunistic work that waits.
    fn demand(&self, catalog: &Catalog, usage: &mut Usage, now: Time) -> Demand {
        let types = catalog.types();
        let mut demand = Demand::default();
        for id in self.queue(usage, now) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.failures.fails_everywhere() {
                continue;
            }
            let Some(team_limits) = team_limits(&self.config, &job.spec) else {
                continue;
            };
            let room = usage.room_in_limit(team_limits, &job.need(), job.waiting().len());
            usage.add_tasks(&team_limits.name, &job.need(), room);
            let count = room as u32;
            let (spec, zones) = (job.spec.clone(), job.zones.clone());
            let avoided = job.failures.avoided().cloned().unwrap_or_default();
            let spares_gpus = self.spares_gpus(&id, catalog, now);
            let urgency = Some(job.priority);
            let wanted = TaskDemand {
                spec,
                count,
                zones,
                avoided,
                urgency,
                spares_gpus,
            };
            if job.is_opportunistic(&self.config) {
                let unserved_s = unserved(job, now);
                demand.opportunistic.push(OpportunisticDemand {
                    job: id,
                    wanted,
                    unserved_s,
                });
            } else {
                demand.pressing.push(wanted);
            }
        }
        let boot = longest_boot(types);
        for spec in self.forecast.expected(&self.config, boot, now) {
            let count = spec.tasks;
            demand
                .pressing
                .push(TaskDemand::expected(types, spec, count));
        }
        demand
    }

    /// Idle machines that the plan does not use; after long they are closed to placement, and
    /// opened again if they are needed before the leader has taken them.
    fn spare(
        &mut self,
        candidates: &[PackingCandidate],
        catalog: &Catalog,
        now: Time,
        need: &mut CapacityDemand,
    ) {
        let mut emptied = Vec::new();
        let kept_for_starved = self.machines_of_starved_jobs();
        for candidate in candidates {
            let Some(machine) = candidate
                .machine
                .as_ref()
                .and_then(|id| self.machines.get_mut(id))
            else {
                continue;
            };
            // Another one would have to boot and to fetch what this one holds.
            let patience = catalog.boot_s(&machine.type_name) + machine.longest_fetch();
            let idle = machine.idle();
            let spare = machine.trusted && machine.holds_only_opportunistic() && !candidate.used;
            machine.draining &= !candidate.planned && !idle;
            // Opportunistic work keeps spot machines only, and what was rented since a job was starved.
            let filled = machine.spot && (candidate.fills_up || !idle);
            let filled = filled || kept_for_starved.contains(&machine.id);
            let closed = spare && !filled && now - machine.idle_since > patience;
            self.changed |= machine.releasing && !closed;
            machine.releasing = closed;
            if !idle && spare {
                need.yielding.push(machine.id.clone());
            } else if spare {
                need.spare.push(machine.id.clone());
            } else if machine.usable(now) && idle && !candidate.waited_for {
                need.kept.push(machine.id.clone());
            }
            if closed && idle {
                need.closed.push(machine.id.clone());
            } else if closed {
                emptied.push(machine.id.clone());
            }
        }
        for id in emptied {
            self.return_from_opportunistic(&id);
        }
        let rest = self.machines.values().filter(|machine| machine.usable(now));
        let given = |id| need.spare.contains(id) || need.yielding.contains(id);
        let rest = rest.filter(|machine| !given(&machine.id));
        let rest = rest.map(|machine| (machine.id.clone(), machine.room_beside_urgent()));
        need.roomy = rest.filter(|(_, gpus)| *gpus > 0.0).collect();
        need.roomy.sort_by(|a, b| b.1.total_cmp(&a.1));
        need.roomy.truncate(ROOMY);
        let waits = |team: &Team| {
            self.jobs
                .values()
                .any(|job| job.spec.team == *team && !job.waiting().is_empty())
        };
        let quiet = self
            .teams
            .iter()
            .filter(|(name, t)| t.unreconciled.is_empty() && !waits(name));
        need.quiet = quiet.map(|(name, _)| name.clone()).collect();
    }
}
