//! The stored record of a team's grants, and its changes.
//!
//! Every change is a pure function from one record to the next. The caller writes the next record only if
//! the stored record still has the version from which the change was computed. So if two controllers grant
//! the same capacity at the same time, only one of them succeeds.

use crate::amount::{Amount, Limit};
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The only format of records that this version reads and writes.
const FORMAT: u32 = 1;
/// Maximum number of grants that a record lists one by one. Older grants are added to one sum. So the size of
/// a record stays bounded even if a team's owner changes often before all machines have reported their tasks.
pub const MAX_GRANTS: usize = 8;
/// Maximum length in bytes of a controller's name in a record.
const MAX_NAME_BYTES: usize = 100;

/// The holder of a grant: a controller's process and the term under which it owns the team. No term is used
/// twice, so holders are unique.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Validate, JsonSchema,
)]
pub struct HolderId {
    /// The term of ownership.
    #[serde(rename = "t")]
    #[garde(skip)]
    pub term: u64,
    /// The controller's process.
    #[serde(rename = "i")]
    #[garde(skip)]
    pub incarnation: u64,
    /// The controller's name.
    #[serde(rename = "n")]
    #[garde(length(bytes, min = 1, max = MAX_NAME_BYTES))]
    pub node: String,
}

/// What one holder may use of the team's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Validate, JsonSchema)]
pub struct Grant {
    /// The holder.
    #[serde(rename = "h")]
    #[garde(dive)]
    pub holder: HolderId,
    /// How much it may use.
    #[serde(rename = "a")]
    #[garde(dive)]
    pub amount: Amount,
    /// A recall: what the holder lacks because others hold it. They then return what they do not use.
    #[serde(rename = "w", default, skip_serializing_if = "Amount::is_zero")]
    #[garde(dive)]
    pub wanted: Amount,
}

/// All grants of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Validate, JsonSchema)]
pub struct TeamLedger {
    /// The format of the record.
    #[serde(rename = "v")]
    #[garde(range(min = FORMAT, max = FORMAT))]
    format: u32,
    /// The term of the holder that created the record. It counted everything that had been started before.
    #[serde(rename = "b")]
    #[garde(skip)]
    creator_term: u64,
    /// The grants, ordered by holder and so by term.
    #[serde(rename = "g")]
    #[garde(length(max = MAX_GRANTS), custom(validate_unique_holders), dive)]
    grants: Vec<Grant>,
    /// The sum of the grants of former holders that are no longer listed.
    #[serde(rename = "f", default, skip_serializing_if = "Amount::is_zero")]
    #[garde(dive)]
    folded: Amount,
}

/// Why a stored value is not a valid record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The value does not have the fields and types of a record.
    #[error("not a grant record: {0}")]
    Malformed(String),
    /// The fields have values that a record must not have.
    #[error("invalid grant record: {0}")]
    Invalid(String),
}

/// Why a record cannot be changed as requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The other grants leave too little of the limit.
    #[error("the other grants leave too little of the limit")]
    LimitReached,
    /// The record lists no grant of the holder.
    #[error("the holder has no grant in the record")]
    NotAHolder,
}

/// Checks that no holder has more than one grant.
fn validate_unique_holders(grants: &[Grant], _: &()) -> garde::Result {
    let holders: BTreeSet<&HolderId> = grants.iter().map(|grant| &grant.holder).collect();
    if holders.len() == grants.len() {
        Ok(())
    } else {
        Err(garde::Error::new("a holder has two grants"))
    }
}

impl TeamLedger {
    /// Parses and validates a stored value.
    pub fn decode(value: &serde_json::Value) -> Result<Self, RecordError> {
        let ledger =
            Self::deserialize(value).map_err(|error| RecordError::Malformed(error.to_string()))?;
        ledger.validate().map_err(|report| {
            let problems = report.to_string();
            RecordError::Invalid(problems.trim().replace('\n', "; "))
        })?;
        Ok(ledger)
    }

    /// Creates a record. The holder asserts that `amount` covers all tasks of the team that may be running.
    pub fn create(holder: &HolderId, amount: Amount) -> Self {
        let grant = Grant {
            holder: holder.clone(),
            amount,
            wanted: Amount::ZERO,
        };
        Self {
            format: FORMAT,
            creator_term: holder.term,
            grants: vec![grant],
            folded: Amount::ZERO,
        }
    }

    /// The term of the holder that created the record. That holder counted all tasks started before.
    pub fn creator_term(&self) -> u64 {
        self.creator_term
    }

    /// The listed grants, by ascending term of the holder.
    pub fn grants(&self) -> &[Grant] {
        &self.grants
    }

    /// The sum of the grants of former holders that are no longer listed. It counts against the limit.
    pub fn folded(&self) -> Amount {
        self.folded
    }

    /// The grant of `holder`; `None` if the record does not list it.
    pub fn grant(&self, holder: &HolderId) -> Option<&Grant> {
        self.grants.iter().find(|grant| grant.holder == *holder)
    }

    /// The sum of all grants except that of `holder`. It covers all tasks of the team that may be running and
    /// that `holder` did not start.
    pub fn granted_to_others(&self, holder: &HolderId) -> Amount {
        let others = self.grants.iter().filter(|grant| grant.holder != *holder);
        others.fold(self.folded, |sum, grant| sum.saturating_add(&grant.amount))
    }

    /// The sum of the recalls of all holders except `holder`.
    pub fn wanted_by_others(&self, holder: &HolderId) -> Amount {
        let others = self.grants.iter().filter(|grant| grant.holder != *holder);
        others.fold(Amount::ZERO, |sum, grant| sum.saturating_add(&grant.wanted))
    }

