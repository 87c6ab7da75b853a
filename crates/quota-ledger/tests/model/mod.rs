//! Simulates five controllers that share one team's limit, in virtual time, with faults of the controllers,
//! the store and the links to workers. After each event it checks the sum of the GPUs in use.

use quota_ledger::{
    Amount, Demand, EndedHolders, HeadroomPolicy, Holder, HolderId, Limit, Proposal, TeamLedger,
    WriteOutcome,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub const CONTROLLERS: usize = 5;
const MACHINES: usize = 10;
pub const LIMIT_GPUS: f64 = 24.0;
/// Seconds between two steps of a controller.
const STEP_S: f64 = 0.25;
/// Seconds without contact after which a controller's machines are assigned to another controller.
const FAILOVER_S: f64 = 6.0;
/// Seconds at the start in which faults occur.
const FAULTY_S: f64 = 240.0;
/// Seconds without faults that follow.
const QUIET_S: f64 = 200.0;

/// A safety rule that is disabled, to show that the check detects the violation which the rule prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisabledRule {
    /// All rules are in force.
    None,
    /// The store executes writes without comparing versions.
    CompareAndSwap,
    /// A grant is used before the store has confirmed it.
    Confirmation,
    /// Writes with an unknown outcome do not reduce the usable grant.
    InDoubtWrites,
    /// The grants of an ended process are taken over before all its machines have reported.
    MachineReports,
    /// Workers execute the commands of former owners.
    Fencing,
    /// Task starts count as usage only after the worker has confirmed them.
    StartsInFlight,
}

#[derive(Clone)]
struct Task {
    id: u64,
    gpus: f64,
    run_s: f64,
}

struct Machine {
    /// Index of the controller that owns the machine.
    owner: usize,
    /// The owner's fencing token in the shard map.
    owner_token: u64,
    /// The highest fencing token that the worker has received.
    highest_token: u64,
    /// GPUs and duration in seconds of the running tasks, by id.
    running: BTreeMap<u64, (f64, f64)>,
}

struct Controller {
    alive: bool,
    paused_until: f64,
    /// Time in seconds of the last step, from which the leader detects failures.
    last_contact: f64,
    /// Identifies the process, and is its holder's term.
    term: u64,
    holder: Holder,
    /// The controller's machines and their fencing tokens as of the last read of the shard map.
    machines: BTreeMap<usize, u64>,
    /// Whether the process has ever had a machine.
    has_had_machines: bool,
    /// GPUs of the tasks that the process started or inherited, and whether the worker has confirmed them.
    tasks: BTreeMap<u64, (f64, bool)>,
    /// GPUs of the tasks found on machines that the grants of former holders still cover.
    found_tasks: BTreeMap<u64, f64>,
    /// Former holders that owned the machines, each with the machines that have not reported yet.
    former_holders: Vec<(HolderId, BTreeSet<usize>)>,
    waiting: Vec<Task>,
    /// This holder's grant in the write in flight.
    unconfirmed_grant: Amount,
}

enum Action {
    Step(usize),
    Write {
        node: usize,
        term: u64,
        proposal: Proposal,
        answered: bool,
    },
    Answer {
        node: usize,
        term: u64,
        outcome: WriteOutcome,
    },
    Start {
        node: usize,
        term: u64,
        machine: usize,
        token: u64,
        task: Task,
    },
    ConfirmStart {
        node: usize,
        term: u64,
        task: u64,
        runs: bool,
    },
    EndTask {
        machine: usize,
        task: u64,
    },
    ReportMachine {
        node: usize,
        term: u64,
        machine: usize,
        token: u64,
    },
    Crash(usize),
    Restart(usize),
    Pause(usize, f64),
}

pub struct Model {
    now: f64,
    sequence: u64,
    /// Scheduled actions, ordered by time in microseconds and then by sequence number.
    actions: BTreeMap<(u64, u64), Action>,
    rng: StdRng,
    disabled_rule: DisabledRule,
    limit: Limit,
    next_term: u64,
    next_task: u64,
    /// Version and record.
    store: (u64, Option<TeamLedger>),
    /// Start and length in seconds of the outages of the store.
    outages: Vec<(f64, f64)>,
    controllers: Vec<Controller>,
    machines: Vec<Machine>,
    pub max_running_gpus: f64,
    pub started_tasks: usize,
    pub writes: usize,
    pub crashes: usize,
}

