//! The input of a packing plan: tasks to place, and machines on which they may be placed.

use crate::core::jobs::job::Job;
use crate::core::messages::capacity_demand::MachineOffer;
use crate::core::model::resources::Resources;
use crate::core::scheduling::catalog::fits_without_gpus;
use crate::ids::{MachineId, Zone};
use crate::wire::{JobSpec, MachineType, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Tasks of one job that a plan has to place.
pub struct TaskDemand {
    /// Specification of the job.
    pub spec: Rc<JobSpec>,
    /// Number of tasks to place.
    pub count: u32,
    /// Number of the job's other tasks in each zone. A plan that ignored them could place tasks in a zone
    /// that the job's constraints exclude, and would never demand the machines that the tasks need.
    pub tasks_in_zone: BTreeMap<Zone, u32>,
    /// Machines that the job avoids. A plan that placed tasks there would never demand another machine.
    pub avoided: BTreeSet<MachineId>,
    /// Priority of a job that is queued; `None` if the job is only expected to be queued soon.
    pub urgency: Option<Priority>,
    /// Whether the tasks must keep free GPUs usable. Such tasks do not use the CPUs and memory that belong to
    /// a machine's free GPUs, and no machines with GPUs are rented for them.
    pub must_keep_free_gpus_usable: bool,
}

impl TaskDemand {
    /// Tasks of a job that is expected to be queued soon: it is likely to be submitted, or its dependencies
    /// are about to end. The job has no tasks on any machine.
    pub fn forecast(types: &[MachineType], spec: Rc<JobSpec>, count: u32) -> Self {
        let must_keep_free_gpus_usable = fits_without_gpus(types, &spec);
        Self {
            spec,
            count,
            tasks_in_zone: BTreeMap::new(),
            avoided: BTreeSet::new(),
            urgency: None,
            must_keep_free_gpus_usable,
        }
    }

    /// Tasks of a job that are queued.
    pub fn queued(job: &Job, count: u32, must_keep_free_gpus_usable: bool) -> Self {
        Self {
            spec: job.spec.clone(),
            count,
            tasks_in_zone: job.zones.clone(),
            avoided: job.failures.avoided_machines().cloned().unwrap_or_default(),
            urgency: Some(job.priority),
            must_keep_free_gpus_usable,
        }
    }
}

/// A machine on which a plan may place tasks. It exists or is to be rented.
pub struct PackingCandidate {
    /// The machine; `None` if it is to be rented.
    pub machine: Option<MachineId>,
    /// The machine's type and zone, and whether it is a spot instance.
    pub offer: MachineOffer,
    /// Resources not used by tasks on the machine or planned there. Resources of opportunistic tasks count as
    /// free until [`crate::core::scheduling::packing::Plan::reserve_opportunistic`] is called.
    pub free: Resources,
    /// All resources of the machine.
    pub total: Resources,
    /// The part of `free` that opportunistic tasks on the machine use.
    pub opportunistic_resources: Resources,
    /// Whether tasks other than opportunistic ones are on the machine or planned there.
    pub is_in_use: bool,
    /// Whether the machine is being drained. It is used only if no other machine suffices.
    pub is_draining: bool,
    /// Whether queued or forecast tasks are planned there.
    pub has_planned_tasks: bool,
    /// Whether queued tasks are planned there.
    pub has_queued_tasks: bool,
    /// Whether opportunistic tasks are planned there.
    pub has_opportunistic_tasks: bool,
}

impl PackingCandidate {
    /// A candidate without tasks and without any resources.
    pub fn empty(machine: Option<MachineId>, offer: MachineOffer) -> Self {
        Self {
            machine,
            offer,
            free: Resources::default(),
            total: Resources::default(),
            opportunistic_resources: Resources::default(),
            is_in_use: false,
            is_draining: false,
            has_planned_tasks: false,
            has_queued_tasks: false,
            has_opportunistic_tasks: false,
        }
    }
}
