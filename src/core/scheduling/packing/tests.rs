use super::*;
use crate::core::scheduling::catalog::total_resources;
use crate::core::test_support::{machine_types, service};
use crate::ids::MachineTypeName;
use std::rc::Rc;

/// Offers are ordered by price per task, then by number of machines in the zone. Offers that the cloud cannot
/// provide are not considered.
#[test]
fn the_offer_with_the_lowest_price_per_task_is_demanded() {
    let (types, job) = (machine_types(), service("chat", "x", 1.0));
    let need = Resources::of(&job);
    let zones = BTreeMap::from([(Zone::from("a"), 3)]);
    let cheapest_offer = |unavailable: &BTreeSet<MachineOffer>| {
        let request = RentalRequest {
            spec: &job,
            need: &need,
            accepts_zone: &|_| true,
        };
        let cheapest = request.cheapest(&types, &zones, unavailable);
        cheapest.map(|(offer, _)| offer)
    };
    let g8 =
        |zone: &str| MachineOffer::from((MachineTypeName::from("g8"), Zone::from(zone), false));
    assert_eq!(cheapest_offer(&BTreeSet::new()), Some(g8("b")));
    assert_eq!(cheapest_offer(&BTreeSet::from([g8("b")])), Some(g8("a")));
}

/// A job that is planned on a machine it avoids waits forever: it is never placed there, and no other machine
/// is demanded.
#[test]
fn tasks_are_not_planned_on_machines_that_the_job_avoids() {
    let (types, unavailable) = (machine_types(), BTreeSet::new());
    let offer = || MachineOffer::from((MachineTypeName::from("g8"), Zone::from("a"), false));
    let candidate = || PackingCandidate {
        free: total_resources(&types[1]),
        ..PackingCandidate::empty(Some("m-1".into()), offer())
    };
    let demanded = |avoided: BTreeSet<MachineId>| {
        let (mut plan, mut demand) = (
            Plan::new(&types, &unavailable, vec![candidate()], 10),
            CapacityDemand::default(),
        );
        let tasks = TaskDemand {
            avoided,
            ..TaskDemand::forecast(&types, service("chat", "x", 1.0), 1)
        };
        plan.place(tasks, &mut demand);
        demand.machines_wanted()
    };
    assert_eq!(demanded(BTreeSet::new()), 0);
    assert_eq!(demanded(BTreeSet::from(["m-1".into()])), 1);
}

/// One job may demand thousands of machines at once, but no more than the maximum that is passed to the plan.
#[test]
fn a_job_with_many_tasks_demands_machines_up_to_the_maximum() {
    let (types, unavailable) = (machine_types(), BTreeSet::new());
    let demanded = |tasks: u32| {
        let mut plan = Plan::new(&types, &unavailable, Vec::new(), 4000);
        let mut demand = CapacityDemand::default();
        plan.place(
            TaskDemand::forecast(&types, service("chat", "x", 1.0), tasks),
            &mut demand,
        );
        demand.machines_wanted()
    };
    assert_eq!(
        (demanded(400), demanded(16_000), demanded(100_000)),
        (100, 4000, 4000)
    );
}

/// Zone constraints apply to opportunistic jobs too. A job that is planned in a zone where it is never placed
/// waits although resources are free there, and demands no other machine.
#[test]
fn opportunistic_tasks_are_planned_within_the_zone_constraints_of_their_job() {
    let (types, unavailable) = (machine_types(), BTreeSet::new());
    let offer = || MachineOffer::from((MachineTypeName::from("g8"), Zone::from("a"), true));
    let candidates = vec![PackingCandidate {
        free: total_resources(&types[1]),
        ..PackingCandidate::empty(Some("m-1".into()), offer())
    }];
    let mut plan = Plan::new(&types, &unavailable, candidates, 10);
    let (mut demand, mut rentals) = (CapacityDemand::default(), 5);
    let mut job = (*service("chat", "x", 1.0)).clone();
    (job.spread, job.spot, job.tasks) = (true, true, 4);
    let tasks = TaskDemand::forecast(&types, job.into(), 4);
    plan.place_opportunistic(tasks, false, &mut rentals, &mut demand);
    assert_eq!(
        demand.machines_wanted(),
        1,
        "two of four may be in zone a, two more need a machine in b"
    );
    assert_eq!(demand.machine_demands[0].offer.zone, Zone::from("b"));
    assert!(demand.machine_demands[0].opportunistic && rentals == 4);
}

/// If tasks without GPUs demand GPU machines, the leader takes these from a shard whose tasks wait for GPUs.
/// In one case it moved forty of them, although machines without GPUs were offered.
#[test]
fn tasks_without_gpus_do_not_demand_gpu_machines() {
    let mut types = machine_types();
    let without_gpus = MachineType {
        name: "c16".into(),
        gpus: 0.0,
        price: 1.0,
        ..types[0].clone()
    };
    let mut job = (*service("web", "x", 1.0)).clone();
    job.gpus = 0.0;
    let job = Rc::new(job);
    let machine = total_resources(&types[1]);
    let offer = || MachineOffer::from((MachineTypeName::from("g8"), Zone::from("a"), false));
    let demanded = |types: &[MachineType], unavailable: &BTreeSet<MachineOffer>| {
        let candidate = PackingCandidate {
            free: machine,
            total: machine,
            ..PackingCandidate::empty(Some("m-1".into()), offer())
        };
        let (mut plan, mut demand) = (
            Plan::new(types, unavailable, vec![candidate], 10),
            CapacityDemand::default(),
        );
        plan.place(TaskDemand::forecast(types, job.clone(), 1), &mut demand);
        demand.machine_demands
    };
    let none_unavailable = BTreeSet::new();
    assert!(
        demanded(&types, &none_unavailable).is_empty(),
        "if all machine types have GPUs, any machine is used"
    );
    types.push(without_gpus);
    let wanted = demanded(&types, &none_unavailable);
    assert_eq!(wanted.len(), 1);
    assert!(
        wanted[0]
            .any_of
            .iter()
            .all(|offer| offer.type_name == MachineTypeName::from("c16"))
    );
    let zones = ["a", "b"]
        .into_iter()
        .flat_map(|zone| [(zone, false), (zone, true)]);
    let unavailable = zones
        .map(|(zone, spot)| (MachineTypeName::from("c16"), Zone::from(zone), spot))
        .map(MachineOffer::from)
        .collect();
    assert!(
        demanded(&types, &unavailable).is_empty(),
        "even while no machine without GPUs can be rented"
    );
}
