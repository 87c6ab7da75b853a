use super::*;
use crate::core::effects::outbox::Outbox;
use crate::core::jobs::job::Job;
use crate::core::machines::machine::{Machine, TrackedAttempt};
use crate::core::messages::capacity_demand::{CapacityDemand, MachineOffer};
use crate::core::model::resources::Resources;
use crate::core::scheduling::catalog::{Catalog, total_room};
use crate::core::scheduling::opportunistic::*;
use crate::core::scheduling::packing::{PackingCandidate, Plan, TaskDemand};
use crate::core::shard::owned_jobs::describe;
use crate::core::store::replica::StoreReplica;
use crate::core::test_support::{config, record, service, shard, types};
use crate::ids::{Attempt, FencingToken, TaskId, TypeName, Zone};
use crate::wire::{JobSpec, Kind, Priority};
use std::collections::BTreeSet;
use std::rc::Rc;

/// 100 tasks that fit eight at a time on the cheap type and four on the dear one.
fn guest_array(estimate_s: f64) -> Rc<JobSpec> {
    let mut spec = (*service("idle-hours", "x", 1.0)).clone();
    spec.kind = Kind::Array;
    spec.priority = Priority::Low;
    spec.tasks = 100;
    (spec.cpus, spec.gpus, spec.memory_gb) = (8.0, 1.0, 16.0);
    spec.spot = true;
    spec.estimate_s = estimate_s;
    Rc::new(spec)
}

fn spot(type_name: &str) -> MachineOffer {
    MachineOffer::from((TypeName::from(type_name), Zone::from("a"), true))
}

/// What a share without room asks for on behalf of an opportunistic job.
fn wanted(spec: &Rc<JobSpec>, starved: bool, refused: &BTreeSet<MachineOffer>) -> CapacityDemand {
    let (types, mut need) = (types(), CapacityDemand::default());
    let mut plan = Plan::new(&types, refused, Vec::new(), 400);
    let mut rentals = rentals_worth(&types, machine_time(&types, spec, spec.tasks));
    if starved {
        rentals = rentals.max(1);
    }
    let waiting = TaskDemand::expected(&types, spec.clone(), spec.tasks);
    plan.serve_opportunistic(waiting, starved, &mut rentals, &mut need);
    need
}

/// A job with a deadline, or of a class whose starts somebody waits for, does not make way.
#[test]
fn only_work_that_nobody_waits_for_is_opportunistic() {
    let config = config();
    let spec = guest_array(30.0);
    assert!(is_opportunistic(&config, &spec));
    let with = |change: fn(&mut JobSpec)| {
        let mut spec = (*spec).clone();
        change(&mut spec);
        is_opportunistic(&config, &spec)
    };
    assert!(!with(|spec| spec.priority = Priority::Normal));
    assert!(!with(|spec| spec.deadline_s = Some(600.0)));
    assert!(
        !with(|spec| spec.class = "chat".into()),
        "its class has an objective on starts"
    );
}

/// A guest's array asked for 50 machines of every kind and took all that the cloud had (inc-df01).
#[test]
fn only_cheap_machines_are_rented_and_no_more_than_there_is_work_for() {
    let none = BTreeSet::new();
    // 100 tasks of 30 s, eight at a time: 375 s of one machine's time, 20 s for each rental.
    let need = wanted(&guest_array(30.0), false, &none);
    assert!(
        need.machine_demands
            .iter()
            .all(|want| want.offer.spot && want.opportunistic),
        "{need:?}"
    );
    assert_eq!(need.machines_wanted(), 13, "100 tasks fit on 13 machines");
    assert_eq!(
        need.queued, 0.0,
        "no reason to move machines that are in use"
    );
    // Seconds of work are over before a machine is up.
    assert_eq!(wanted(&guest_array(1.0), false, &none).machines_wanted(), 0);
    let cheap: BTreeSet<MachineOffer> = ["a", "b"]
        .iter()
        .map(|zone| MachineOffer::from((TypeName::from("g8"), Zone::from(*zone), true)))
        .collect();
    // The other type is nearly as cheap, but takes four at a time: the work is worth no 25 of them.
    assert_eq!(
        wanted(&guest_array(30.0), false, &cheap).machines_wanted(),
        18
    );
}

/// What has waited for long may rent one machine of any kind, so that it is served at all.
#[test]
fn starved_work_may_rent_one_machine() {
    let types = types();
    let all: BTreeSet<MachineOffer> = types
        .iter()
        .flat_map(|t| {
            t.zones
                .iter()
                .map(|zone| MachineOffer::from((t.name.clone(), zone.clone(), true)))
        })
        .collect();
    assert_eq!(wanted(&guest_array(1.0), false, &all).machines_wanted(), 0);
    let need = wanted(&guest_array(1.0), true, &all);
    assert_eq!(need.machines_wanted(), 1);
    assert!(!need.machine_demands[0].offer.spot);
}

