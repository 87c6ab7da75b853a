//! Fleets of two machine types, with and without GPUs.

use crate::script::{assert_no_violations, play};

/// Front services that are submitted first leave the CPUs of GPU machines to tasks with GPUs, which all start at
/// once; the services get machines without GPUs. They once took those CPUs, and some of the GPU tasks waited for
/// another machine to boot.
#[test]
fn front_services_leave_the_cpus_of_gpu_machines_free() {
    let day = "machines 4\nwithout_gpus 4\nat 2 job service 24 gpus=0\n\
               at 5 job service 16 gpus=1 cpus=8\nuntil 9\n";
    let mut world = play(day);
    world.ignore_violations_of("not_served");
    assert_eq!(world.starts_of(1), 16, "some wait for another machine");
    world.run_until(60.0);
    assert_eq!(world.starts_of(0), 24);
    world.check_served();
    assert_no_violations("two machine types", &world);
}
