//! The state of one controller that has a grant of a team's limit: the part that it may use now, and the
//! change of the record that it requests next.
//!
//! A grant grows when the store has confirmed the write, and shrinks as soon as the write is requested.
//! So if an answer is lost or a write is executed late, the holder never uses more than the record grants.

use crate::amount::{Amount, Limit};
use crate::headroom::{GrantTarget, HeadroomPolicy};
use crate::record::{HolderId, TeamLedger};

/// Former holders for which there is evidence that they cannot start tasks under their grants any more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum EndedHolders {
    /// No such holder is known.
    #[default]
    None,
    /// These holders.
    Listed(Vec<HolderId>),
    /// All holders except the one that states the demand.
    AllOthers,
}

/// The capacity that a holder needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Capacity that the holder's own grant must cover: all tasks that it started and that may be running,
    /// including starts in flight, and tasks that it inherited earlier.
    pub used: Amount,
    /// Additional capacity of waiting tasks that could start at once if it were granted.
    pub waiting: Amount,
    /// The part of `waiting` that is to start first.
    pub first_waiting: Amount,
    /// Holders whose grants this holder is to take over.
    pub ended_holders: EndedHolders,
    /// Capacity of the tasks of ended holders that may still be running.
    pub inherited: Amount,
}

/// A change of the record. The caller writes it as a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The version that the stored record must have; 0 if it must not exist.
    pub expected_version: u64,
    /// The record after the change.
    pub ledger: TeamLedger,
}

/// The outcome of writing a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The proposal was written. The record now has this version.
    Committed(u64),
    /// The proposal was not written and never will be.
    NotExecuted,
    /// The proposal may have been written, or may be written later.
    Unknown,
}

/// Writes with an unknown outcome. All of them have the same expected version.
#[derive(Clone, Copy, Debug)]
struct WritesInDoubt {
    expected_version: u64,
    /// The smallest amount that one of these writes grants to the holder itself.
    amount: Amount,
}

/// A controller that may start tasks of a team.
#[derive(Clone, Debug)]
pub struct Holder {
    id: HolderId,
    limit: Limit,
    headroom_policy: HeadroomPolicy,
    /// The latest known version of the record; 0 if there is no record.
    version: u64,
    /// The record of that version; `None` if there is no record.
    ledger: Option<TeamLedger>,
    in_doubt: Option<WritesInDoubt>,
    /// The write whose outcome has not been recorded yet.
    writing: Option<Proposal>,
    /// Time in seconds since which the grant has had a surplus.
    surplus_since: Option<f64>,
}

impl Holder {
    /// Creates a holder that has not read the record yet.
    pub fn new(id: HolderId, limit: Limit, headroom_policy: HeadroomPolicy) -> Self {
        Self {
            id,
            limit,
            headroom_policy,
            version: 0,
            ledger: None,
            in_doubt: None,
            writing: None,
            surplus_since: None,
        }
    }

    /// The id under which the record lists this holder.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Takes note of the stored record and its version, or of `None` and 0 if there is no record. A version
    /// that is not newer than the known one is ignored.
    pub fn observe_record(&mut self, version: u64, ledger: Option<TeamLedger>) {
        if version != 0 && version <= self.version {
            return;
        }
        self.version = version;
        self.ledger = ledger;
        // A write that expects an earlier version cannot be executed any more.
        self.in_doubt
            .take_if(|in_doubt| in_doubt.expected_version != version);
    }

    /// The latest known record; `None` if there is no record or it has not been read.
    pub fn ledger(&self) -> Option<&TeamLedger> {
        self.ledger.as_ref()
    }

    /// The amount that may be in use under this holder's grant. Writes in doubt can only reduce it.
    pub fn usable_grant(&self) -> Amount {
        let stored = self
            .ledger
            .as_ref()
            .map_or(Amount::ZERO, |ledger| self.own_amount_in(ledger));
        match &self.in_doubt {
            Some(in_doubt) => stored.min(&in_doubt.amount),
            None => stored,
        }
    }

