//! Fleets of two machine types, with and without GPUs.

use crate::script::{assert_no_violations, run_scenario};

/// Services without GPUs that are submitted first are placed on machines without GPUs and leave the CPUs of
/// GPU machines to tasks with GPUs, which all start at once. The test guards against services that take those
/// CPUs, so that GPU tasks wait for another machine to boot.
#[test]
fn services_without_gpus_leave_the_cpus_of_gpu_machines_free() {
    let scenario = "machines 4\nwithout_gpus 4\nat 2 job service 24 gpus=0\n\
               at 5 job service 16 gpus=1 cpus=8\nuntil 9\n";
    let mut world = run_scenario(scenario);
    world.ignore_violations_of("not_served");
    assert_eq!(
        world.starts_of(1),
        16,
        "some GPU tasks wait for another machine"
    );
    world.run_until(60.0);
    assert_eq!(world.starts_of(0), 24);
    world.check_served();
    assert_no_violations("two machine types", &world);
}
