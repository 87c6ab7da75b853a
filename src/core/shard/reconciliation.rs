//! Reconciliation of teams. A team is reconciled once all machines that may run its tasks have reported them.

use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{Attempt, JobId, MachineId, Team};
use std::collections::BTreeSet;

impl Shard {
    /// Reconciles the teams whose machines are all reconciled. A task of such a team is not running if no
    /// heartbeat has reported it.
    pub(crate) fn reconcile_teams(&mut self, store: &StoreReplica, now: Time) {
        self.update_unreconciled_machines(store);
        for (team, owned) in &mut self.teams {
            owned.log_reconciliation(team, now);
        }
        for incomplete_gang in self.reconcile_jobs() {
            self.stop_incomplete_gang(&incomplete_gang);
        }
    }

    /// Removes reconciled and deleted machines from the sets of machines that teams wait for.
    fn update_unreconciled_machines(&mut self, store: &StoreReplica) {
        let machines = &self.machines;
        let mapped_machines = &store.shard_map().machines;
        let is_reconciled = |id: &MachineId| {
            let machine = machines.get(id);
            machine.is_some_and(|machine| machine.is_owned && machine.reconciled())
        };
        let unreconciled_teams = self
            .teams
            .iter_mut()
            .filter(|(_, owned)| !owned.is_reconciled());
        for (_, owned) in unreconciled_teams {
            let last_reported = &mut owned.last_reported;
            owned.unreconciled.retain(|id| {
                let waits = mapped_machines.contains_key(id) && !is_reconciled(id);
                if !waits {
                    *last_reported = Some(id.clone());
                }
                waits
            });
        }
    }

    /// Reconciles the jobs of reconciled teams. Returns the gangs of which only some tasks are running,
    /// because others were lost while the team changed its owner.
    fn reconcile_jobs(&mut self) -> Vec<JobId> {
        let mut incomplete_gangs = Vec::new();
        for id in self.take_jobs_of_reconciled_teams() {
            self.visits += 1;
            let job = self.jobs.get_mut(&id);
            let Some(job) = job.filter(|job| job.unreconciled_count() > 0) else {
                continue;
            };
            job.reconcile();
            self.changed_since_round = true;
            if job.is_gang() && job.placed_count() > 0 && !job.waiting().is_empty() {
                incomplete_gangs.push(id);
            }
        }
        incomplete_gangs
    }

    /// Takes the unreconciled jobs of teams that are reconciled. Those of the other teams are not examined.
    fn take_jobs_of_reconciled_teams(&mut self) -> BTreeSet<JobId> {
        let mut jobs = BTreeSet::new();
        let teams = self.teams.iter().filter(|(_, owned)| owned.is_reconciled());
        for (team, _) in teams {
            jobs.extend(self.unreconciled_jobs.remove(team).into_iter().flatten());
        }
        jobs
    }

    /// Stops all attempts of a gang that has lost a task, because the remaining tasks cannot continue.
    fn stop_incomplete_gang(&mut self, gang: &JobId) {
        let attempts: BTreeSet<Attempt> = match self.jobs.get(gang) {
            Some(job) => job.attempts(),
            None => return,
        };
        for attempt in attempts {
            self.stop_rest_of_gang(gang, attempt);
        }
    }

    /// The reconciled teams, any task of which may be started.
    pub fn reconciled_teams(&self) -> Vec<Team> {
        let reconciled = self.teams.iter().filter(|(_, owned)| owned.is_reconciled());
        reconciled.map(|(team, _)| team.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
