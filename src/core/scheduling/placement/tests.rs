use super::*;

fn candidate(gpus: f64, cpus: f64, ready_in: Time) -> Candidate {
    let total = Resources {
        cpus: 32.0,
        gpus: 8.0,
        memory_gb: 100.0,
    };
    Candidate {
        free: Resources {
            cpus,
            gpus,
            memory_gb: 50.0,
        },
        total,
        ready_in,
    }
}

const NEED: Resources = Resources {
    cpus: 4.0,
    gpus: 2.0,
    memory_gb: 10.0,
};

fn pick(candidates: &[Candidate], time_to_deadline: Time) -> Option<usize> {
    best_fit(
        &NEED,
        candidates,
        time_to_deadline,
        LateStartPolicy::BestFit,
        Weights::default(),
    )
}

#[test]
fn best_fit_leaves_the_fewest_free_gpus() {
    let all = [
        candidate(8.0, 32.0, 0.0),
        candidate(3.0, 32.0, 0.0),
        candidate(1.0, 32.0, 0.0),
    ];
    assert_eq!(pick(&all, 10.0), Some(1));
    assert_eq!(pick(&all[2..], 10.0), None, "GPUs are never overcommitted");
    assert_eq!(
        pick(&[candidate(4.0, 3.0, 0.0)], 10.0),
        None,
        "nor are CPUs"
    );
}

#[test]
fn ties_go_to_the_machine_left_with_the_least_free_cpu_and_memory() {
    assert_eq!(
        pick(&[candidate(4.0, 30.0, 0.0), candidate(4.0, 8.0, 0.0)], 10.0),
        Some(1)
    );
}

#[test]
fn a_machine_ready_after_the_start_deadline_is_chosen_only_if_no_other_suffices() {
    let all = [candidate(2.0, 8.0, 30.0), candidate(8.0, 32.0, 5.0)];
    assert_eq!(pick(&all, 10.0), Some(1));
    assert_eq!(pick(&all, 40.0), Some(0));
    assert_eq!(pick(&all, 1.0), Some(1), "if none suffices, the soonest");
    let cold = [candidate(2.0, 8.0, 30.0), candidate(8.0, 32.0, 30.0)];
    let pick = |time_to_deadline| {
        best_fit(
            &NEED,
            &cold,
            time_to_deadline,
            LateStartPolicy::WorstFit,
            Weights::default(),
        )
    };
    assert_eq!(
        (pick(40.0), pick(10.0)),
        (Some(0), Some(1)),
        "worst fit leaves resources where the image will be"
    );
}

/// Services without GPUs that take the CPUs of GPU machines make the GPUs unusable, and other GPU machines
/// are rented in their place. In one case a ninth of the GPUs was unusable.
#[test]
fn free_gpus_keep_their_share_of_cpus_and_memory() {
    let total = Resources {
        cpus: 48.0,
        gpus: 8.0,
        memory_gb: 192.0,
    };
    assert!(
        !total.without_share_of_free_gpus(&total).holds(&CPU_TASK),
        "all of it belongs to its GPUs"
    );
    let half_used = Resources {
        cpus: 32.0,
        gpus: 4.0,
        memory_gb: 146.0,
    };
    let left = half_used.without_share_of_free_gpus(&total);
    assert_eq!((left.cpus, left.gpus, left.memory_gb), (8.0, 4.0, 50.0));
    assert!(left.holds(&CPU_TASK.times(4)) && !left.holds(&CPU_TASK.times(5)));
    let without_gpus = Resources {
        cpus: 16.0,
        gpus: 0.0,
        memory_gb: 64.0,
    };
    assert_eq!(
        without_gpus.without_share_of_free_gpus(&without_gpus),
        without_gpus
    );
}

const CPU_TASK: Resources = Resources {
    cpus: 2.0,
    gpus: 0.0,
    memory_gb: 5.8,
};

#[test]
fn a_task_without_gpus_goes_where_the_fewest_gpus_are_free() {
    let with_gpus = candidate(4.0, 3.0, 0.0);
    let without = candidate(0.0, 30.0, 0.0);
    let pick = |all: &[Candidate]| {
        best_fit(
            &CPU_TASK,
            all,
            10.0,
            LateStartPolicy::BestFit,
            Weights::default(),
        )
    };
    assert_eq!(
        pick(&[with_gpus, without]),
        Some(1),
        "although more of its CPUs is left"
    );
    assert_eq!(pick(&[with_gpus]), Some(0));
}
