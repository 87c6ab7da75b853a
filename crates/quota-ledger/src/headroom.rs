//! How much more than it uses a holder asks for, so that ordinary starts need not wait for a write, and
//! when it returns a surplus, so that writes stay rare.

use crate::amount::{Amount, Limit};

/// Fraction of the headroom below which a holder asks for more.
const LOW_WATERMARK: f64 = 0.5;
/// Multiple of the headroom above which a holder returns some.
const HIGH_WATERMARK: f64 = 2.0;

/// The rule by which grants grow and shrink.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeadroomPolicy {
    /// Fraction of the limit that a holder holds beyond what it uses.
    pub limit_fraction: f64,
    /// Seconds for which a surplus must last before it is returned.
    pub surplus_delay_s: f64,
}

/// What a grant should become.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantTarget {
    /// No change.
    Keep,
    /// Starts wait or soon will: grow at once to this amount.
    Grow(Amount),
    /// There is a surplus: shrink to this amount if it lasts.
    ShrinkLater(Amount),
    /// Others lack what is not used here: shrink at once to this amount.
    ShrinkNow(Amount),
}

impl HeadroomPolicy {
    /// The part of the limit that a holder holds beyond what it uses.
    pub(crate) fn headroom_amount(&self, limit: &Limit) -> Amount {
        limit.amount().scaled(self.limit_fraction)
    }

    /// What a grant should become. `needed` is what runs under it or waits to be started under it;
    /// `others_lack` says whether other holders lack something.
    pub fn grant_target(
        &self,
        limit: &Limit,
        grant: &Amount,
        needed: &Amount,
        others_lack: bool,
    ) -> GrantTarget {
        if others_lack {
            return Self::target_without_headroom(grant, needed);
        }
        let headroom = self.headroom_amount(limit);
        let needed_with = |multiple: f64| {
            let with_headroom = needed.plus(&headroom.scaled(multiple));
            limit.amount().min(&with_headroom).max(needed)
        };
        if !grant.covers(&needed_with(LOW_WATERMARK)) {
            GrantTarget::Grow(needed_with(1.0).max(grant))
        } else if !needed.plus(&headroom.scaled(HIGH_WATERMARK)).covers(grant) {
            GrantTarget::ShrinkLater(needed_with(1.0).min(grant))
        } else {
            GrantTarget::Keep
        }
    }

    /// While others lack something, exactly what is needed.
    fn target_without_headroom(grant: &Amount, needed: &Amount) -> GrantTarget {
        match (grant.covers(needed), needed.covers(grant)) {
            (true, true) => GrantTarget::Keep,
            (true, false) => GrantTarget::ShrinkNow(*needed),
            (false, _) => GrantTarget::Grow(needed.max(grant)),
        }
    }
}
