//! The stored record of a team's grants, and its changes.
//!
//! Every change is a pure function from one record to the next. The caller writes the next one
//! guarded by the version of the record that it was made from, so two controllers that grant the
//! same share in the same moment can't both succeed.

use crate::amount::{Amount, Limit};
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The format of records that this version writes and reads.
const FORMAT: u32 = 1;
/// Grants named one by one. The oldest beyond that are folded into one sum, so that a record keeps
/// its size however often a team changes hands before its machines have told what they hold.
pub const MOST_GRANTS: usize = 8;
/// Bytes that a controller's name may have in a record.
const LONGEST_NAME: usize = 100;

/// Who holds a grant: a controller's process, and the term under which it owns the team. A term is
/// never used twice, so neither is a holder.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Validate, JsonSchema,
)]
pub struct HolderId {
    /// The term of ownership.
    #[serde(rename = "t")]
    #[garde(skip)]
    pub term: u64,
    /// The process of the controller.
    #[serde(rename = "i")]
    #[garde(skip)]
    pub incarnation: u64,
    /// The controller.
    #[serde(rename = "n")]
    #[garde(length(bytes, min = 1, max = LONGEST_NAME))]
    pub node: String,
}

/// What one holder may use of the team's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Validate, JsonSchema)]
pub struct Grant {
    /// Who holds it.
    #[serde(rename = "h")]
    #[garde(dive)]
    pub holder: HolderId,
    /// How much.
    #[serde(rename = "a")]
    #[garde(dive)]
    pub amount: Amount,
    /// What the holder lacks because others hold it: a recall, upon which they give back what they
    /// do not use.
    #[serde(rename = "w", default, skip_serializing_if = "Amount::is_zero")]
    #[garde(dive)]
    pub wanted: Amount,
}

/// All grants of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Validate, JsonSchema)]
pub struct TeamLedger {
    #[serde(rename = "v")]
    #[garde(range(min = FORMAT, max = FORMAT))]
    format: u32,
    /// The term of the holder that began it. Everything that was started before then was counted.
    #[serde(rename = "b")]
    #[garde(skip)]
    began: u64,
    #[serde(rename = "g")]
    #[garde(length(max = MOST_GRANTS), custom(each_holder_once), dive)]
    grants: Vec<Grant>,
    /// Grants of former holders that are no longer named.
    #[serde(rename = "f", default, skip_serializing_if = "Amount::is_zero")]
    #[garde(dive)]
    folded: Amount,
}

/// Why a stored value is not a record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Not of the form of a record.
    #[error("not a record of grants: {0}")]
    Malformed(String),
    /// Of the form, but with values that no record has.
    #[error("an invalid record of grants: {0}")]
    Invalid(String),
}

/// Why a change is not possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Others hold what is asked for.
    #[error("others hold what is left of the limit")]
    LimitReached,
    /// The holder has no grant that could be changed.
    #[error("the holder has no grant in the record")]
    NotAHolder,
}

fn each_holder_once(grants: &[Grant], _: &()) -> garde::Result {
    let twice = |(index, grant): (usize, &Grant)| {
        grants[..index]
            .iter()
            .any(|other| other.holder == grant.holder)
    };
    match grants.iter().enumerate().any(twice) {
        true => Err(garde::Error::new("a holder has two grants")),
        false => Ok(()),
    }
}

impl TeamLedger {
    /// Reads a stored value and checks all of it.
    pub fn decode(value: &serde_json::Value) -> Result<Self, RecordError> {
        let ledger = Self::deserialize(value).map_err(|e| RecordError::Malformed(e.to_string()))?;
        match ledger.validate() {
            Ok(()) => Ok(ledger),
            Err(report) => Err(RecordError::Invalid(
                report.to_string().trim().replace('\n', "; "),
            )),
        }
    }

    /// A new record. Its holder vouches that `amount` covers all that may run of the team.
    pub fn begin(holder: &HolderId, amount: Amount) -> Self {
        let grant = Grant {
            holder: holder.clone(),
            amount,
            wanted: Amount::ZERO,
        };
        Self {
            format: FORMAT,
            began: holder.term,
            grants: vec![grant],
            folded: Amount::ZERO,
        }
    }

    /// The term of the holder that began the record.
    pub fn began(&self) -> u64 {
        self.began
    }

    /// The grants, oldest holder first.
    pub fn grants(&self) -> &[Grant] {
        &self.grants
    }

    /// The sum of the grants of former holders that are no longer named.
    pub fn folded(&self) -> Amount {
        self.folded
    }

    /// The grant of one holder.
    pub fn grant(&self, holder: &HolderId) -> Option<&Grant> {
        self.grants.iter().find(|grant| grant.holder == *holder)
    }

    /// Everything that is granted to others: what may run of the team and was not started by
    /// `holder`.
    pub fn outstanding(&self, holder: &HolderId) -> Amount {
        let others = self.grants.iter().filter(|grant| grant.holder != *holder);
        others.fold(self.folded, |sum, grant| sum.plus(&grant.amount))
    }

