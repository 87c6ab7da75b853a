//! The capacity demand of a shard: the machines that it lacks and those that it can spare. The plan packs
//! queued tasks, and tasks that are expected to arrive while a machine boots, onto the existing machines. For
//! the remaining tasks it demands machines at the lowest price per task. Machines that neither the queue nor
//! the forecast uses are spare. Machines that stay unused for long are closed to placement, so that the
//! leader may return them to the cloud.

use crate::config::Config;
use crate::core::effects::outbox::Outbox;
use crate::core::jobs::job::Job;
use crate::core::machines::machine::Machine;
use crate::core::messages::capacity_demand::{
    CapacityDemand, MAX_MACHINES_PER_RENTAL, MachineOffer,
};
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::core::scheduling::constraints::team_limits;
use crate::core::scheduling::forecast::longest_boot_s;
use crate::core::scheduling::opportunistic::{machine_seconds, worthwhile_rentals};
use crate::core::scheduling::packing::Plan;
use crate::core::scheduling::packing::candidate::{PackingCandidate, TaskDemand};
use crate::core::scheduling::usage::Usage;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, MachineId, Team};
use crate::wire::MachineType;
use std::collections::BTreeSet;

/// Maximum number of machines with free GPUs that are reported to the leader.
const MAX_MACHINES_WITH_FREE_GPUS: usize = 6;

/// Time without a placed task after which an opportunistic job counts as starved, in multiples of `cancel_s`.
/// A machine may be rented for a starved job regardless of cost.
const STARVATION_CANCEL_PERIODS: f64 = 3.0;

/// Time without heartbeats after which a machine is reported to the leader, in lease durations.
const SILENT_MACHINE_LEASES: f64 = 3.0;

/// Number of capacity plans in one lease duration.
const PLANS_PER_LEASE: f64 = 10.0;

/// The maximum number of machines that a shard demands at once: as many as the cloud's API allows to be
/// requested within `cancel_s`. A shard that has to grow to several times its size must be able to demand all
/// machines at once, because each further round of demand costs its users a boot time.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a product of positive settings; the cast saturates"
)]
fn max_machines_wanted(config: &Config) -> u32 {
    let deployment = &config.deployment;
    let calls = deployment.cloud.rps * deployment.workers.cancel_s;
    (calls * MAX_MACHINES_PER_RENTAL as f64) as u32
}

/// Demand of tasks that have no machine yet.
#[derive(Default)]
struct PendingWork {
    /// Queued tasks of jobs that are not opportunistic, in queue order, followed by forecast tasks.
    ordinary: Vec<TaskDemand>,
    /// Queued tasks of opportunistic jobs, in queue order.
    opportunistic: Vec<OpportunisticDemand>,
}

/// Queued tasks of an opportunistic job.
struct OpportunisticDemand {
    job: JobId,
    tasks: TaskDemand,
    /// See [`unserved_time`].
    unserved_s: Time,
}

/// Time for which a job has waited with none of its tasks on a machine, in seconds. Jobs that have begun are
/// included, because their remaining tasks must not wait forever if they are too few to be worth a machine.
fn unserved_time(job: &Job, now: Time) -> Time {
    if !job.has_started {
        return now - job.runnable_since;
    }
    job.unplaced_since
        .filter(|_| job.placed_count() == 0)
        .map_or(0.0, |since| now - since)
}

impl Shard {
    /// Updates the shard's capacity demand if the planning interval has passed since the last update.
    pub(crate) fn plan_capacity_when_due(
        &mut self,
        outbox: &Outbox,
        store: &StoreReplica,
        catalog: &Catalog,
    ) {
        let now = outbox.now;
        if now < self.next_plan || !catalog.is_known() || self.catching_up {
            return;
        }
        self.next_plan = now + self.config.deployment.workers.lease_s / PLANS_PER_LEASE;
        let mut demand = CapacityDemand::default();
        self.plan_capacity(outbox, store, catalog, &mut demand);
        self.report_machines_needing_attention(&mut demand, now);
        demand.teams_out_of_attempts = self.teams_short_of_attempts();
        self.sibling_update_requested |= demand.machine_demands != self.demand.machine_demands;
        self.demand = demand;
    }

    /// Reports the machines that have sent no heartbeat for long and those that need a new fencing token.
    fn report_machines_needing_attention(&self, demand: &mut CapacityDemand, now: Time) {
        let lease_s = self.config.deployment.workers.lease_s;
        let list_lag_s = self.config.deployment.cloud.list_lag_s;
        for machine in self.machines.values().filter(|machine| machine.is_owned) {
            let last_heard = machine.known_since.max(machine.last_answered);
            if now > last_heard + lease_s * SILENT_MACHINE_LEASES + list_lag_s {
                demand.unheard_machines.push(machine.id.clone());
            } else if machine.needs_new_token && !machine.address.is_empty() {
                demand
                    .tokens_to_renew
                    .push((machine.id.clone(), machine.token));
            }
        }
    }

