//! The headroom that a holder requests beyond its usage, and the time at which it returns a surplus.
//!
//! With headroom most task starts need not wait for a write. The delayed return keeps writes rare.

use crate::amount::{Amount, Limit};

/// A holder whose unused capacity is below this fraction of the headroom requests more.
const LOW_WATERMARK_FRACTION: f64 = 0.5;
/// A holder whose unused capacity is above this multiple of the headroom returns the surplus.
const HIGH_WATERMARK_MULTIPLE: f64 = 2.0;

/// Decides when grants grow and shrink.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeadroomPolicy {
    /// Fraction of the limit that a holder requests beyond its usage.
    pub limit_fraction: f64,
    /// Time in seconds for which a surplus must last before it is returned.
    pub surplus_delay_s: f64,
}

/// The size that a grant should get, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantTarget {
    /// Leave the grant as it is.
    Keep,
    /// Task starts wait for capacity or soon will: grow to this amount at once.
    Grow(Amount),
    /// There is a surplus: shrink to this amount if the surplus lasts.
    ShrinkLater(Amount),
    /// Other holders lack capacity that is unused here: shrink to this amount at once.
    ShrinkNow(Amount),
}

impl HeadroomPolicy {
    /// The part of the limit that a holder requests beyond its usage.
    pub(crate) fn headroom_amount(&self, limit: &Limit) -> Amount {
        limit.amount().scaled(self.limit_fraction)
    }

    /// The target for `grant`. `needed` is the capacity of all tasks that run or wait under it.
    /// `others_lack_capacity` says whether other holders wait for capacity.
    pub fn grant_target(
        &self,
        limit: &Limit,
        grant: &Amount,
        needed: &Amount,
        others_lack_capacity: bool,
    ) -> GrantTarget {
        if others_lack_capacity {
            return Self::target_without_headroom(grant, needed);
        }
        let headroom = self.headroom_amount(limit);
        let needed_with_headroom = |multiple: f64| {
            let with_headroom = needed.saturating_add(&headroom.scaled(multiple));
            limit.amount().min(&with_headroom).max(needed)
        };
        if !grant.covers(&needed_with_headroom(LOW_WATERMARK_FRACTION)) {
            GrantTarget::Grow(needed_with_headroom(1.0).max(grant))
        } else if !needed
            .saturating_add(&headroom.scaled(HIGH_WATERMARK_MULTIPLE))
            .covers(grant)
        {
            GrantTarget::ShrinkLater(needed_with_headroom(1.0).min(grant))
        } else {
            GrantTarget::Keep
        }
    }

    /// The target while other holders lack capacity: exactly `needed`.
    fn target_without_headroom(grant: &Amount, needed: &Amount) -> GrantTarget {
        match (grant.covers(needed), needed.covers(grant)) {
            (true, true) => GrantTarget::Keep,
            (true, false) => GrantTarget::ShrinkNow(*needed),
            (false, _) => GrantTarget::Grow(needed.max(grant)),
        }
    }
}
