use super::*;
use crate::core::test_support::{config, service, types};

/// Two kinds that have nothing in common: one without GPUs, one with little memory.
fn unlike_kinds() -> Vec<MachineType> {
    let g8 = types().remove(1);
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

fn refusal(of_kinds: Vec<MachineType>, change: impl FnOnce(&mut JobSpec)) -> Option<bool> {
    let mut job = (*service("chat", "x", 1.0)).clone();
    change(&mut job);
    Catalog::with_types(of_kinds).refusal(&config(), &job)
}

#[test]
fn what_only_two_kinds_together_would_hold_can_never_run() {
    assert_eq!(refusal(unlike_kinds(), |_| ()), Some(false));
    let memory_of_one = |job: &mut JobSpec| job.memory_gb = 512.0;
    assert_eq!(
        refusal(unlike_kinds(), memory_of_one),
        Some(true),
        "GPUs of one, memory of the other"
    );
    let no_gpus = |job: &mut JobSpec| (job.gpus, job.memory_gb) = (0.0, 512.0);
    assert_eq!(refusal(unlike_kinds(), no_gpus), Some(false));
    let no_such_kind = |job: &mut JobSpec| job.types = Some(vec!["c16".into()]);
    assert_eq!(
        refusal(unlike_kinds(), no_such_kind),
        Some(true),
        "it needs GPUs"
    );
}

/// Neither says that the job can never run: images are fetched whatever the cache holds, and zones come back.
#[test]
fn large_images_and_kinds_without_a_zone_are_no_reason_to_refuse() {
    assert_eq!(
        refusal(unlike_kinds(), |job| job.image_gb = 5000.0),
        Some(false)
    );
    let mut nowhere = unlike_kinds();
    nowhere.iter_mut().for_each(|kind| kind.zones.clear());
    assert_eq!(refusal(nowhere, |_| ()), Some(false));
}

/// One kind that left out its GPUs made the whole list unreadable, and every submission waited.
#[test]
fn a_kind_may_leave_its_gpus_out() {
    let kind = |cards: &str| {
        format!(r#"{{"label":"c16","cores":16.0,{cards}"memGb":64.0,"rate":0.58,"yards":["a"]}}"#)
    };
    for cards in ["", r#""cards":null,"#, r#""cards":0,"#] {
        let read: MachineType = serde_json::from_str(&kind(cards)).unwrap();
        assert_eq!(read.gpus, 0.0, "{cards:?}");
    }
}

#[test]
fn what_needs_no_gpus_fits_without_them_only_where_there_are_such_machines() {
    let mut front = (*service("chat", "x", 1.0)).clone();
    assert!(!fits_without_gpus(&unlike_kinds(), &front), "it needs GPUs");
    front.gpus = 0.0;
    assert!(fits_without_gpus(&unlike_kinds(), &front));
    assert!(!fits_without_gpus(&types(), &front), "all kinds have GPUs");
    front.cpus = 32.0;
    assert!(
        !fits_without_gpus(&unlike_kinds(), &front),
        "too large for those without"
    );
}