    fn plan_capacity(
        &mut self,
        outbox: &Outbox,
        store: &StoreReplica,
        catalog: &Catalog,
        demand: &mut CapacityDemand,
    ) {
        let now = outbox.now;
        let types = catalog.types();
        let unavailable = self.refused_offers.clone();
        let mut plan = Plan::new(
            types,
            &unavailable,
            self.packing_candidates(now),
            max_machines_wanted(&self.config),
        );
        // Demand counts against the teams' limits, not against the part of a limit that is already granted.
        let mut usage = self.usage(store, outbox.wall_ms).without_grants();
        let work = self.pending_work(catalog, &mut usage, now);
        for tasks in work.ordinary {
            plan.place(tasks, demand);
        }
        let upcoming_dependents = self.upcoming_dependents(store, usage, types, now);
        let has_no_upcoming_dependents = upcoming_dependents.demands.is_empty();
        for (machine, released) in &upcoming_dependents.released {
            plan.add_released(machine, released);
        }
        for tasks in upcoming_dependents.demands {
            plan.place(tasks, demand);
        }
        if demand.machine_demands.is_empty() && demand.queued == 0.0 && has_no_upcoming_dependents {
            self.consolidate(plan.candidates(), catalog, now);
        }
        self.plan_opportunistic(&mut plan, work.opportunistic, types, demand);
        self.report_unused(&plan.into_candidates(), catalog, now, demand);
    }

    /// The shard's machines on which a plan may place tasks. They include closed and draining machines.
    fn packing_candidates(&self, now: Time) -> Vec<PackingCandidate> {
        let lease_s = self.config.deployment.workers.lease_s;
        let is_usable = |machine: &&Machine| {
            let is_terminating = machine.reclaimed_at.is_some() || machine.is_cordoned(now);
            machine.is_owned
                && !is_terminating
                && !machine.unresponsive
                && now <= machine.last_answered + lease_s
                && !machine.address.is_empty()
        };
        self.machines
            .values()
            .filter(is_usable)
            .map(packing_candidate)
            .collect()
    }

    /// Plans opportunistic tasks on the remaining resources and on as many new machines as the work is worth.
    fn plan_opportunistic(
        &mut self,
        plan: &mut Plan,
        work: Vec<OpportunisticDemand>,
        types: &[MachineType],
        demand: &mut CapacityDemand,
    ) {
        plan.reserve_opportunistic();
        let machine_seconds_needed = work
            .iter()
            .map(|waiting| machine_seconds(types, &waiting.tasks.spec, waiting.tasks.count));
        let mut rental_budget = worthwhile_rentals(types, machine_seconds_needed.sum());
        let max_unserved_s = self.config.deployment.workers.cancel_s * STARVATION_CANCEL_PERIODS;
        let has_no_machines = !self.has_machines();
        for waiting in work {
            let has_waited_too_long = waiting.unserved_s > max_unserved_s;
            if let Some(job) = self.jobs.get_mut(&waiting.job) {
                job.starved |= has_waited_too_long;
            }
            let is_starved = has_no_machines || has_waited_too_long;
            if is_starved {
                rental_budget = rental_budget.max(1);
            }
            plan.place_opportunistic(waiting.tasks, is_starved, &mut rental_budget, demand);
        }
    }

