//! Reconciliation of teams: the point at which everything that may run of a team is known.

use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{Attempt, JobId, MachineId, Team};
use std::collections::BTreeSet;

impl Shard {
    /// Once every machine is reconciled, tasks of a team that no heartbeat has shown run nowhere.
    pub(crate) fn reconcile_teams(&mut self, store: &StoreReplica) {
        self.strike_reconciled_machines(store);
        for incomplete_gang in self.reconcile_jobs() {
            self.lose_all_attempts(&incomplete_gang);
        }
    }

    /// Removes the machines that are reconciled by now from the teams that wait for them.
    fn strike_reconciled_machines(&mut self, store: &StoreReplica) {
        let machines = &self.machines;
        let on_map = &store.shard_map().machines;
        let is_reconciled = |id: &MachineId| {
            let machine = machines.get(id);
            machine.is_some_and(|machine| machine.is_owned && machine.reconciled())
        };
        let unreconciled_teams = self
            .teams
            .iter_mut()
            .filter(|(_, owned)| !owned.is_reconciled());
        for (team, owned) in unreconciled_teams {
            owned
                .unreconciled
                .retain(|id| on_map.contains_key(id) && !is_reconciled(id));
            if owned.is_reconciled() {
                tracing::info!(%team, "team reconciled");
            }
        }
    }

    /// Reconciles the jobs of reconciled teams. Returns the gangs that have lost a part between two owners.
    fn reconcile_jobs(&mut self) -> Vec<JobId> {
        let mut incomplete_gangs = Vec::new();
        for id in std::mem::take(&mut self.unreconciled_jobs) {
            self.visits += 1;
            let job = self.jobs.get_mut(&id);
            let Some(job) = job.filter(|job| job.unreconciled() > 0) else {
                continue;
            };
            let team = self.teams.get(&job.spec.team);
            if !team.is_some_and(|owned| owned.is_reconciled()) {
                self.unreconciled_jobs.insert(id);
                continue;
            }
            job.reconcile();
            self.changed_since_round = true;
            if job.is_gang() && job.placed() > 0 && !job.waiting().is_empty() {
                incomplete_gangs.push(id);
            }
        }
        incomplete_gangs
    }

    /// What is left of a gang that has lost a part can't go on.
    fn lose_all_attempts(&mut self, gang: &JobId) {
        let attempts: BTreeSet<Attempt> = match self.jobs.get(gang) {
            Some(job) => job.attempts(),
            None => return,
        };
        for attempt in attempts {
            self.stop_rest_of_gang(gang, attempt);
        }
    }

    /// Teams of which everything that may run is known, so that all their tasks may be started.
    pub fn reconciled_teams(&self) -> Vec<Team> {
        let reconciled = self.teams.iter().filter(|(_, owned)| owned.is_reconciled());
        reconciled.map(|(team, _)| team.clone()).collect()
    }
}
