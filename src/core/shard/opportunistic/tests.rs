use super::*;
use crate::core::effects::outbox::Outbox;
use crate::core::jobs::job::Job;
use crate::core::machines::machine::{Machine, TrackedAttempt};
use crate::core::messages::capacity_demand::{CapacityDemand, MachineOffer};
use crate::core::model::resources::Resources;
use crate::core::scheduling::catalog::{Catalog, total_resources};
use crate::core::scheduling::opportunistic::*;
use crate::core::scheduling::packing::Plan;
use crate::core::scheduling::packing::candidate::{PackingCandidate, TaskDemand};
use crate::core::shard::owned_jobs::describe_attempt;
use crate::core::store::replica::StoreReplica;
use crate::core::test_support::{config, machine_types, record, service, shard};
use crate::ids::{Attempt, FencingToken, MachineTypeName, TaskId, Zone};
use crate::wire::{JobKind, JobSpec, Priority};
use std::collections::BTreeSet;
use std::rc::Rc;

/// An array of 100 tasks. Eight tasks fit on a machine of the cheap type and four on one of the expensive
/// type.
fn opportunistic_array(estimate_s: f64) -> Rc<JobSpec> {
    let mut spec = (*service("idle-hours", "x", 1.0)).clone();
    spec.kind = JobKind::Array;
    spec.priority = Priority::Low;
    spec.tasks = 100;
    (spec.cpus, spec.gpus, spec.memory_gb) = (8.0, 1.0, 16.0);
    spec.spot = true;
    spec.estimate_s = estimate_s;
    Rc::new(spec)
}

fn spot_offer(type_name: &str) -> MachineOffer {
    MachineOffer::from((MachineTypeName::from(type_name), Zone::from("a"), true))
}

/// The capacity demand for an opportunistic job in a shard without machines.
fn demand_for(
    spec: &Rc<JobSpec>,
    starved: bool,
    unavailable: &BTreeSet<MachineOffer>,
) -> CapacityDemand {
    let (types, mut demand) = (machine_types(), CapacityDemand::default());
    let mut plan = Plan::new(&types, unavailable, Vec::new(), 400);
    let mut rental_budget = worthwhile_rentals(&types, machine_seconds(&types, spec, spec.tasks));
    if starved {
        rental_budget = rental_budget.max(1);
    }
    let tasks = TaskDemand::forecast(&types, spec.clone(), spec.tasks);
    plan.place_opportunistic(tasks, starved, &mut rental_budget, &mut demand);
    demand
}

/// A job is not opportunistic if it has a deadline or if its class has an objective on start times.
#[test]
fn only_low_priority_jobs_without_deadline_or_objective_are_opportunistic() {
    let config = config();
    let spec = opportunistic_array(30.0);
    assert!(is_opportunistic(&config, &spec));
    let is_opportunistic_with = |change: fn(&mut JobSpec)| {
        let mut spec = (*spec).clone();
        change(&mut spec);
        is_opportunistic(&config, &spec)
    };
    assert!(!is_opportunistic_with(
        |spec| spec.priority = Priority::Normal
    ));
    assert!(!is_opportunistic_with(|spec| spec.deadline_s = Some(600.0)));
    assert!(
        !is_opportunistic_with(|spec| spec.class = "chat".into()),
        "its class has an objective on starts"
    );
}