    /// The smallest amount that a first record may grant to this holder, if the holder has requested to
    /// create one and the outcome is unknown. Until it is known, tasks may use no more than this amount.
    pub fn first_grant_in_doubt(&self) -> Option<Amount> {
        self.in_doubt
            .filter(|_| self.ledger.is_none())
            .map(|in_doubt| in_doubt.amount)
    }

    /// The most that tasks of other holders may use.
    pub fn granted_to_others(&self) -> Amount {
        self.ledger
            .as_ref()
            .map(|ledger| ledger.granted_to_others(&self.id))
            .unwrap_or_default()
    }

    /// Returns the next change of the record, if one is due and no write is in flight. `now` is in seconds.
    pub fn propose(&mut self, now: f64, demand: &Demand) -> Option<Proposal> {
        if self.writing.is_some() {
            return None;
        }
        let ledger = self.next_ledger(now, demand)?;
        let proposal = Proposal {
            expected_version: self.version,
            ledger,
        };
        self.mark_in_doubt(&proposal);
        self.writing = Some(proposal.clone());
        Some(proposal)
    }

    /// Records the outcome of the write in flight.
    pub fn record_outcome(&mut self, outcome: WriteOutcome) {
        let Some(proposal) = self.writing.take() else {
            return;
        };
        match outcome {
            WriteOutcome::Committed(version) => self.observe_record(version, Some(proposal.ledger)),
            // A write that was not executed stays in doubt as well: an earlier write that expects the same
            // version may still be executed, and both are counted with one amount.
            WriteOutcome::NotExecuted | WriteOutcome::Unknown => {}
        }
    }

    /// Returns the last change of a holder whose team another controller now owns. It reduces the grant to
    /// `still_used`, the capacity of tasks that may still be running. `None` if nothing changes.
    pub fn propose_release(&self, still_used: Amount) -> Option<Proposal> {
        let ledger = self.ledger.as_ref()?;
        let still_used = self.limit.limited_part(&still_used);
        let next = ledger.release_grant(&self.id, still_used).ok()?;
        (next != *ledger).then_some(Proposal {
            expected_version: self.version,
            ledger: next,
        })
    }

    /// The amount that `ledger` grants to this holder.
    fn own_amount_in(&self, ledger: &TeamLedger) -> Amount {
        ledger
            .grant(&self.id)
            .map_or(Amount::ZERO, |grant| grant.amount)
    }

    /// Counts a requested write as in doubt until a newer version of the record is known.
    fn mark_in_doubt(&mut self, proposal: &Proposal) {
        let granted = self.own_amount_in(&proposal.ledger);
        let expected_version = proposal.expected_version;
        let earlier = self
            .in_doubt
            .filter(|in_doubt| in_doubt.expected_version == expected_version);
        let amount = earlier.map_or(granted, |earlier| earlier.amount.min(&granted));
        self.in_doubt = Some(WritesInDoubt {
            expected_version,
            amount,
        });
    }

    /// The record after the next change; `None` if no change is due.
    fn next_ledger(&mut self, now: f64, demand: &Demand) -> Option<TeamLedger> {
        let Some(ledger) = self.ledger.clone() else {
            return self.first_ledger(demand);
        };
        if let Some(next) = self.with_grants_taken_over(&ledger, demand) {
            return Some(next);
        }
        let needed = self.requestable_amount(&ledger, demand);
        if ledger.grant(&self.id).is_none() {
            let desired = needed.saturating_add(&self.headroom_policy.headroom_amount(&self.limit));
            return Some(self.with_resized_grant(&ledger.add_holder(&self.id), desired, needed));
        }
        let desired = self.target_amount(now, &ledger, needed)?;
        let next = self.with_resized_grant(&ledger, desired, needed);
        (next != ledger).then_some(next)
    }

    /// Creates the first record. Only a holder that knows all running tasks of the team may create it.
    fn first_ledger(&self, demand: &Demand) -> Option<TeamLedger> {
        let knows_all_tasks = demand.ended_holders == EndedHolders::AllOthers;
        knows_all_tasks.then(|| TeamLedger::create(&self.id, self.first_grant_amount(demand)))
    }

