//! A simulation of five controllers that share one team's limit, in virtual time, with faults of the
//! controllers, the store and the links to workers. After each event it checks the sum of what runs.

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
/// Seconds of silence after which a controller's machines are given to another.
const FAILOVER_S: f64 = 6.0;
/// Seconds with faults.
const FAULTY_S: f64 = 240.0;
/// Seconds without faults after them.
const QUIET_S: f64 = 200.0;

/// A safety rule that is disabled, to show that the check notices what it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removed {
    /// All rules are in force.
    Nothing,
    /// The store does not compare versions.
    CompareAndSwap,
    /// A grant counts before the store has confirmed it.
    Confirmation,
    /// Writes with an unknown outcome are not counted.
    Doubt,
    /// The grants of an ended process are absorbed before all its machines have reported.
    Evidence,
    /// Workers execute commands of former owners.
    Fencing,
    /// Starts count only once their worker has confirmed them.
    StartsInFlight,
}

#[derive(Clone)]
struct Task {
    id: u64,
    gpus: f64,
    run_s: f64,
}

struct Machine {
    owner: usize,
    /// The owner's fencing token in the shard map.
    term: u64,
    /// The highest token that the worker has seen.
    seen: u64,
    /// GPUs and duration of the tasks that run.
    running: BTreeMap<u64, (f64, f64)>,
}

struct Controller {
    alive: bool,
    paused_until: f64,
    heard: f64,
    term: u64,
    holder: Holder,
    /// Its machines with their fencing tokens, as it last read the shard map.
    machines: BTreeMap<usize, u64>,
    /// Whether it ever had one.
    had_machines: bool,
    /// GPUs of the tasks that it started or has inherited, and whether the worker has confirmed them.
    tasks: BTreeMap<u64, (f64, bool)>,
    /// GPUs of tasks that it found on machines, which are still covered by others' grants.
    found: BTreeMap<u64, f64>,
    /// Former holders of its machines, with the machines that have not reported yet.
    former: Vec<(HolderId, BTreeSet<usize>)>,
    waiting: Vec<Task>,
    unconfirmed: Amount,
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
    Started {
        node: usize,
        term: u64,
        task: u64,
        runs: bool,
    },
    Ends {
        machine: usize,
        task: u64,
    },
    Reported {
        node: usize,
        term: u64,
        machine: usize,
        token: u64,
    },
    Crash(usize),
    Return(usize),
    Pause(usize, f64),
}

pub struct Model {
    now: f64,
    sequence: u64,
    actions: BTreeMap<(u64, u64), Action>,
    rng: StdRng,
    removed: Removed,
    limit: Limit,
    next_term: u64,
    next_task: u64,
    store: (u64, Option<TeamLedger>),
    outages: Vec<(f64, f64)>,
    controllers: Vec<Controller>,
    machines: Vec<Machine>,
    pub most_running: f64,
    pub started: usize,
    pub writes: usize,
    pub crashes: usize,
}

