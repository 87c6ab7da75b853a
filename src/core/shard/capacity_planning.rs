//! What a share lacks and what it can spare. What is queued, and what is expected to arrive while
//! a machine boots, is packed onto the free room there is; what is left over is wanted, at the
//! lowest price per task. Machines that neither queue nor forecast would use can be spared, and
//! those that stay so for long are closed, so that the leader may return them.

use crate::config::Config;
use crate::core::effects::outbox::Outbox;
use crate::core::jobs::job::Job;
use crate::core::messages::capacity_demand::{
    CapacityDemand, MAX_MACHINES_PER_RENTAL, MachineOffer,
};
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::core::scheduling::constraints::team_limits;
use crate::core::scheduling::forecast::longest_boot;
use crate::core::scheduling::opportunistic::{machine_time, rentals_worth};
use crate::core::scheduling::packing::{PackingCandidate, Plan, TaskDemand};
use crate::core::scheduling::usage::Usage;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, Team};
use crate::wire::MachineType;

/// Machines with room told to the leader at most.
pub(crate) const ROOMY: usize = 6;

/// Opportunistic work that has not begun after this many times `cancel_s` may rent any machine.
pub(crate) const STARVED_CANCEL_TIMES: f64 = 3.0;

/// Leases after which a silent machine is given up.
pub(crate) const SILENT_LEASES: f64 = 3.0;

/// Machines that a share wants at once at most: as many as the cloud can be asked for within the time
/// that a cancellation has. A share that is to grow several times over must be able to ask for that
/// at once, for each further asking costs its users a boot.
pub(crate) fn most_wanted(config: &Config) -> u32 {
    let deployment = &config.deployment;
    let calls = deployment.cloud.rps * deployment.workers.cancel_s;
    (calls * MAX_MACHINES_PER_RENTAL as f64) as u32
}

/// What a share needs room for.
#[derive(Default)]
pub(crate) struct Demand {
    pub(crate) pressing: Vec<TaskDemand>,
    pub(crate) opportunistic: Vec<OpportunisticDemand>,
}

/// How long a job has waited with nothing of it on a machine. What is left of one that has begun must not
/// wait for ever either, if it is too little to be worth a machine.
pub(crate) fn unserved(job: &Job, now: Time) -> Time {
    if !job.began {
        return now - job.submitted;
    }
    let since = job.waits_since.filter(|_| job.placed() == 0);
    since.map_or(0.0, |since| now - since)
}

/// Waiting tasks of an opportunistic job.
pub(crate) struct OpportunisticDemand {
    pub(crate) job: JobId,
    pub(crate) wanted: TaskDemand,
    /// See [`unserved`].
    pub(crate) unserved_s: Time,
}

impl Shard {
    /// Tells what this share lacks and can spare, once a second.
    pub(crate) fn plan_when_due(
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
        for machine in self.machines.values().filter(|machine| machine.is_owned) {
            if now > machine.known_since.max(machine.last_answered) + lease * SILENT_LEASES + lag {
                need.unheard_machines.push(machine.id.clone());
            } else if machine.needs_new_token && !machine.address.is_empty() {
                need.tokens_to_renew
                    .push((machine.id.clone(), machine.token));
            }
        }
        need.teams_out_of_attempts = self.teams_short_of_attempts();
        self.sync_soon |= need.machine_demands != self.demand.machine_demands;
        self.demand = need;
    }

    pub(crate) fn plan(
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
        if need.machine_demands.is_empty() && need.queued == 0.0 && expects_none {
            self.consolidate(plan.candidates(), catalog, now);
        }
        self.plan_opportunistic(&mut plan, opportunistic, types, need);
        self.spare(&plan.into_bins(), catalog, now, need);
    }

    pub(crate) fn candidates(&self, now: Time) -> Vec<PackingCandidate> {
        let lease = self.config.deployment.workers.lease_s;
        let usable = self.machines.values().filter(|machine| {
            let terminating = machine.reclaimed_at.is_some() || machine.is_cordoned(now);
            machine.is_owned
                && !terminating
                && !machine.unresponsive
                && now <= machine.last_answered + lease
                && !machine.address.is_empty()
        });
        usable
            .map(|machine| {
                let offer = MachineOffer {
                    type_name: machine.type_name.clone(),
                    zone: machine.zone.clone(),
                    spot: machine.spot,
                };
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
    pub(crate) fn plan_opportunistic(
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
    pub(crate) fn demand(&self, catalog: &Catalog, usage: &mut Usage, now: Time) -> Demand {
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
    pub(crate) fn spare(
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
            let spare =
                machine.token_confirmed && machine.holds_only_opportunistic() && !candidate.used;
            machine.draining &= !candidate.planned && !idle;
            // Opportunistic work keeps spot machines only, and what was rented since a job was starved.
            let filled = machine.spot && (candidate.fills_up || !idle);
            let filled = filled || kept_for_starved.contains(&machine.id);
            let closed = spare && !filled && now - machine.idle_since > patience;
            self.changed |= machine.releasing && !closed;
            machine.releasing = closed;
            if !idle && spare {
                need.opportunistic_only_machines.push(machine.id.clone());
            } else if spare {
                need.spare_machines.push(machine.id.clone());
            } else if machine.usable(now) && idle && !candidate.waited_for {
                need.forecast_reserve.push(machine.id.clone());
            }
            if closed && idle {
                need.surplus_machines.push(machine.id.clone());
            } else if closed {
                emptied.push(machine.id.clone());
            }
        }
        for id in emptied {
            self.return_from_opportunistic(&id);
        }
        let rest = self.machines.values().filter(|machine| machine.usable(now));
        let given =
            |id| need.spare_machines.contains(id) || need.opportunistic_only_machines.contains(id);
        let rest = rest.filter(|machine| !given(&machine.id));
        let rest = rest.map(|machine| (machine.id.clone(), machine.gpus_without_urgent_work()));
        need.machines_with_free_gpus = rest.filter(|(_, gpus)| *gpus > 0.0).collect();
        need.machines_with_free_gpus
            .sort_by(|a, b| b.1.total_cmp(&a.1));
        need.machines_with_free_gpus.truncate(ROOMY);
        let waits = |team: &Team| {
            self.jobs
                .values()
                .any(|job| job.spec.team == *team && !job.waiting().is_empty())
        };
        let quiet = self
            .teams
            .iter()
            .filter(|(name, t)| t.unreconciled.is_empty() && !waits(name));
        need.teams_without_queue = quiet.map(|(name, _)| name.clone()).collect();
    }
}