    /// The amount that this holder may request. It is smaller while other holders lack capacity.
    fn requestable_amount(&self, ledger: &TeamLedger, demand: &Demand) -> Amount {
        let waiting = if ledger.must_yield(&self.id) {
            Amount::ZERO
        } else if ledger.wanted_by_others(&self.id).is_zero() {
            demand.waiting
        } else {
            demand.first_waiting
        };
        self.limit
            .limited_part(&demand.used.saturating_add(&waiting))
    }

    /// The record after this holder took over the grants of ended holders; `None` if those have no grants.
    fn with_grants_taken_over(&self, ledger: &TeamLedger, demand: &Demand) -> Option<TeamLedger> {
        let inherited = self.limit.limited_part(&demand.inherited);
        match &demand.ended_holders {
            EndedHolders::None => None,
            EndedHolders::Listed(former) => {
                let have_grants = former.iter().any(|former| ledger.grant(former).is_some());
                let take_over = || {
                    let joined = ledger.add_holder(&self.id);
                    joined.take_over_grants(&self.id, former, inherited).ok()
                };
                have_grants.then(take_over)?
            }
            EndedHolders::AllOthers => {
                let have_grants = !ledger.granted_to_others(&self.id).is_zero();
                let take_over = || {
                    ledger
                        .add_holder(&self.id)
                        .take_over_all_grants(&self.id, inherited)
                        .ok()
                };
                have_grants.then(take_over)?
            }
        }
    }

    /// The grant in a first record: all running tasks, and within the limit also waiting tasks and headroom.
    fn first_grant_amount(&self, demand: &Demand) -> Amount {
        let running = self
            .limit
            .limited_part(&demand.used.saturating_add(&demand.inherited));
        let waiting = self.limit.limited_part(&demand.waiting);
        let headroom = self.headroom_policy.headroom_amount(&self.limit);
        let desired = running.saturating_add(&waiting).saturating_add(&headroom);
        running.max(&self.limit.amount().min(&desired))
    }

    /// The amount to which the grant should change; `None` if nothing is to be written now.
    fn target_amount(&mut self, now: f64, ledger: &TeamLedger, needed: Amount) -> Option<Amount> {
        let grant = ledger.grant(&self.id)?;
        let others_lack_capacity = !ledger.wanted_by_others(&self.id).is_zero();
        let target = self.headroom_policy.grant_target(
            &self.limit,
            &grant.amount,
            &needed,
            others_lack_capacity,
        );
        let GrantTarget::ShrinkLater(smaller) = target else {
            self.surplus_since = None;
            return match target {
                GrantTarget::Grow(amount) | GrantTarget::ShrinkNow(amount) => Some(amount),
                // Requesting the same amount again withdraws a recall that has been met.
                _ => (!grant.wanted.is_zero()).then_some(grant.amount),
            };
        };
        let since = *self.surplus_since.get_or_insert(now);
        let is_due = now - since >= self.headroom_policy.surplus_delay_s;
        if !is_due {
            return None;
        }
        self.surplus_since = None;
        Some(smaller)
    }

    /// Grants as much of `desired` as is available, and recalls the part of `needed` that is then lacking.
    fn with_resized_grant(
        &self,
        ledger: &TeamLedger,
        desired: Amount,
        needed: Amount,
    ) -> TeamLedger {
        let grant = ledger.grant(&self.id);
        let held = grant.map_or(Amount::ZERO, |grant| grant.amount);
        let recalled = grant.map_or(Amount::ZERO, |grant| grant.wanted);
        // A lowered limit does not reduce an existing grant.
        let amount = desired.min(&ledger.available(&self.id, &self.limit).max(&held));
        let lacking = needed.saturating_sub(&amount);
        // The recall does not shrink while capacity is lacking. That avoids further writes.
        let lacking = if lacking.is_zero() {
            lacking
        } else {
            lacking.max(&recalled)
        };
        ledger
            .resize_grant(&self.id, amount, &self.limit)
            .and_then(|resized| resized.set_recall(&self.id, lacking))
            .unwrap_or_else(|_| ledger.clone())
    }
}