fn new_holder(node: usize, term: u64, limit: Limit) -> Holder {
    let id = HolderId {
        term,
        incarnation: term,
        node: format!("n{node}"),
    };
    Holder::new(
        id,
        limit,
        HeadroomPolicy {
            limit_fraction: 0.125,
            surplus_delay_s: 5.0,
        },
    )
}

impl Model {
    pub fn new(seed: u64, disabled_rule: DisabledRule) -> Self {
        let limit = Limit::new(0.0, LIMIT_GPUS);
        let mut rng = StdRng::seed_from_u64(seed);
        let controllers = (0..CONTROLLERS).map(|node| {
            let term = node as u64 + 1;
            Controller {
                alive: true,
                paused_until: 0.0,
                last_contact: 0.0,
                term,
                holder: new_holder(node, term, limit),
                machines: BTreeMap::new(),
                has_had_machines: false,
                tasks: BTreeMap::new(),
                found_tasks: BTreeMap::new(),
                former_holders: Vec::new(),
                waiting: Vec::new(),
                unconfirmed_grant: Amount::ZERO,
            }
        });
        let machines = (0..MACHINES).map(|machine| {
            let owner = machine % CONTROLLERS;
            Machine {
                owner,
                owner_token: owner as u64 + 1,
                highest_token: 0,
                running: BTreeMap::new(),
            }
        });
        let outages =
            (0..2).map(|_| (rng.random_range(0.0..FAULTY_S), rng.random_range(1.0..40.0)));
        let outages: Vec<(f64, f64)> = outages.collect();
        let creator = HolderId {
            term: 0,
            incarnation: 0,
            node: "founder".into(),
        };
        let mut model = Self {
            now: 0.0,
            sequence: 0,
            actions: BTreeMap::new(),
            rng,
            disabled_rule,
            limit,
            next_term: CONTROLLERS as u64 + 1,
            next_task: 0,
            store: (1, Some(TeamLedger::create(&creator, Amount::ZERO))),
            outages,
            controllers: controllers.collect(),
            machines: machines.collect(),
            max_running_gpus: 0.0,
            started_tasks: 0,
            writes: 0,
            crashes: 0,
        };
        for node in 0..CONTROLLERS {
            model.schedule(0.01 * node as f64, Action::Step(node));
        }
        model.schedule_faults();
        model
    }

    fn schedule_faults(&mut self) {
        for _ in 0..self.rng.random_range(2..8) {
            let at = self.rng.random_range(5.0..FAULTY_S);
            let node = self.rng.random_range(0..CONTROLLERS);
            if self.rng.random_bool(0.5) {
                let pause = *[0.5, 3.0, 7.0, 25.0]
                    .get(self.rng.random_range(0..4))
                    .unwrap_or(&1.0);
                self.schedule(at, Action::Pause(node, pause));
            } else {
                let restart_delay = self.rng.random_range(0.3..30.0);
                self.schedule(at, Action::Crash(node));
                self.schedule(at + restart_delay, Action::Restart(node));
            }
        }
    }

    fn schedule(&mut self, delay: f64, action: Action) {
        self.sequence += 1;
        let micros = ((self.now + delay) * 1e6) as u64;
        self.actions.insert((micros, self.sequence), action);
    }

    fn is_faulty(&self) -> bool {
        self.now < FAULTY_S
    }

    /// Runs until the end. The error states the first time at which the limit was exceeded.
    pub fn run(&mut self) -> Result<(), String> {
        while let Some(((micros, _), action)) = self.actions.pop_first() {
            self.now = micros as f64 / 1e6;
            if self.now > FAULTY_S + QUIET_S {
                break;
            }
            self.execute(action);
            let running = self
                .machines
                .iter()
                .flat_map(|machine| machine.running.values());
            let running: f64 = running.map(|(gpus, _)| gpus).sum();
            self.max_running_gpus = self.max_running_gpus.max(running);
            if running > LIMIT_GPUS + 1e-6 {
                return Err(format!(
                    "{running} GPUs in use at {:.3} s exceed the limit",
                    self.now
                ));
            }
        }
        Ok(())
    }