    /// What others lack that want more than they have.
    pub fn wanted_by_others(&self, holder: &HolderId) -> Amount {
        let others = self.grants.iter().filter(|grant| grant.holder != *holder);
        others.fold(Amount::ZERO, |sum, grant| sum.plus(&grant.wanted))
    }

    /// Whether another holder comes first among those that lack something: the one with the least.
    /// The others then keep only what runs, so that of two which each hold half of what the other
    /// needs one gets the whole, and none is passed over for long.
    pub fn yields(&self, holder: &HolderId) -> bool {
        let rank = |grant: &Grant| {
            let Amount {
                gpu_thousandths,
                cpu_thousandths,
            } = grant.amount;
            (gpu_thousandths, cpu_thousandths, grant.holder.clone())
        };
        let own = self.grant(holder).map(rank);
        let lacking = self.grants.iter().filter(|grant| !grant.wanted.is_zero());
        own.is_some_and(|own| lacking.map(rank).any(|other| other < own))
    }

    /// What `holder` could have at most: the limit less what others hold.
    pub fn available(&self, holder: &HolderId, limit: &Limit) -> Amount {
        limit.amount().less(&self.outstanding(holder))
    }

    /// A new holder, so far with nothing.
    pub fn join(&self, holder: &HolderId) -> Self {
        let mut next = self.clone();
        if self.grant(holder).is_none() {
            let (amount, wanted) = (Amount::ZERO, Amount::ZERO);
            next.grants.push(Grant {
                holder: holder.clone(),
                amount,
                wanted,
            });
            next.grants.sort_by(|a, b| a.holder.cmp(&b.holder));
            next.fold_oldest(holder);
        }
        next
    }

    /// A holder's grant becomes `amount`. It may always shrink; it grows only within the limit.
    pub fn resize(
        &self,
        holder: &HolderId,
        amount: Amount,
        limit: &Limit,
    ) -> Result<Self, Refusal> {
        let held = self.grant(holder).ok_or(Refusal::NotAHolder)?.amount;
        if !held
            .max(&self.available(holder, limit))
            .covers(&limit.limited(&amount))
        {
            return Err(Refusal::LimitReached);
        }
        Ok(self.with(holder, |grant| grant.amount = amount))
    }

    /// A holder lacks this much that others hold.
    pub fn recall(&self, holder: &HolderId, wanted: Amount) -> Result<Self, Refusal> {
        self.grant(holder).ok_or(Refusal::NotAHolder)?;
        Ok(self.with(holder, |grant| grant.wanted = wanted))
    }

    /// The grants of `former` holders end, and what may still run of their tasks passes to
    /// `holder`: its grant grows by `inherited`, and at most by what they had. The caller has
    /// evidence that nothing can be started under those grants any more, and that no more than
    /// `inherited` is left of what was. The limit doesn't matter, for nothing is granted anew.
    pub fn absorb(
        &self,
        holder: &HolderId,
        former: &[HolderId],
        inherited: Amount,
    ) -> Result<Self, Refusal> {
        let mut next = self.clone();
        next.grants
            .retain(|grant| !former.contains(&grant.holder) || grant.holder == *holder);
        let ended = self.outstanding(holder).less(&next.outstanding(holder));
        next.inherit(holder, inherited.min(&ended))
    }

    /// As [`Self::absorb`], of all others, those that are no longer named among them.
    pub fn absorb_all(&self, holder: &HolderId, inherited: Amount) -> Result<Self, Refusal> {
        let mut next = self.clone();
        next.grants.retain(|grant| grant.holder == *holder);
        next.folded = Amount::ZERO;
        next.inherit(holder, inherited.min(&self.outstanding(holder)))
    }

    fn inherit(&self, holder: &HolderId, inherited: Amount) -> Result<Self, Refusal> {
        self.grant(holder).ok_or(Refusal::NotAHolder)?;
        Ok(self.with(holder, |grant| grant.amount = grant.amount.plus(&inherited)))
    }

    /// A holder that starts nothing any more keeps only what may still run of its tasks.
    pub fn release(&self, holder: &HolderId, still_used: Amount) -> Result<Self, Refusal> {
        self.grant(holder).ok_or(Refusal::NotAHolder)?;
        let mut next = self.with(holder, |grant| {
            grant.amount = grant.amount.min(&still_used);
            grant.wanted = Amount::ZERO;
        });
        next.grants
            .retain(|grant| grant.holder != *holder || !grant.amount.is_zero());
        Ok(next)
    }

    fn with(&self, holder: &HolderId, change: impl FnOnce(&mut Grant)) -> Self {
        let mut next = self.clone();
        if let Some(grant) = next.grants.iter_mut().find(|grant| grant.holder == *holder) {
            change(grant);
        }
        next
    }

    /// Keeps the number of grants within bounds. A holder that is folded can change its grant no
    /// more; what it had stays counted in the sum.
    fn fold_oldest(&mut self, joining: &HolderId) {
        while self.grants.len() > MOST_GRANTS {
            let oldest = self
                .grants
                .iter()
                .position(|grant| grant.holder != *joining);
            let Some(oldest) = oldest else { return };
            let grant = self.grants.remove(oldest);
            self.folded = self.folded.plus(&grant.amount);
        }
    }
}