/// Room that opportunistic work takes is free for everything else, so nothing is rented beside it.
#[test]
fn other_work_is_planned_in_the_room_of_opportunistic_work() {
    let (types, refused) = (types(), BTreeSet::new());
    let full = total_room(&types[1]);
    let candidate = PackingCandidate {
        free: full,
        opportunistic: full,
        ..PackingCandidate::empty(
            Some("m-1".into()),
            MachineOffer::from((TypeName::from("g8"), Zone::from("a"), false)),
        )
    };
    let (mut plan, mut need) = (
        Plan::new(&types, &refused, vec![candidate], 400),
        CapacityDemand::default(),
    );
    plan.serve(
        TaskDemand::expected(&types, service("chat", "x", 1.0), 2),
        &mut need,
    );
    assert_eq!(need.machines_wanted(), 0);
    // Opportunistic work itself finds none there.
    plan.count_opportunistic();
    let waiting = TaskDemand::expected(&types, guest_array(30.0), 1);
    plan.serve_opportunistic(waiting, false, &mut 1, &mut need);
    assert_eq!(need.machines_wanted(), 1);
}

/// A spot machine whose tasks cost half as much again as the cheapest is not worth renting.
#[test]
fn a_dear_spot_machine_is_not_cheap() {
    let mut types = types();
    let spec = guest_array(30.0);
    assert!(is_cheap(&types, &spot("g4"), &spec));
    types[0].spot_price *= 2.0;
    assert!(!is_cheap(&types, &spot("g4"), &spec));
    assert!(is_cheap(&types, &spot("g8"), &spec));
    let MachineOffer {
        type_name, zone, ..
    } = spot("g8");
    assert!(
        !is_cheap(&types, &MachineOffer::from((type_name, zone, false)), &spec),
        "not an ordinary one"
    );
}

/// A machine of a type with 64 CPUs, trusted, with one task of the array on it since the beginning.
fn share_with_a_filled_machine(spot: bool) -> (Shard, Outbox, StoreReplica) {
    let (mut owner, outbox, store) = shard();
    let mut machine = Machine::named("m-1".into(), FencingToken(9), 0.0);
    (machine.is_owned, machine.token_confirmed, machine.spot) = (true, true, spot);
    machine.type_name = "g8".into();
    machine.address = "m-1".into();
    machine.set_type(&types());
    let mut tracked = TrackedAttempt::new(0.0);
    let mut spec = (*guest_array(30.0)).clone();
    (spec.checkpoint_interval_s, spec.checkpoint_write_s) = (5.0, 2.0);
    describe(&mut tracked, &owner.config, &spec);
    machine.attempts.insert(
        (TaskId::parse("req-000001/0").unwrap(), Attempt(1)),
        tracked,
    );
    owner.machines.insert("m-1".into(), machine);
    (owner, outbox, store)
}

/// Ordinary machines stayed up for as long as guests came.
#[test]
fn a_machine_that_only_opportunistic_work_is_on_yields_and_is_returned_unless_it_is_spot() {
    for spot in [false, true] {
        let (mut owner, mut outbox, store) = share_with_a_filled_machine(spot);
        let catalog = Catalog::with_types(types());
        let grace = |owner: &Shard| {
            let machine = &owner.machines[&MachineId::from("m-1")];
            machine.attempts.values().next().unwrap().stop
        };
        outbox.begin(5.0, 5_000);
        owner.plan_when_due(&outbox, &store, &catalog);
        assert_eq!(
            owner.demand.opportunistic_only_machines,
            vec![MachineId::from("m-1")]
        );
        assert_eq!(grace(&owner), None, "not idle for long");
        outbox.begin(100.0, 100_000);
        owner
            .machines
            .get_mut(&MachineId::from("m-1"))
            .unwrap()
            .last_answered = 100.0;
        owner.plan_when_due(&outbox, &store, &catalog);
        assert_eq!(grace(&owner), if spot { None } else { Some(2.0) });
    }
}

/// The end of opportunistic work does not begin a machine's time without other work anew.
#[test]
fn the_time_without_other_work_is_counted_on_through_opportunistic_work() {
    let (mut owner, _, _) = share_with_a_filled_machine(false);
    let machine = owner.machines.get_mut(&MachineId::from("m-1")).unwrap();
    let guest = (TaskId::parse("req-000001/0").unwrap(), Attempt(1));
    machine.note_end(&guest, 50.0);
    assert_eq!(machine.idle_since, 0.0);
    let other = (TaskId::parse("req-000002/0").unwrap(), Attempt(1));
    let mut tracked = TrackedAttempt::new(0.0);
    describe(&mut tracked, &owner.config, &service("chat", "x", 1.0));
    machine.attempts.insert(other.clone(), tracked);
    assert!(!machine.holds_only_opportunistic());
    machine.note_end(&other, 60.0);
    assert_eq!(machine.idle_since, 60.0);
}

/// A job that others need delays their deadlines when it makes way: found by reading, after a lower score of a
/// site with pipelines.
#[test]
fn what_others_need_does_not_make_way() {
    let config = config();
    let mut job = Job::new(guest_array(30.0), Rc::new(record(false)), 1, 0.0, true);
    assert!(job.is_opportunistic(&config));
    job.needed = true;
    assert!(!job.is_opportunistic(&config));
}

/// Beside an attempt of which nobody knows what it takes there is no room for anything.
#[test]
fn opportunistic_work_leaves_no_room_beside_what_is_not_known() {
    let (mut owner, _, _) = share_with_a_filled_machine(false);
    let machine = owner.machines.get_mut(&MachineId::from("m-1")).unwrap();
    assert_eq!(machine.free_for_other_work(), machine.total);
    let unknown = (TaskId::parse("req-000003/0").unwrap(), Attempt(1));
    machine.attempts.insert(unknown, TrackedAttempt::new(0.0));
    assert_eq!(machine.free_for_other_work(), Resources::default());
}
