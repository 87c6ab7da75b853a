use crate::core::messages::detection::Resignation;
use crate::core::model::time::Time;

/// What this controller keeps for the detection of failures.
#[derive(Debug, Default)]
pub struct FailureDetection {
    /// Calls that the state service refused since it last answered in another way.
    pub(crate) refusals: u32,
    /// Its own predecessor that has resigned, and when.
    pub(crate) resignation: Option<(Resignation, Time)>,
    /// The lease of a resigned sibling that was ended last.
    pub(crate) ended: Option<u64>,
    /// The map of which it was looked up last who owns nothing.
    pub(crate) map_seen: Option<u64>,
    /// When it judges itself next.
    pub(crate) next_self_check: Time,
}

impl FailureDetection {
    /// The state service refused a call.
    pub fn refused(&mut self) {
        self.refusals += 1;
    }

    /// The state service answered in another way, or not at all: that is no refusal.
    pub fn not_refused(&mut self) {
        self.refusals = 0;
    }
}