    /// Whether `holder` must yield to another holder that lacks capacity. Among those that lack capacity,
    /// the one with the smallest grant takes precedence. Holders that yield keep only the capacity of their
    /// running tasks. So if two holders each have half of the capacity that the other one needs, one of
    /// them gets all of it, and no holder waits for long.
    pub fn must_yield(&self, holder: &HolderId) -> bool {
        let precedence = |grant: &Grant| {
            let Amount {
                gpu_thousandths,
                cpu_thousandths,
            } = grant.amount;
            (gpu_thousandths, cpu_thousandths, grant.holder.clone())
        };
        let own = self.grant(holder).map(precedence);
        let lacking = self.grants.iter().filter(|grant| !grant.wanted.is_zero());
        own.is_some_and(|own| lacking.map(precedence).any(|other| other < own))
    }

    /// The most that `holder` may be granted: the limit minus all other grants.
    pub fn available(&self, holder: &HolderId, limit: &Limit) -> Amount {
        limit
            .amount()
            .saturating_sub(&self.granted_to_others(holder))
    }

    /// Adds a holder with an empty grant, unless the record lists it already.
    pub fn add_holder(&self, holder: &HolderId) -> Self {
        let mut next = self.clone();
        if self.grant(holder).is_none() {
            next.grants.push(Grant {
                holder: holder.clone(),
                amount: Amount::ZERO,
                wanted: Amount::ZERO,
            });
            next.grants
                .sort_by(|one, other| one.holder.cmp(&other.holder));
            next.fold_oldest_grants(holder);
        }
        next
    }

    /// Changes a holder's grant to `amount`. A grant may always shrink, but grows only within the limit.
    pub fn resize_grant(
        &self,
        holder: &HolderId,
        amount: Amount,
        limit: &Limit,
    ) -> Result<Self, ChangeError> {
        let held = self.grant(holder).ok_or(ChangeError::NotAHolder)?.amount;
        let max_amount = held.max(&self.available(holder, limit));
        if !max_amount.covers(&limit.limited_part(&amount)) {
            return Err(ChangeError::LimitReached);
        }
        Ok(self.with_changed_grant(holder, |grant| grant.amount = amount))
    }

    /// Records that a holder lacks `wanted` because others hold it. Zero withdraws the recall.
    pub fn set_recall(&self, holder: &HolderId, wanted: Amount) -> Result<Self, ChangeError> {
        self.grant(holder).ok_or(ChangeError::NotAHolder)?;
        Ok(self.with_changed_grant(holder, |grant| grant.wanted = wanted))
    }

    /// Removes the grants of `former` holders and adds `inherited` to the grant of `holder`, but at most the
    /// sum of the removed grants. The caller must have evidence that no task can be started under the former
    /// grants any more, and that the tasks still running under them use at most `inherited`. The limit is
    /// not checked, since the sum of all grants does not grow.
    pub fn take_over_grants(
        &self,
        holder: &HolderId,
        former: &[HolderId],
        inherited: Amount,
    ) -> Result<Self, ChangeError> {
        let mut next = self.clone();
        next.grants
            .retain(|grant| !former.contains(&grant.holder) || grant.holder == *holder);
        let removed = self
            .granted_to_others(holder)
            .saturating_sub(&next.granted_to_others(holder));
        next.add_inherited(holder, inherited.min(&removed))
    }

    /// Like [`Self::take_over_grants`], but for all other holders, including those that are no longer listed.
    pub fn take_over_all_grants(
        &self,
        holder: &HolderId,
        inherited: Amount,
    ) -> Result<Self, ChangeError> {
        let mut next = self.clone();
        next.grants.retain(|grant| grant.holder == *holder);
        next.folded = Amount::ZERO;
        next.add_inherited(holder, inherited.min(&self.granted_to_others(holder)))
    }

    /// Adds `inherited` to the grant of `holder`.
    fn add_inherited(&self, holder: &HolderId, inherited: Amount) -> Result<Self, ChangeError> {
        self.grant(holder).ok_or(ChangeError::NotAHolder)?;
        Ok(self.with_changed_grant(holder, |grant| {
            grant.amount = grant.amount.saturating_add(&inherited)
        }))
    }

    /// Reduces the grant of a holder that starts no more tasks to `still_used`, the capacity of its tasks
    /// that may still be running. An empty grant is removed.
    pub fn release_grant(
        &self,
        holder: &HolderId,
        still_used: Amount,
    ) -> Result<Self, ChangeError> {
        self.grant(holder).ok_or(ChangeError::NotAHolder)?;
        let mut next = self.with_changed_grant(holder, |grant| {
            grant.amount = grant.amount.min(&still_used);
            grant.wanted = Amount::ZERO;
        });
        next.grants
            .retain(|grant| grant.holder != *holder || !grant.amount.is_zero());
        Ok(next)
    }

    /// The record after `change` was applied to the grant of `holder`, if it is listed.
    fn with_changed_grant(&self, holder: &HolderId, change: impl FnOnce(&mut Grant)) -> Self {
        let mut next = self.clone();
        if let Some(grant) = next.grants.iter_mut().find(|grant| grant.holder == *holder) {
            change(grant);
        }
        next
    }

    /// Adds the oldest grants to the sum until at most [`MAX_GRANTS`] are listed. A holder that is no longer
    /// listed cannot change its grant, but the grant still counts against the limit.
    fn fold_oldest_grants(&mut self, joining: &HolderId) {
        while self.grants.len() > MAX_GRANTS {
            let oldest = self
                .grants
                .iter()
                .position(|grant| grant.holder != *joining);
            let Some(oldest) = oldest else { return };
            let grant = self.grants.remove(oldest);
            self.folded = self.folded.saturating_add(&grant.amount);
        }
    }
}
