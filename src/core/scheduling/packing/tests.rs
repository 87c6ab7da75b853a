use super::*;
use crate::core::test_support::{service, types};
use crate::ids::TypeName;

/// The lowest price per task decides, then the zone with fewer machines; what the cloud has
/// none of is passed over.
#[test]
fn the_cheapest_offer_per_task_is_wanted() {
    let (types, job) = (types(), service("chat", "x", 1.0));
    let need = Resources::of(&job);
    let zones = BTreeMap::from([(Zone::from("a"), 3)]);
    let best = |refused: &BTreeSet<MachineOffer>| {
        cheapest(&types, &job, &need, &|_| true, &zones, refused).map(|(offer, _)| offer)
    };
    let g8 = |zone: &str| MachineOffer::from((TypeName::from("g8"), Zone::from(zone), false));
    assert_eq!(best(&BTreeSet::new()), Some(g8("b")));
    assert_eq!(best(&BTreeSet::from([g8("b")])), Some(g8("a")));
}

/// A machine where a job has failed does not serve it: planned there, it would wait for ever beside a
/// machine on which it is never placed, and no other would be asked for.
#[test]
fn a_machine_that_a_job_avoids_is_no_room_for_it() {
    let (types, refused) = (types(), BTreeSet::new());
    let offer = || MachineOffer::from((TypeName::from("g8"), Zone::from("a"), false));
    let candidate = || PackingCandidate {
        free: total_room(&types[1]),
        ..PackingCandidate::empty(Some("m-1".into()), offer())
    };
    let wants = |avoided: BTreeSet<MachineId>| {
        let (mut plan, mut need) = (
            Plan::new(&types, &refused, vec![candidate()], 10),
            CapacityDemand::default(),
        );
        let waiting = TaskDemand {
            avoided,
            ..TaskDemand::expected(&types, service("chat", "x", 1.0), 1)
        };
        plan.serve(waiting, &mut need);
        need.machines_wanted()
    };
    assert_eq!(wants(BTreeSet::new()), 0);
    assert_eq!(wants(BTreeSet::from(["m-1".into()])), 1);
}

/// Four thousand machines are asked for at once, as many as there may be; a job that could use more asks
/// for no more than that.
#[test]
fn a_wide_job_wants_thousands_of_machines_at_once() {
    let (types, refused) = (types(), BTreeSet::new());
    let wants = |tasks: u32| {
        let mut plan = Plan::new(&types, &refused, Vec::new(), 4000);
        let mut need = CapacityDemand::default();
        plan.serve(
            TaskDemand::expected(&types, service("chat", "x", 1.0), tasks),
            &mut need,
        );
        need.machines_wanted()
    };
    assert_eq!(
        (wants(400), wants(16_000), wants(100_000)),
        (100, 4000, 4000)
    );
}

/// An opportunistic job keeps to its zones like any other: planned where it is never placed, it would wait
/// beside room that it can't use and ask for no other.
#[test]
fn opportunistic_work_is_planned_within_its_zones() {
    let (types, refused) = (types(), BTreeSet::new());
    let offer = || MachineOffer::from((TypeName::from("g8"), Zone::from("a"), true));
    let candidates = vec![PackingCandidate {
        free: total_room(&types[1]),
        ..PackingCandidate::empty(Some("m-1".into()), offer())
    }];
    let mut plan = Plan::new(&types, &refused, candidates, 10);
    let (mut need, mut rentals) = (CapacityDemand::default(), 5);
    let mut job = (*service("chat", "x", 1.0)).clone();
    (job.spread, job.spot, job.tasks) = (true, true, 4);
    let wanted = TaskDemand::expected(&types, job.into(), 4);
    plan.serve_opportunistic(wanted, false, &mut rentals, &mut need);
    assert_eq!(
        need.machines_wanted(),
        1,
        "two of four may be in zone a, two more need a machine in b"
    );
    assert_eq!(need.machine_demands[0].offer.zone, Zone::from("b"));
    assert!(need.machine_demands[0].opportunistic && rentals == 4);
}

/// What needs no GPUs wanted machines with GPUs while there were others without, and the leader moved forty
/// of them away from a share whose tasks waited for GPUs.
#[test]
fn what_needs_no_gpus_wants_no_machine_that_has_some() {
    let mut types = types();
    let without_gpus = MachineType {
        name: "c16".into(),
        gpus: 0.0,
        price: 1.0,
        ..types[0].clone()
    };
    let mut job = (*service("front", "x", 1.0)).clone();
    job.gpus = 0.0;
    let job = Rc::new(job);
    let machine = total_room(&types[1]);
    let offer = || MachineOffer::from((TypeName::from("g8"), Zone::from("a"), false));
    let wants = |types: &[MachineType], refused: &BTreeSet<MachineOffer>| {
        let candidate = PackingCandidate {
            free: machine,
            total: machine,
            ..PackingCandidate::empty(Some("m-1".into()), offer())
        };
        let (mut plan, mut need) = (
            Plan::new(types, refused, vec![candidate], 10),
            CapacityDemand::default(),
        );
        plan.serve(TaskDemand::expected(types, job.clone(), 1), &mut need);
        need.machine_demands
    };
    let none_refused = BTreeSet::new();
    assert!(
        wants(&types, &none_refused).is_empty(),
        "where all have GPUs it takes what there is"
    );
    types.push(without_gpus);
    let wanted = wants(&types, &none_refused);
    assert_eq!(wanted.len(), 1);
    assert!(
        wanted[0]
            .any_of
            .iter()
            .all(|offer| offer.type_name == TypeName::from("c16"))
    );
    let zones = ["a", "b"]
        .into_iter()
        .flat_map(|zone| [(zone, false), (zone, true)]);
    let refused = zones
        .map(|(zone, spot)| (TypeName::from("c16"), Zone::from(zone), spot))
        .map(MachineOffer::from)
        .collect();
    assert!(
        wants(&types, &refused).is_empty(),
        "nor while there are none of those"
    );
}
