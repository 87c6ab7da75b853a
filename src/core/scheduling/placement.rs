//! Best-fit bin packing of a single task. Among the machines that suffice, the task goes to the one that is
//! left with the fewest free GPUs. A tie goes to the machine left with the lowest weighted sum of the free
//! fractions of its CPUs and memory. The functions choose a candidate and change nothing.
//!
//! The GPUs of a machine cannot be used without its CPUs and memory, so a task without GPUs that takes
//! these can make free GPUs unusable. If a machine type without GPUs can hold such a task, a GPU machine
//! therefore offers it only the CPUs and memory that do not belong to its free GPUs
//! ([`Resources::without_share_of_free_gpus`]).

use crate::core::model::resources::Resources;
use crate::core::model::time::Time;

/// Candidates whose time until ready is within this factor of the shortest one count as equally soon, because
/// the times are estimates.
const EQUALLY_SOON_FACTOR: f64 = 1.1;

/// Weights of the free fractions that break ties between machines with equally many free GPUs.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Weight of the fraction of CPUs left free.
    pub cpu: f64,
    /// Weight of the fraction of memory left free.
    pub memory: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            cpu: 0.5,
            memory: 0.5,
        }
    }
}

/// A machine that satisfies the task's constraints.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Resources that the task may use.
    pub free: Resources,
    /// All resources of the machine.
    pub total: Resources,
    /// Seconds until the task could run on the machine.
    pub ready_in: Time,
}

/// Choice among the machines that are ready soonest if none is ready before the start deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateStartPolicy {
    /// The machine that is left with the least free resources.
    BestFit,
    /// The machine that is left with the most free resources. It has to fetch the image, and further
    /// tasks with the same image can then start there without another fetch.
    WorstFit,
}

/// Chooses a candidate and returns its index. If no candidate is ready within `time_to_deadline` seconds,
/// `late_start` decides among those that are ready soonest. Returns `None` if no candidate has the needed
/// resources free.
pub fn best_fit(
    need: &Resources,
    candidates: &[Candidate],
    time_to_deadline: Time,
    late_start: LateStartPolicy,
    weights: Weights,
) -> Option<usize> {
    let soonest = candidates
        .iter()
        .filter(|candidate| candidate.free.holds(need))
        .map(|candidate| candidate.ready_in)
        .min_by(Time::total_cmp)?;
    let is_late = soonest > time_to_deadline;
    let ready_limit = if soonest <= time_to_deadline {
        time_to_deadline
    } else {
        soonest * EQUALLY_SOON_FACTOR
    };
    let suffices =
        |candidate: &Candidate| candidate.free.holds(need) && candidate.ready_in <= ready_limit;
    let worst_fit = late_start == LateStartPolicy::WorstFit && is_late;
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| suffices(candidate))
        .min_by(|(_, first), (_, second)| {
            let first = RemainingResources::of(first, need, weights);
            let second = RemainingResources::of(second, need, weights);
            if worst_fit {
                second.total_cmp(&first)
            } else {
                first.total_cmp(&second)
            }
        })
        .map(|(index, _)| index)
}

/// The free resources that remain on a machine after the placement, by which candidates are ordered.
struct RemainingResources {
    gpus: f64,
    /// Weighted sum of the free fractions of CPUs and memory.
    weighted_fraction: f64,
}

impl RemainingResources {
    fn of(candidate: &Candidate, need: &Resources, weights: Weights) -> Self {
        let remaining = candidate.free.minus(need);
        let fraction = |free: f64, total: f64| if total > 0.0 { free / total } else { 0.0 };
        let weighted_fraction = weights.cpu * fraction(remaining.cpus, candidate.total.cpus)
            + weights.memory * fraction(remaining.memory_gb, candidate.total.memory_gb);
        Self {
            gpus: remaining.gpus,
            weighted_fraction,
        }
    }

    fn total_cmp(&self, other: &Self) -> std::cmp::Ordering {
        let by_gpus = self.gpus.total_cmp(&other.gpus);
        by_gpus.then(self.weighted_fraction.total_cmp(&other.weighted_fraction))
    }
}

#[cfg(test)]
mod tests;