    /// The first problem that remains after the time without faults, if any.
    pub fn remaining_problem(&self) -> Option<String> {
        let (_, ledger) = &self.store;
        let ledger = ledger.as_ref()?;
        let living: BTreeSet<&HolderId> = self.controllers.iter().map(|c| c.holder.id()).collect();
        let leftover_grant = ledger
            .grants()
            .iter()
            .find(|grant| !living.contains(&grant.holder) && !grant.amount.is_zero());
        let node_with_waiting_task = self.controllers.iter().position(|c| {
            c.alive && !c.machines.is_empty() && c.waiting.iter().any(|task| task.id > 0)
        });
        leftover_grant
            .map(|grant| format!("{grant:?} was never taken over"))
            .or(node_with_waiting_task.map(|node| format!("tasks wait at n{node}: {ledger:?}")))
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Step(node) => self.step(node),
            Action::Write {
                node,
                term,
                proposal,
                answered,
            } => {
                let outcome = self.execute_write(proposal);
                if answered {
                    self.schedule(
                        0.005,
                        Action::Answer {
                            node,
                            term,
                            outcome,
                        },
                    );
                }
            }
            Action::Answer {
                node,
                term,
                outcome,
            } => {
                let controller = &mut self.controllers[node];
                if controller.alive && controller.term == term {
                    controller.holder.record_outcome(outcome);
                    controller.unconfirmed_grant = Amount::ZERO;
                }
            }
            Action::Start {
                node,
                term,
                machine,
                token,
                task,
            } => {
                self.execute_start(node, term, machine, token, task);
            }
            Action::ConfirmStart {
                node,
                term,
                task,
                runs,
            } => {
                let controller = &mut self.controllers[node];
                if controller.term == term
                    && let Some(tracked) = controller.tasks.get_mut(&task)
                {
                    tracked.1 = true;
                    if !runs {
                        controller.tasks.remove(&task);
                    }
                }
            }
            Action::EndTask { machine, task } => {
                self.machines[machine].running.remove(&task);
                let node = self.machines[machine].owner;
                self.controllers[node].tasks.remove(&task);
                self.controllers[node].found_tasks.remove(&task);
            }
            Action::ReportMachine {
                node,
                term,
                machine,
                token,
            } => self.handle_report(node, term, machine, token),
            Action::Crash(node) => {
                let controller = &mut self.controllers[node];
                self.crashes += usize::from(controller.alive);
                controller.alive = false;
            }
            Action::Restart(node) => self.restart(node),
            Action::Pause(node, pause) => self.controllers[node].paused_until = self.now + pause,
        }
    }

    /// Starts a new process of a controller. It has no state of the former process.
    fn restart(&mut self, node: usize) {
        let term = self.next_term;
        self.next_term += 1;
        let ended = self.controllers[node].holder.id().clone();
        let held: BTreeSet<usize> = self.owned_by(node);
        let controller = &mut self.controllers[node];
        // A process without machines started no task. If it lost its machines, their new owner takes over its
        // grant.
        let never_had_machines = !controller.has_had_machines;
        // The former holders that owned its machines have ended as well.
        let mut former: Vec<(HolderId, BTreeSet<usize>)> = controller.former_holders.clone();
        former
            .iter_mut()
            .for_each(|(_, machines)| *machines = held.clone());
        former.push((ended, held.clone()));
        *controller = Controller {
            alive: true,
            paused_until: 0.0,
            last_contact: self.now,
            term,
            holder: new_holder(node, term, self.limit),
            machines: BTreeMap::new(),
            has_had_machines: false,
            tasks: BTreeMap::new(),
            found_tasks: BTreeMap::new(),
            former_holders: if held.is_empty() && !never_had_machines {
                Vec::new()
            } else {
                former
            },
            waiting: Vec::new(),
            unconfirmed_grant: Amount::ZERO,
        };
        for machine in held {
            self.machines[machine].owner_token = term;
        }
    }

    fn owned_by(&self, node: usize) -> BTreeSet<usize> {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(_, machine)| machine.owner == node)
            .map(|(index, _)| index)
            .collect()
    }

    /// Assigns the machines of controllers without recent contact to others, with a new fencing token.
    fn fail_over_machines(&mut self) {
        for node in 0..CONTROLLERS {
            let controller = &self.controllers[node];
            let held = self.owned_by(node);
            if self.now - controller.last_contact < FAILOVER_S || held.is_empty() {
                continue;
            }
            let now = self.now;
            let is_reachable = |other: &usize| {
                self.controllers[*other].alive
                    && now - self.controllers[*other].last_contact < FAILOVER_S
            };
            let successor = (0..CONTROLLERS)
                .filter(is_reachable)
                .min_by_key(|n| self.owned_by(*n).len());
            let Some(successor) = successor else { continue };
            let term = self.next_term;
            self.next_term += 1;
            let ended = controller.holder.id().clone();
            let mut former = self.controllers[node].former_holders.clone();
            former
                .iter_mut()
                .for_each(|(_, machines)| *machines = held.clone());
            former.push((ended, held.clone()));
            self.controllers[successor].former_holders.extend(former);
            for machine in held {
                self.machines[machine].owner = successor;
                self.machines[machine].owner_token = term;
            }
        }
    }

    fn step(&mut self, node: usize) {
        let pause = STEP_S * self.rng.random_range(0.8..1.2);
        self.schedule(pause, Action::Step(node));
        self.fail_over_machines();
        let controller = &self.controllers[node];
        if !controller.alive || self.now < controller.paused_until {
            return;
        }
        // The first action after a pause is still based on the state known before the pause.
        let was_silent = self.now - controller.last_contact > FAILOVER_S;
        self.start_waiting_tasks(node);
        let lost_machines =
            self.owned_by(node).is_empty() && !self.controllers[node].machines.is_empty();
        if was_silent && lost_machines {
            return self.restart(node);
        }
        self.controllers[node].last_contact = self.now;
        if !self.in_outage() {
            self.read_store(node);
        }
        self.propose_write(node);
        if self.rng.random_bool(0.025) && self.is_faulty() {
            self.next_task += 1;
            let (gpus, run_s) = (
                f64::from(self.rng.random_range(1..4)),
                self.rng.random_range(2.0..40.0),
            );
            self.controllers[node].waiting.push(Task {
                id: self.next_task,
                gpus,
                run_s,
            });
        }
    }

    fn in_outage(&self) -> bool {
        self.outages
            .iter()
            .any(|(from, length)| (*from..from + length).contains(&self.now))
    }

    fn read_store(&mut self, node: usize) {
        let owned = self.owned_by(node);
        let machines = owned
            .iter()
            .map(|machine| (*machine, self.machines[*machine].owner_token));
        let machines: BTreeMap<usize, u64> = machines.collect();
        let (version, ledger) = self.store.clone();
        let controller = &mut self.controllers[node];
        controller.holder.observe_record(version, ledger);
        let term = controller.term;
        controller.machines = machines.clone();
        controller.has_had_machines |= !machines.is_empty();
        for (machine, token) in machines {
            let delay = self.rng.random_range(0.01..1.5);
            self.schedule(
                delay,
                Action::ReportMachine {
                    node,
                    term,
                    machine,
                    token,
                },
            );
        }
    }

    /// Handles a worker's report of its owner's token and all its running tasks.
    fn handle_report(&mut self, node: usize, term: u64, machine: usize, token: u64) {
        if self.machines[machine].owner_token != token {
            return;
        }
        self.machines[machine].highest_token = self.machines[machine].highest_token.max(token);
        let found: Vec<(u64, f64)> = self.machines[machine]
            .running
            .iter()
            .map(|(id, (gpus, _))| (*id, *gpus))
            .collect();
        let controller = &mut self.controllers[node];
        if !controller.alive || controller.term != term || self.now < controller.paused_until {
            return;
        }
        for (id, gpus) in found {
            let is_inherited =
                !controller.tasks.contains_key(&id) && !controller.former_holders.is_empty();
            if is_inherited {
                controller.found_tasks.insert(id, gpus);
            }
        }
        for (_, machines) in &mut controller.former_holders {
            machines.remove(&machine);
        }
    }

    fn used_amount(&self, node: usize) -> Amount {
        let controller = &self.controllers[node];
        let counted = controller.tasks.values().filter(|(_, confirmed)| {
            *confirmed || self.disabled_rule != DisabledRule::StartsInFlight
        });
        Amount::covering(0.0, counted.map(|(gpus, _)| gpus).sum())
    }

    /// Counts found tasks towards the own grant once the grants that covered them have been taken over.
    fn count_inherited_tasks(&mut self, node: usize) {
        let controller = &mut self.controllers[node];
        let Some(ledger) = controller.holder.ledger() else {
            return;
        };
        let before = controller.former_holders.len();
        controller
            .former_holders
            .retain(|(id, machines)| !machines.is_empty() || ledger.grant(id).is_some());
        if controller.former_holders.len() < before {
            let found = controller
                .found_tasks
                .iter()
                .map(|(id, gpus)| (*id, (*gpus, true)));
            controller.tasks.extend(found);
        }
        // It is unknown which former holder started a found task, so the task counts for each of them.
        if controller.former_holders.is_empty() {
            controller.found_tasks.clear();
        }
    }

    fn start_waiting_tasks(&mut self, node: usize) {
        self.count_inherited_tasks(node);
        let mut used = self.used_amount(node);
        let controller = &mut self.controllers[node];
        let machines: Vec<(usize, u64)> = controller.machines.clone().into_iter().collect();
        if machines.is_empty() {
            return;
        }
        let mut grant = controller.holder.usable_grant();
        if self.disabled_rule == DisabledRule::Confirmation {
            grant = grant.max(&controller.unconfirmed_grant);
        }
        if self.disabled_rule == DisabledRule::InDoubtWrites {
            let stored = controller
                .holder
                .ledger()
                .and_then(|l| l.grant(controller.holder.id()));
            grant = stored.map_or(Amount::ZERO, |grant| grant.amount);
        }
        let waiting = std::mem::take(&mut controller.waiting);
        let term = controller.term;
        for task in waiting {
            let needed = used.saturating_add(&Amount::covering(0.0, task.gpus));
            if !grant.covers(&needed) {
                self.controllers[node].waiting.push(task);
                continue;
            }
            used = needed;
            self.controllers[node]
                .tasks
                .insert(task.id, (task.gpus, false));
            let (machine, token) = machines[self.rng.random_range(0..machines.len())];
            let is_late = self.is_faulty() && self.rng.random_bool(0.1);
            let delay = if is_late {
                self.rng.random_range(1.0..30.0)
            } else {
                self.rng.random_range(0.01..0.3)
            };
            self.schedule(
                delay,
                Action::Start {
                    node,
                    term,
                    machine,
                    token,
                    task,
                },
            );
        }
    }

    fn execute_start(&mut self, node: usize, term: u64, machine: usize, token: u64, task: Task) {
        let is_fenced = token < self.machines[machine].highest_token
            && self.disabled_rule != DisabledRule::Fencing;
        if !is_fenced {
            self.machines[machine].highest_token = self.machines[machine].highest_token.max(token);
            self.machines[machine]
                .running
                .insert(task.id, (task.gpus, task.run_s));
            self.started_tasks += 1;
            self.schedule(
                task.run_s,
                Action::EndTask {
                    machine,
                    task: task.id,
                },
            );
        }
        self.schedule(
            0.02,
            Action::ConfirmStart {
                node,
                term,
                task: task.id,
                runs: !is_fenced,
            },
        );
    }

    fn propose_write(&mut self, node: usize) {
        let used = self.used_amount(node);
        let skips_reports = self.disabled_rule == DisabledRule::MachineReports;
        let now = self.now;
        let controller = &mut self.controllers[node];
        let ended = controller
            .former_holders
            .iter()
            .filter(|(_, machines)| skips_reports || machines.is_empty());
        let ended: Vec<HolderId> = ended.map(|(id, _)| id.clone()).collect();
        // A controller without machines can start no task, so it requests no capacity.
        let startable = if controller.machines.is_empty() {
            &[][..]
        } else {
            &controller.waiting
        };
        let waiting = startable.iter().map(|task| task.gpus).sum();
        let next = startable.first().map_or(0.0, |task| task.gpus);
        let demand = Demand {
            first_waiting: Amount::covering(0.0, next),
            used,
            waiting: Amount::covering(0.0, waiting),
            inherited: Amount::covering(0.0, controller.found_tasks.values().sum()),
            ended_holders: if ended.is_empty() {
                EndedHolders::None
            } else {
                EndedHolders::Listed(ended)
            },
        };
        let Some(proposal) = controller.holder.propose(now, &demand) else {
            return;
        };
        let granted = proposal.ledger.grant(controller.holder.id());
        controller.unconfirmed_grant = granted.map_or(Amount::ZERO, |grant| grant.amount);
        let term = controller.term;
        let fault_roll = if self.is_faulty() {
            self.rng.random_range(0..10)
        } else {
            0
        };
        let answered = fault_roll < 8;
        let delay = if fault_roll == 9 {
            self.rng.random_range(1.0..40.0)
        } else {
            0.01
        };
        self.schedule(
            delay,
            Action::Write {
                node,
                term,
                proposal,
                answered,
            },
        );
        if !answered {
            self.schedule(
                1.0,
                Action::Answer {
                    node,
                    term,
                    outcome: WriteOutcome::Unknown,
                },
            );
        }
    }

    fn execute_write(&mut self, proposal: Proposal) -> WriteOutcome {
        let ignores_version = self.disabled_rule == DisabledRule::CompareAndSwap;
        if self.in_outage() || (proposal.expected_version != self.store.0 && !ignores_version) {
            return WriteOutcome::NotExecuted;
        }
        self.writes += 1;
        self.store = (self.store.0 + 1, Some(proposal.ledger));
        WriteOutcome::Committed(self.store.0)
    }
}