fn holder(node: usize, term: u64, limit: Limit) -> Holder {
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
    pub fn new(seed: u64, removed: Removed) -> Self {
        let limit = Limit::new(0.0, LIMIT_GPUS);
        let mut rng = StdRng::seed_from_u64(seed);
        let controllers = (0..CONTROLLERS).map(|node| {
            let term = node as u64 + 1;
            Controller {
                alive: true,
                paused_until: 0.0,
                heard: 0.0,
                term,
                holder: holder(node, term, limit),
                machines: BTreeMap::new(),
                had_machines: false,
                tasks: BTreeMap::new(),
                found: BTreeMap::new(),
                former: Vec::new(),
                waiting: Vec::new(),
                unconfirmed: Amount::ZERO,
            }
        });
        let machines = (0..MACHINES).map(|machine| {
            let owner = machine % CONTROLLERS;
            Machine {
                owner,
                term: owner as u64 + 1,
                seen: 0,
                running: BTreeMap::new(),
            }
        });
        let outages =
            (0..2).map(|_| (rng.random_range(0.0..FAULTY_S), rng.random_range(1.0..40.0)));
        let outages: Vec<(f64, f64)> = outages.collect();
        let first = HolderId {
            term: 0,
            incarnation: 0,
            node: "founder".into(),
        };
        let mut model = Self {
            now: 0.0,
            sequence: 0,
            actions: BTreeMap::new(),
            rng,
            removed,
            limit,
            next_term: CONTROLLERS as u64 + 1,
            next_task: 0,
            store: (1, Some(TeamLedger::create(&first, Amount::ZERO))),
            outages,
            controllers: controllers.collect(),
            machines: machines.collect(),
            most_running: 0.0,
            started: 0,
            writes: 0,
            crashes: 0,
        };
        for node in 0..CONTROLLERS {
            model.after(0.01 * node as f64, Action::Step(node));
        }
        model.plan_faults();
        model
    }

    fn plan_faults(&mut self) {
        for _ in 0..self.rng.random_range(2..8) {
            let at = self.rng.random_range(5.0..FAULTY_S);
            let node = self.rng.random_range(0..CONTROLLERS);
            if self.rng.random_bool(0.5) {
                let pause = *[0.5, 3.0, 7.0, 25.0]
                    .get(self.rng.random_range(0..4))
                    .unwrap_or(&1.0);
                self.after(at, Action::Pause(node, pause));
            } else {
                let back = self.rng.random_range(0.3..30.0);
                self.after(at, Action::Crash(node));
                self.after(at + back, Action::Return(node));
            }
        }
    }

    fn after(&mut self, delay: f64, action: Action) {
        self.sequence += 1;
        let micros = ((self.now + delay) * 1e6) as u64;
        self.actions.insert((micros, self.sequence), action);
    }

    fn is_faulty(&self) -> bool {
        self.now < FAULTY_S
    }

    /// Runs to the end. The error names the first time at which the limit was exceeded.
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
            self.most_running = self.most_running.max(running);
            if running > LIMIT_GPUS + 1e-6 {
                return Err(format!("{running} GPUs run at {:.3}", self.now));
            }
        }
        Ok(())
    }

    /// What is still wrong after the time without faults.
    pub fn unsettled(&self) -> Option<String> {
        let (_, ledger) = &self.store;
        let ledger = ledger.as_ref()?;
        let living: BTreeSet<&HolderId> = self.controllers.iter().map(|c| c.holder.id()).collect();
        let left = ledger
            .grants()
            .iter()
            .find(|grant| !living.contains(&grant.holder) && !grant.amount.is_zero());
        let waits = self.controllers.iter().position(|c| {
            c.alive && !c.machines.is_empty() && c.waiting.iter().any(|task| task.id > 0)
        });
        left.map(|grant| format!("{grant:?} was never absorbed"))
            .or(waits.map(|node| format!("tasks wait at n{node}: {ledger:?}")))
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
                let outcome = self.write(proposal);
                if answered {
                    self.after(
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
                    controller.unconfirmed = Amount::ZERO;
                }
            }
            Action::Start {
                node,
                term,
                machine,
                token,
                task,
            } => {
                self.start(node, term, machine, token, task);
            }
            Action::Started {
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
            Action::Ends { machine, task } => {
                self.machines[machine].running.remove(&task);
                let node = self.machines[machine].owner;
                self.controllers[node].tasks.remove(&task);
                self.controllers[node].found.remove(&task);
            }
            Action::Reported {
                node,
                term,
                machine,
                token,
            } => self.reported(node, term, machine, token),
            Action::Crash(node) => {
                let controller = &mut self.controllers[node];
                self.crashes += usize::from(controller.alive);
                controller.alive = false;
            }
            Action::Return(node) => self.restart(node),
            Action::Pause(node, pause) => self.controllers[node].paused_until = self.now + pause,
        }
    }

    /// Starts a new process of a controller, which knows only what it reads.
    fn restart(&mut self, node: usize) {
        let term = self.next_term;
        self.next_term += 1;
        let ended = self.controllers[node].holder.id().clone();
        let held: BTreeSet<usize> = self.owned_by(node);
        let controller = &mut self.controllers[node];
        // Without a machine it started nothing. Machines that it lost are the concern of their new owner.
        let idle = !controller.had_machines;
        // The former holders of its machines have ended as well.
        let mut former: Vec<(HolderId, BTreeSet<usize>)> = controller.former.clone();
        former
            .iter_mut()
            .for_each(|(_, machines)| *machines = held.clone());
        former.push((ended, held.clone()));
        *controller = Controller {
            alive: true,
            paused_until: 0.0,
            heard: self.now,
            term,
            holder: holder(node, term, self.limit),
            machines: BTreeMap::new(),
            had_machines: false,
            tasks: BTreeMap::new(),
            found: BTreeMap::new(),
            former: if held.is_empty() && !idle {
                Vec::new()
            } else {
                former
            },
            waiting: Vec::new(),
            unconfirmed: Amount::ZERO,
        };
        for machine in held {
            self.machines[machine].term = term;
        }
    }

    fn owned_by(&self, node: usize) -> BTreeSet<usize> {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(_, machine)| machine.owner == node)
            .map(|(index, _)| index)
            .collect()
    }

    /// Failover: the leader gives the machines of silent controllers to another, under a new term.
    fn fail_over(&mut self) {
        for node in 0..CONTROLLERS {
            let controller = &self.controllers[node];
            let held = self.owned_by(node);
            if self.now - controller.heard < FAILOVER_S || held.is_empty() {
                continue;
            }
            let now = self.now;
            let lives = |other: &usize| {
                self.controllers[*other].alive && now - self.controllers[*other].heard < FAILOVER_S
            };
            let successor = (0..CONTROLLERS)
                .filter(lives)
                .min_by_key(|n| self.owned_by(*n).len());
            let Some(successor) = successor else { continue };
            let term = self.next_term;
            self.next_term += 1;
            let ended = controller.holder.id().clone();
            let mut former = self.controllers[node].former.clone();
            former
                .iter_mut()
                .for_each(|(_, machines)| *machines = held.clone());
            former.push((ended, held.clone()));
            self.controllers[successor].former.extend(former);
            for machine in held {
                self.machines[machine].owner = successor;
                self.machines[machine].term = term;
            }
        }
    }

    fn step(&mut self, node: usize) {
        let pause = STEP_S * self.rng.random_range(0.8..1.2);
        self.after(pause, Action::Step(node));
        self.fail_over();
        let controller = &self.controllers[node];
        if !controller.alive || self.now < controller.paused_until {
            return;
        }
        // The first action after a pause is still based on what was known before it.
        let stale = self.now - controller.heard > FAILOVER_S;
        self.start_waiting(node);
        let lost = self.owned_by(node).is_empty() && !self.controllers[node].machines.is_empty();
        if stale && lost {
            return self.restart(node);
        }
        self.controllers[node].heard = self.now;
        if !self.in_outage() {
            self.read(node);
        }
        self.write_when_due(node);
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

    fn read(&mut self, node: usize) {
        let owned = self.owned_by(node);
        let machines = owned
            .iter()
            .map(|machine| (*machine, self.machines[*machine].term));
        let machines: BTreeMap<usize, u64> = machines.collect();
        let (version, ledger) = self.store.clone();
        let controller = &mut self.controllers[node];
        controller.holder.observe_record(version, ledger);
        let term = controller.term;
        controller.machines = machines.clone();
        controller.had_machines |= !machines.is_empty();
        for (machine, token) in machines {
            let delay = self.rng.random_range(0.01..1.5);
            self.after(
                delay,
                Action::Reported {
                    node,
                    term,
                    machine,
                    token,
                },
            );
        }
    }

    /// A worker has reported its owner's token and everything that it runs.
    fn reported(&mut self, node: usize, term: u64, machine: usize, token: u64) {
        if self.machines[machine].term != token {
            return;
        }
        self.machines[machine].seen = self.machines[machine].seen.max(token);
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
            let found = !controller.tasks.contains_key(&id) && !controller.former.is_empty();
            if found {
                controller.found.insert(id, gpus);
            }
        }
        for (_, machines) in &mut controller.former {
            machines.remove(&machine);
        }
    }

    fn used(&self, node: usize) -> Amount {
        let controller = &self.controllers[node];
        let counted = controller
            .tasks
            .values()
            .filter(|(_, confirmed)| *confirmed || self.removed != Removed::StartsInFlight);
        Amount::covering(0.0, counted.map(|(gpus, _)| gpus).sum())
    }

    /// Once grants have been absorbed, the tasks found count towards the own grant.
    fn count_absorbed(&mut self, node: usize) {
        let controller = &mut self.controllers[node];
        let Some(ledger) = controller.holder.ledger() else {
            return;
        };
        let before = controller.former.len();
        controller
            .former
            .retain(|(id, machines)| !machines.is_empty() || ledger.grant(id).is_some());
        if controller.former.len() < before {
            let found = controller
                .found
                .iter()
                .map(|(id, gpus)| (*id, (*gpus, true)));
            controller.tasks.extend(found);
        }
        // Which former holder started the rest is unknown, so it counts for every other one as well.
        if controller.former.is_empty() {
            controller.found.clear();
        }
    }

    fn start_waiting(&mut self, node: usize) {
        self.count_absorbed(node);
        let mut used = self.used(node);
        let controller = &mut self.controllers[node];
        let machines: Vec<(usize, u64)> = controller.machines.clone().into_iter().collect();
        if machines.is_empty() {
            return;
        }
        let mut grant = controller.holder.usable_grant();
        if self.removed == Removed::Confirmation {
            grant = grant.max(&controller.unconfirmed);
        }
        if self.removed == Removed::Doubt {
            let stored = controller
                .holder
                .ledger()
                .and_then(|l| l.grant(controller.holder.id()));
            grant = stored.map_or(Amount::ZERO, |grant| grant.amount);
        }
        let waiting = std::mem::take(&mut controller.waiting);
        let term = controller.term;
        for task in waiting {
            let needed = used.plus(&Amount::covering(0.0, task.gpus));
            if !grant.covers(&needed) {
                self.controllers[node].waiting.push(task);
                continue;
            }
            used = needed;
            self.controllers[node]
                .tasks
                .insert(task.id, (task.gpus, false));
            let (machine, token) = machines[self.rng.random_range(0..machines.len())];
            let late = self.is_faulty() && self.rng.random_bool(0.1);
            let delay = if late {
                self.rng.random_range(1.0..30.0)
            } else {
                self.rng.random_range(0.01..0.3)
            };
            self.after(
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

    fn start(&mut self, node: usize, term: u64, machine: usize, token: u64, task: Task) {
        let fenced = token < self.machines[machine].seen && self.removed != Removed::Fencing;
        if !fenced {
            self.machines[machine].seen = self.machines[machine].seen.max(token);
            self.machines[machine]
                .running
                .insert(task.id, (task.gpus, task.run_s));
            self.started += 1;
            self.after(
                task.run_s,
                Action::Ends {
                    machine,
                    task: task.id,
                },
            );
        }
        self.after(
            0.02,
            Action::Started {
                node,
                term,
                task: task.id,
                runs: !fenced,
            },
        );
    }

    fn write_when_due(&mut self, node: usize) {
        let used = self.used(node);
        let evidence = self.removed == Removed::Evidence;
        let now = self.now;
        let controller = &mut self.controllers[node];
        let ended = controller
            .former
            .iter()
            .filter(|(_, machines)| evidence || machines.is_empty());
        let ended: Vec<HolderId> = ended.map(|(id, _)| id.clone()).collect();
        // A controller without machines can start nothing, so it requests nothing.
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
            inherited: Amount::covering(0.0, controller.found.values().sum()),
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
        controller.unconfirmed = granted.map_or(Amount::ZERO, |grant| grant.amount);
        let term = controller.term;
        let fate = if self.is_faulty() {
            self.rng.random_range(0..10)
        } else {
            0
        };
        let answered = fate < 8;
        let delay = if fate == 9 {
            self.rng.random_range(1.0..40.0)
        } else {
            0.01
        };
        self.after(
            delay,
            Action::Write {
                node,
                term,
                proposal,
                answered,
            },
        );
        if !answered {
            self.after(
                1.0,
                Action::Answer {
                    node,
                    term,
                    outcome: WriteOutcome::Unknown,
                },
            );
        }
    }

    fn write(&mut self, proposal: Proposal) -> WriteOutcome {
        let unconditional = self.removed == Removed::CompareAndSwap;
        if self.in_outage() || (proposal.expected_version != self.store.0 && !unconditional) {
            return WriteOutcome::NotExecuted;
        }
        self.writes += 1;
        self.store = (self.store.0 + 1, Some(proposal.ledger));
        WriteOutcome::Committed(self.store.0)
    }
}
