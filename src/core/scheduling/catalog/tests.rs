use super::*;
use crate::core::test_support::{config, machine_types, service};

/// A type with much memory and no GPUs, and a type with GPUs and little memory.
fn disjoint_types() -> Vec<MachineType> {
    let g8 = machine_types().remove(1);
    let without_gpus = MachineType {
        name: "c16".into(),
        cpus: 16.0,
        gpus: 0.0,
        memory_gb: 1024.0,
        fetch_gb_per_s: 0.5,
        ..g8.clone()
    };
    vec![without_gpus, g8]
}

fn can_never_run(types: Vec<MachineType>, change: impl FnOnce(&mut JobSpec)) -> Option<bool> {
    let mut job = (*service("chat", "x", 1.0)).clone();
    change(&mut job);
    Catalog::with_types(types).can_never_run(&config(), &job)
}

#[test]
fn a_task_must_fit_on_one_machine_type() {
    assert_eq!(can_never_run(disjoint_types(), |_| ()), Some(false));
    let much_memory = |job: &mut JobSpec| job.memory_gb = 512.0;
    assert_eq!(
        can_never_run(disjoint_types(), much_memory),
        Some(true),
        "GPUs of one, memory of the other"
    );
    let no_gpus = |job: &mut JobSpec| (job.gpus, job.memory_gb) = (0.0, 512.0);
    assert_eq!(can_never_run(disjoint_types(), no_gpus), Some(false));
    let type_without_gpus = |job: &mut JobSpec| job.types = Some(vec!["c16".into()]);
    assert_eq!(
        can_never_run(disjoint_types(), type_without_gpus),
        Some(true),
        "it needs GPUs"
    );
}

/// An image larger than every cache can still be fetched, and a type may be offered in a zone again.
#[test]
fn large_images_and_types_without_a_zone_do_not_make_a_job_infeasible() {
    assert_eq!(
        can_never_run(disjoint_types(), |job| job.image_gb = 5000.0),
        Some(false)
    );
    let mut without_zones = disjoint_types();
    without_zones
        .iter_mut()
        .for_each(|machine_type| machine_type.zones.clear());
    assert_eq!(can_never_run(without_zones, |_| ()), Some(false));
}

/// A required GPU field makes the whole list undecodable if one type omits it: then every submission waits.
#[test]
fn a_machine_type_may_omit_its_gpus() {
    let json = |cards: &str| {
        format!(r#"{{"label":"c16","cores":16.0,{cards}"memGb":64.0,"rate":0.58,"yards":["a"]}}"#)
    };
    for cards in ["", r#""cards":null,"#, r#""cards":0,"#] {
        let read: MachineType = serde_json::from_str(&json(cards)).unwrap();
        assert_eq!(read.gpus, 0.0, "{cards:?}");
    }
}

#[test]
fn a_task_fits_without_gpus_only_if_a_type_without_gpus_can_hold_it() {
    let mut service_spec = (*service("chat", "x", 1.0)).clone();
    assert!(
        !fits_without_gpus(&disjoint_types(), &service_spec),
        "it needs GPUs"
    );
    service_spec.gpus = 0.0;
    assert!(fits_without_gpus(&disjoint_types(), &service_spec));
    assert!(
        !fits_without_gpus(&machine_types(), &service_spec),
        "all types have GPUs"
    );
    service_spec.cpus = 32.0;
    assert!(
        !fits_without_gpus(&disjoint_types(), &service_spec),
        "too large for those without"
    );
}
