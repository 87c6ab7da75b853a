//! Best fit: among the machines that suffice, the one whose remaining GPU room is the smallest;
//! ties, and tasks without GPUs, go to the machine left with the lowest weighted sum of free CPU
//! and memory fractions. Pure: it looks at candidates and picks one.
//!
//! A machine's CPUs and memory are there for its GPUs too: what a task without GPUs takes of them may leave
//! GPUs that nothing can use. So where machines without GPUs are to be had, a machine with GPUs suffices
//! for such a task only beside the part of its CPUs and memory that its free GPUs keep
//! ([`Resources::beside_free_gpus`]).

use crate::core::model::resources::Resources;
use crate::core::model::time::Time;

/// Weights of the tie-break.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    pub cpu: f64,
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

/// A machine that satisfies the task's rules.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub free: Resources,
    pub total: Resources,
    /// Seconds until the task could run there.
    pub ready_in: Time,
}

/// What to do when no machine could run the task in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Late {
    /// Best fit among the soonest.
    BestFit,
    /// Among the soonest the one with the most room, so that the image it has to fetch is there
    /// for the next of its kind, which then is in time.
    MostRoom,
}

/// Picks a candidate. One that could not run the task within `slack` does not suffice while
/// another does; if none does, the soonest ones are left to choose from.
pub fn best_fit(
    need: &Resources,
    candidates: &[Candidate],
    slack: Time,
    late: Late,
    weights: Weights,
) -> Option<usize> {
    let fits = |c: &&Candidate| c.free.holds(need);
    let soonest = candidates
        .iter()
        .filter(fits)
        .map(|c| c.ready_in)
        .min_by(Time::total_cmp)?;
    // Times are estimates: those within a tenth of the soonest are as good.
    let limit = if soonest <= slack {
        slack
    } else {
        soonest * 1.1
    };
    let suffices = |(_, c): &(usize, &Candidate)| c.free.holds(need) && c.ready_in <= limit;
    let key = |c: &Candidate| {
        let left = c.free.less(need);
        let fraction = |left: f64, total: f64| if total > 0.0 { left / total } else { 0.0 };
        let rest = weights.cpu * fraction(left.cpus, c.total.cpus)
            + weights.memory * fraction(left.memory_gb, c.total.memory_gb);
        (left.gpus, rest)
    };
    let most_room = late == Late::MostRoom && soonest > slack;
    let all = candidates.iter().enumerate().filter(suffices);
    all.min_by(|(_, a), (_, b)| {
        let (a, b) = if most_room {
            (key(b), key(a))
        } else {
            (key(a), key(b))
        };
        a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
    })
    .map(|(index, _)| index)
}

#[cfg(test)]
mod tests;