/// Guards against an opportunistic array that demands 50 machines of every type and so rents all machines of
/// the cloud (inc-df01).
#[test]
fn only_cost_effective_machines_are_rented_and_no_more_than_the_work_is_worth() {
    let none_unavailable = BTreeSet::new();
    // 100 tasks of 30 s, eight at a time: 375 machine seconds, 20 s for each rental.
    let demand = demand_for(&opportunistic_array(30.0), false, &none_unavailable);
    assert!(
        demand
            .machine_demands
            .iter()
            .all(|want| want.offer.spot && want.opportunistic),
        "{demand:?}"
    );
    assert_eq!(demand.machines_wanted(), 13, "100 tasks fit on 13 machines");
    assert_eq!(
        demand.queued, 0.0,
        "opportunistic tasks do not count as queued"
    );
    // One second per task is too little work to be worth a machine's boot time.
    assert_eq!(
        demand_for(&opportunistic_array(1.0), false, &none_unavailable).machines_wanted(),
        0
    );
    let cheap_spot_offers: BTreeSet<MachineOffer> = ["a", "b"]
        .iter()
        .map(|zone| MachineOffer::from((MachineTypeName::from("g8"), Zone::from(*zone), true)))
        .collect();
    // The other type is nearly as cheap but runs only four tasks at a time. The work is not worth the 25
    // machines that all tasks would need.
    assert_eq!(
        demand_for(&opportunistic_array(30.0), false, &cheap_spot_offers).machines_wanted(),
        18
    );
}

/// A starved job may rent one machine of any type, so that it runs even if no spot instance is available.
#[test]
fn a_starved_job_may_rent_one_machine_of_any_type() {
    let types = machine_types();
    let all_spot_offers: BTreeSet<MachineOffer> = types
        .iter()
        .flat_map(|machine_type| {
            machine_type
                .zones
                .iter()
                .map(|zone| MachineOffer::from((machine_type.name.clone(), zone.clone(), true)))
        })
        .collect();
    assert_eq!(
        demand_for(&opportunistic_array(1.0), false, &all_spot_offers).machines_wanted(),
        0
    );
    let demand = demand_for(&opportunistic_array(1.0), true, &all_spot_offers);
    assert_eq!(demand.machines_wanted(), 1);
    assert!(!demand.machine_demands[0].offer.spot);
}

/// Resources of opportunistic tasks count as free for all other tasks, so no machine is rented for these.
#[test]
fn other_tasks_are_planned_on_the_resources_of_opportunistic_tasks() {
    let (types, unavailable) = (machine_types(), BTreeSet::new());
    let full = total_resources(&types[1]);
    let candidate = PackingCandidate {
        free: full,
        opportunistic_resources: full,
        ..PackingCandidate::empty(
            Some("m-1".into()),
            MachineOffer::from((MachineTypeName::from("g8"), Zone::from("a"), false)),
        )
    };
    let (mut plan, mut demand) = (
        Plan::new(&types, &unavailable, vec![candidate], 400),
        CapacityDemand::default(),
    );
    plan.place(
        TaskDemand::forecast(&types, service("chat", "x", 1.0), 2),
        &mut demand,
    );
    assert_eq!(demand.machines_wanted(), 0);
    // Further opportunistic tasks may not use the same resources.
    plan.reserve_opportunistic();
    let tasks = TaskDemand::forecast(&types, opportunistic_array(30.0), 1);
    plan.place_opportunistic(tasks, false, &mut 1, &mut demand);
    assert_eq!(demand.machines_wanted(), 1);
}

/// A spot instance is not worth renting if its price per task is more than 1.5 times the lowest.
#[test]
fn an_expensive_spot_instance_is_not_cost_effective() {
    let mut types = machine_types();
    let spec = opportunistic_array(30.0);
    assert!(is_cost_effective(&types, &spot_offer("g4"), &spec));
    types[0].spot_price *= 2.0;
    assert!(!is_cost_effective(&types, &spot_offer("g4"), &spec));
    assert!(is_cost_effective(&types, &spot_offer("g8"), &spec));
    let MachineOffer {
        type_name, zone, ..
    } = spot_offer("g8");
    assert!(
        !is_cost_effective(&types, &MachineOffer::from((type_name, zone, false)), &spec),
        "only spot instances are"
    );
}

