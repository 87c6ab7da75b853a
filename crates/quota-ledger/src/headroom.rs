//! How much more than it uses a holder asks for, so that ordinary starts wait for no write, and
//! when it gives back what it does not use, so that writes stay few.

use crate::amount::{Amount, Limit};

/// Part of the headroom below which more is asked for.
const LOW_WATER: f64 = 0.5;
/// Times the headroom above which some is given back.
const HIGH_WATER: f64 = 2.0;

/// The rule by which grants grow and shrink.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Headroom {
    /// Part of the limit that is held beyond what is used.
    pub part_of_limit: f64,
    /// Seconds for which there has to be too much before some is given back.
    pub patience_s: f64,
}

/// What a grant should become.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// It is as it should be.
    Keep,
    /// Starts wait or soon will: more, at once.
    Grow(Amount),
    /// More than is needed: less, after a while.
    ShrinkLater(Amount),
    /// Others lack what is not used here: less, at once.
    ShrinkNow(Amount),
}

impl Headroom {
    /// What a grant should become, given what runs or waits to be started under it, and whether
    /// others lack something.
    pub fn target(
        &self,
        limit: &Limit,
        grant: &Amount,
        needed: &Amount,
        others_lack: bool,
    ) -> Target {
        if others_lack {
            return match (grant.covers(needed), needed.covers(grant)) {
                (true, true) => Target::Keep,
                (true, false) => Target::ShrinkNow(*needed),
                (false, _) => Target::Grow(needed.max(grant)),
            };
        }
        let headroom = limit.amount().part(self.part_of_limit);
        let with = |times: f64| {
            limit
                .amount()
                .min(&needed.plus(&headroom.part(times)))
                .max(needed)
        };
        if !grant.covers(&with(LOW_WATER)) {
            Target::Grow(with(1.0).max(grant))
        } else if !needed.plus(&headroom.part(HIGH_WATER)).covers(grant) {
            Target::ShrinkLater(with(1.0).min(grant))
        } else {
            Target::Keep
        }
    }
}
