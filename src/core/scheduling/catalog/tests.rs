use super::*;
use crate::core::test_support::{config, machine_types, service};

/// Two types that have nothing in common: one without GPUs, one with little memory.
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
    let memory_of_one = |job: &mut JobSpec| job.memory_gb = 512.0;
    assert_eq!(
        can_never_run(disjoint_types(), memory_of_one),
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

/// Neither says that the job can never run: images are fetched whatever the cache holds, and zones come back.
#[test]
fn large_images_and_types_without_a_zone_do_not_make_a_job_infeasible() {
    assert_eq!(
        can_never_run(disjoint_types(), |job| job.image_gb = 5000.0),
        Some(false)
    );
    let mut nowhere = disjoint_types();
    nowhere.iter_mut().for_each(|of_type| of_type.zones.clear());
    assert_eq!(can_never_run(nowhere, |_| ()), Some(false));
}

/// A single type without a GPU field made the whole list unreadable, and every submission waited.
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
fn a_task_without_gpus_fits_without_them_only_if_such_a_type_exists() {
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