    /// Queued tasks within their teams' limits, and tasks that are likely to arrive before a machine rented
    /// now has booted. Adds the queued tasks to `usage`.
    fn pending_work(&self, catalog: &Catalog, usage: &mut Usage, now: Time) -> PendingWork {
        let types = catalog.types();
        let mut work = PendingWork::default();
        for id in self.queued_jobs(usage, now) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.failures.fails_everywhere() {
                continue;
            }
            let Some(team_limits) = team_limits(&self.config, &job.spec) else {
                continue;
            };
            let need = job.need();
            let count = usage.tasks_within_limit(team_limits, &need, job.waiting().len());
            usage.add_tasks(&team_limits.name, &need, count);
            let must_keep_free_gpus_usable = self.must_keep_free_gpus_usable(&id, catalog, now);
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            let tasks = TaskDemand::queued(job, count, must_keep_free_gpus_usable);
            if job.is_opportunistic(&self.config) {
                work.opportunistic.push(OpportunisticDemand {
                    job: id,
                    tasks,
                    unserved_s: unserved_time(job, now),
                });
            } else {
                work.ordinary.push(tasks);
            }
        }
        let boot_s = longest_boot_s(types);
        for spec in self.forecast.expected_arrivals(&self.config, boot_s, now) {
            let count = spec.tasks;
            work.ordinary.push(TaskDemand::forecast(types, spec, count));
        }
        work
    }

    /// Reports idle machines, machines with free GPUs and teams without queued tasks. Machines that have been
    /// unused for long are closed to placement. A closed machine is opened again if it is needed before the
    /// leader has taken it.
    fn report_unused(
        &mut self,
        candidates: &[PackingCandidate],
        catalog: &Catalog,
        now: Time,
        demand: &mut CapacityDemand,
    ) {
        let kept_for_starved = self.machines_kept_for_starved_jobs();
        let mut machines_to_empty = Vec::new();
        for candidate in candidates {
            let is_closed_but_occupied =
                self.report_machine_use(candidate, &kept_for_starved, catalog, now, demand);
            if let (true, Some(id)) = (is_closed_but_occupied, &candidate.machine) {
                machines_to_empty.push(id.clone());
            }
        }
        for id in machines_to_empty {
            self.stop_opportunistic_tasks(&id);
        }
        self.report_free_gpus(now, demand);
        demand.teams_without_queue = self.teams_without_queue();
    }

    /// Closes or opens a machine for placement, and reports it if the plan does not use it. Returns true if
    /// the machine is closed and opportunistic tasks are still on it.
    fn report_machine_use(
        &mut self,
        candidate: &PackingCandidate,
        kept_for_starved: &BTreeSet<MachineId>,
        catalog: &Catalog,
        now: Time,
        demand: &mut CapacityDemand,
    ) -> bool {
        let machine = candidate.machine.as_ref();
        let Some(machine) = machine.and_then(|id| self.machines.get_mut(id)) else {
            return false;
        };
        // A replacement would have to boot and to fetch the images that this machine has cached.
        let idle_timeout_s = catalog.boot_s(&machine.type_name) + machine.longest_fetch_s();
        let is_idle = machine.idle();
        let is_spare =
            machine.token_confirmed && machine.holds_only_opportunistic() && !candidate.is_in_use;
        machine.draining &= !candidate.has_planned_tasks && !is_idle;
        // Opportunistic work keeps only spot instances and machines rented for starved jobs.
        let has_opportunistic_work = candidate.has_opportunistic_tasks || !is_idle;
        let is_kept_for_opportunistic =
            (machine.spot && has_opportunistic_work) || kept_for_starved.contains(&machine.id);
        let is_closed =
            is_spare && !is_kept_for_opportunistic && now - machine.idle_since > idle_timeout_s;
        self.changed_since_round |= machine.releasing && !is_closed;
        machine.releasing = is_closed;
        if !is_idle && is_spare {
            demand.opportunistic_only_machines.push(machine.id.clone());
        } else if is_spare {
            demand.spare_machines.push(machine.id.clone());
        } else if machine.usable(now) && is_idle && !candidate.has_queued_tasks {
            demand.forecast_reserve.push(machine.id.clone());
        }
        if is_closed && is_idle {
            demand.surplus_machines.push(machine.id.clone());
        }
        is_closed && !is_idle
    }

    /// Reports the machines with the most GPUs that are free or run work of at most normal priority. Machines
    /// that were already reported as spare or as running only opportunistic tasks are left out.
    fn report_free_gpus(&self, now: Time, demand: &mut CapacityDemand) {
        let is_reported = |id| {
            demand.spare_machines.contains(id) || demand.opportunistic_only_machines.contains(id)
        };
        let mut with_free_gpus: Vec<(MachineId, f64)> = self
            .machines
            .values()
            .filter(|machine| machine.usable(now) && !is_reported(&machine.id))
            .map(|machine| (machine.id.clone(), machine.gpus_without_urgent_work()))
            .filter(|(_, gpus)| *gpus > 0.0)
            .collect();
        with_free_gpus.sort_by(|(_, gpus), (_, other)| other.total_cmp(gpus));
        with_free_gpus.truncate(MAX_MACHINES_WITH_FREE_GPUS);
        demand.machines_with_free_gpus = with_free_gpus;
    }

    /// The teams that have no waiting task and whose tasks on all machines are known.
    fn teams_without_queue(&self) -> Vec<Team> {
        let has_queue = |team: &Team| {
            self.jobs
                .values()
                .any(|job| job.spec.team == *team && !job.waiting().is_empty())
        };
        self.teams
            .iter()
            .filter(|(name, team)| team.unreconciled.is_empty() && !has_queue(name))
            .map(|(name, _)| name.clone())
            .collect()
    }
}

/// Describes an existing machine as a candidate for a plan.
fn packing_candidate(machine: &Machine) -> PackingCandidate {
    let offer = MachineOffer {
        type_name: machine.type_name.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
    };
    PackingCandidate {
        free: machine.free_for_other_work(),
        total: machine.total,
        opportunistic_resources: machine.opportunistic_resources(),
        is_in_use: !machine.holds_only_opportunistic() && !machine.draining,
        is_draining: machine.draining,
        ..PackingCandidate::empty(Some(machine.id.clone()), offer)
    }
}