/// A shard with one machine of 64 CPUs that has confirmed its token and runs one task of the array.
fn shard_with_an_opportunistic_task(spot: bool) -> (Shard, Outbox, StoreReplica) {
    let (mut shard, outbox, store) = shard();
    let mut machine = Machine::new("m-1".into(), FencingToken(9), 0.0);
    (machine.is_owned, machine.token_confirmed, machine.spot) = (true, true, spot);
    machine.type_name = "g8".into();
    machine.address = "m-1".into();
    machine.set_type(&machine_types());
    let mut tracked = TrackedAttempt::new(0.0);
    let mut spec = (*opportunistic_array(30.0)).clone();
    (spec.checkpoint_interval_s, spec.checkpoint_write_s) = (5.0, 2.0);
    describe_attempt(&mut tracked, &shard.config, &spec);
    machine.attempts.insert(
        (TaskId::parse("req-000001/0").unwrap(), Attempt(1)),
        tracked,
    );
    shard.machines.insert("m-1".into(), machine);
    (shard, outbox, store)
}

/// Guards against machines other than spot instances that are kept as long as opportunistic tasks arrive.
#[test]
fn a_machine_with_only_opportunistic_tasks_is_emptied_unless_it_is_a_spot_instance() {
    for spot in [false, true] {
        let (mut shard, mut outbox, store) = shard_with_an_opportunistic_task(spot);
        let catalog = Catalog::with_types(machine_types());
        let stop_grace = |shard: &Shard| {
            let machine = &shard.machines[&MachineId::from("m-1")];
            machine.attempts.values().next().unwrap().stop
        };
        outbox.begin_step(5.0, 5_000);
        shard.plan_capacity_when_due(&outbox, &store, &catalog);
        assert_eq!(
            shard.demand.opportunistic_only_machines,
            vec![MachineId::from("m-1")]
        );
        assert_eq!(stop_grace(&shard), None, "not idle for long");
        outbox.begin_step(100.0, 100_000);
        shard
            .machines
            .get_mut(&MachineId::from("m-1"))
            .unwrap()
            .last_answered = 100.0;
        shard.plan_capacity_when_due(&outbox, &store, &catalog);
        assert_eq!(stop_grace(&shard), if spot { None } else { Some(2.0) });
    }
}

/// The end of an opportunistic task does not reset the idle time of a machine.
#[test]
fn idle_time_includes_time_with_only_opportunistic_tasks() {
    let (mut shard, _, _) = shard_with_an_opportunistic_task(false);
    let machine = shard.machines.get_mut(&MachineId::from("m-1")).unwrap();
    let opportunistic = (TaskId::parse("req-000001/0").unwrap(), Attempt(1));
    machine.update_idle_since(&opportunistic, 50.0);
    assert_eq!(machine.idle_since, 0.0);
    let other = (TaskId::parse("req-000002/0").unwrap(), Attempt(1));
    let mut tracked = TrackedAttempt::new(0.0);
    describe_attempt(&mut tracked, &shard.config, &service("chat", "x", 1.0));
    machine.attempts.insert(other.clone(), tracked);
    assert!(!machine.holds_only_opportunistic());
    machine.update_idle_since(&other, 60.0);
    assert_eq!(machine.idle_since, 60.0);
}

/// Preempting a job that others depend on would delay the others.
#[test]
fn a_job_that_others_depend_on_is_not_opportunistic() {
    let config = config();
    let mut job = Job::new(
        opportunistic_array(30.0),
        Rc::new(record(false)),
        1,
        0.0,
        true,
    );
    assert!(job.is_opportunistic(&config));
    job.has_dependents = true;
    assert!(!job.is_opportunistic(&config));
}

/// A machine with an attempt of unknown size has no free resources.
#[test]
fn no_resources_are_free_beside_an_attempt_of_unknown_size() {
    let (mut shard, _, _) = shard_with_an_opportunistic_task(false);
    let machine = shard.machines.get_mut(&MachineId::from("m-1")).unwrap();
    assert_eq!(machine.free_for_other_work(), machine.total);
    let unknown = (TaskId::parse("req-000003/0").unwrap(), Attempt(1));
    machine.attempts.insert(unknown, TrackedAttempt::new(0.0));
    assert_eq!(machine.free_for_other_work(), Resources::default());
}
