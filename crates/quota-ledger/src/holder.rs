//! One controller's side of a team's ledger: what it may use now, and which change of the record it requests
//! next.
//!
//! A grant grows only once the store has confirmed the write, and shrinks as soon as the write is requested.
//! If an answer is lost or a write is executed late, the holder counts with less than the record says, never
//! with more.

use crate::amount::{Amount, Limit};
use crate::headroom::{GrantTarget, HeadroomPolicy};
use crate::record::{HolderId, TeamLedger};

/// Former holders that provably can't start anything under their grants any more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum EndedHolders {
    /// None is known.
    #[default]
    None,
    /// The listed ones.
    Listed(Vec<HolderId>),
    /// All holders except the one that asks.
    AllOthers,
}

/// What a holder needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// What the holder's own grant must cover: everything that it started and that may be running, starts in
    /// flight included, and what it has inherited before.
    pub used: Amount,
    /// What waits in addition and could be started at once if it were granted.
    pub waiting: Amount,
    /// The part of `waiting` that is to be started first.
    pub first_waiting: Amount,
    /// Holders whose grants are to be transferred to this one.
    pub ended_holders: EndedHolders,
    /// What may still run of the tasks that those started.
    pub inherited: Amount,
}

/// A change of the record to be written as a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The version that the stored record must have; 0 if it must not exist.
    pub expected_version: u64,
    /// The new record.
    pub ledger: TeamLedger,
}

/// The outcome of writing a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was written; the record now has this version.
    Committed(u64),
    /// It was not written and never will be.
    NotExecuted,
    /// It may have been written, or may be later.
    Unknown,
}

/// Writes of which it is not known whether they were executed, all with the same expected version.
#[derive(Clone, Copy, Debug)]
struct InDoubt {
    expected_version: u64,
    /// The smallest of the holder's own grants in these writes.
    amount: Amount,
}

/// A controller that may start tasks of a team.
#[derive(Clone, Debug)]
pub struct Holder {
    id: HolderId,
    limit: Limit,
    headroom: HeadroomPolicy,
    /// Version of the record as it is known; 0 if there is none.
    version: u64,
    ledger: Option<TeamLedger>,
    in_doubt: Option<InDoubt>,
    /// The write in flight.
    writing: Option<Proposal>,
    /// Since when there has been a surplus.
    surplus_since: Option<f64>,
}

impl Holder {
    /// A holder that has not read the record yet.
    pub fn new(id: HolderId, limit: Limit, headroom: HeadroomPolicy) -> Self {
        Self {
            id,
            limit,
            headroom,
            version: 0,
            ledger: None,
            in_doubt: None,
            writing: None,
            surplus_since: None,
        }
    }

    /// Its id.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Records the stored record and its version, or `None` and 0 if there is none. Versions older than the
    /// known one are ignored.
    pub fn observe_record(&mut self, version: u64, ledger: Option<TeamLedger>) {
        if version != 0 && version <= self.version {
            return;
        }
        self.version = version;
        self.ledger = ledger;
        // A write that expects an earlier version can't be executed any more.
        self.in_doubt
            .take_if(|in_doubt| in_doubt.expected_version != version);
    }

    /// The record as it is known.
    pub fn ledger(&self) -> Option<&TeamLedger> {
        self.ledger.as_ref()
    }

    /// The most that may be running under this holder's grant.
    pub fn usable_grant(&self) -> Amount {
        let stored = self
            .ledger
            .as_ref()
            .map_or(Amount::ZERO, |ledger| self.amount_in(ledger));
        match &self.in_doubt {
            Some(in_doubt) => stored.min(&in_doubt.amount),
            None => stored,
        }
    }

    /// The least that the first record grants if this holder has requested to create it and the outcome is
    /// unknown. Until it is known, no more than that may be started.
    pub fn first_grant_in_doubt(&self) -> Option<Amount> {
        self.in_doubt
            .filter(|_| self.ledger.is_none())
            .map(|in_doubt| in_doubt.amount)
    }

    /// The most that may be running of what other holders started.
    pub fn granted_to_others(&self) -> Amount {
        self.ledger
            .as_ref()
            .map(|ledger| ledger.granted_to_others(&self.id))
            .unwrap_or_default()
    }

    /// The next change to write, if one is due and no write is in flight.
    pub fn propose(&mut self, now: f64, demand: &Demand) -> Option<Proposal> {
        if self.writing.is_some() {
            return None;
        }
        let ledger = self.next_ledger(now, demand)?;
        let proposal = Proposal {
            expected_version: self.version,
            ledger,
        };
        self.count_as_in_doubt(&proposal);
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
            // Also a write that was not executed keeps counting as in doubt: an earlier one that expects the
            // same version may be, and both share one amount.
            WriteOutcome::NotExecuted | WriteOutcome::Unknown => {}
        }
    }

    /// The last change, with which the holder gives the team to another controller: only `still_used`, what
    /// may still run, stays granted. `None` if nothing changes.
    pub fn propose_release(&self, still_used: Amount) -> Option<Proposal> {
        let ledger = self.ledger.as_ref()?;
        let still_used = self.limit.limited_part(&still_used);
        let next = ledger.release_grant(&self.id, still_used).ok()?;
        (next != *ledger).then_some(Proposal {
            expected_version: self.version,
            ledger: next,
        })
    }

    /// This holder's grant in a record.
    fn amount_in(&self, ledger: &TeamLedger) -> Amount {
        ledger
            .grant(&self.id)
            .map_or(Amount::ZERO, |grant| grant.amount)
    }

    fn count_as_in_doubt(&mut self, proposal: &Proposal) {
        let granted = self.amount_in(&proposal.ledger);
        let expected_version = proposal.expected_version;
        let earlier = self
            .in_doubt
            .filter(|in_doubt| in_doubt.expected_version == expected_version);
        let amount = earlier.map_or(granted, |earlier| earlier.amount.min(&granted));
        self.in_doubt = Some(InDoubt {
            expected_version,
            amount,
        });
    }

    fn next_ledger(&mut self, now: f64, demand: &Demand) -> Option<TeamLedger> {
        let Some(ledger) = self.ledger.clone() else {
            return self.first_ledger(demand);
        };
        if let Some(absorbed) = self.absorbed(&ledger, demand) {
            return Some(absorbed);
        }
        let needed = self.needed(&ledger, demand);
        if ledger.grant(&self.id).is_none() {
            let wanted = needed.plus(&self.headroom.headroom_amount(&self.limit));
            return Some(self.resized(&ledger.add_holder(&self.id), wanted, needed));
        }
        let wanted = self.grant_target(now, &ledger, needed)?;
        let next = self.resized(&ledger, wanted, needed);
        (next != ledger).then_some(next)
    }

    /// A new record. Only a holder that knows everything that runs may create it.
    fn first_ledger(&self, demand: &Demand) -> Option<TeamLedger> {
        let knows_all = demand.ended_holders == EndedHolders::AllOthers;
        knows_all.then(|| TeamLedger::create(&self.id, self.first_amount(demand)))
    }

    /// What this holder may ask for, given what others lack.
    fn needed(&self, ledger: &TeamLedger, demand: &Demand) -> Amount {
        let waiting = if ledger.must_yield(&self.id) {
            Amount::ZERO
        } else if ledger.wanted_by_others(&self.id).is_zero() {
            demand.waiting
        } else {
            demand.first_waiting
        };
        self.limit.limited_part(&demand.used.plus(&waiting))
    }

    /// The record after the grants of ended holders were transferred to this one; `None` if there are none.
    fn absorbed(&self, ledger: &TeamLedger, demand: &Demand) -> Option<TeamLedger> {
        let inherited = self.limit.limited_part(&demand.inherited);
        match &demand.ended_holders {
            EndedHolders::None => None,
            EndedHolders::Listed(former) => {
                let have_grants = former.iter().any(|former| ledger.grant(former).is_some());
                let absorb = || {
                    let joined = ledger.add_holder(&self.id);
                    joined.take_over_grants(&self.id, former, inherited).ok()
                };
                have_grants.then(absorb)?
            }
            EndedHolders::AllOthers => {
                let have_grants = !ledger.granted_to_others(&self.id).is_zero();
                let absorb = || {
                    ledger
                        .add_holder(&self.id)
                        .take_over_all_grants(&self.id, inherited)
                        .ok()
                };
                have_grants.then(absorb)?
            }
        }
    }

    /// The grant in a new record: everything that runs, and room for more within the limit.
    fn first_amount(&self, demand: &Demand) -> Amount {
        let running = self
            .limit
            .limited_part(&demand.used.plus(&demand.inherited));
        let waiting = self.limit.limited_part(&demand.waiting);
        let headroom = self.headroom.headroom_amount(&self.limit);
        let wanted = running.plus(&waiting).plus(&headroom);
        running.max(&self.limit.amount().min(&wanted))
    }

    /// What the grant should become; `None` if nothing is to be written now.
    fn grant_target(&mut self, now: f64, ledger: &TeamLedger, needed: Amount) -> Option<Amount> {
        let grant = ledger.grant(&self.id)?;
        let others_lack = !ledger.wanted_by_others(&self.id).is_zero();
        let target = self
            .headroom
            .grant_target(&self.limit, &grant.amount, &needed, others_lack);
        let GrantTarget::ShrinkLater(smaller) = target else {
            self.surplus_since = None;
            return match target {
                GrantTarget::Grow(amount) | GrantTarget::ShrinkNow(amount) => Some(amount),
                // Writing the same amount again withdraws a recall that has been met.
                _ => (!grant.wanted.is_zero()).then_some(grant.amount),
            };
        };
        let since = *self.surplus_since.get_or_insert(now);
        let is_due = now - since >= self.headroom.surplus_delay_s;
        if !is_due {
            return None;
        }
        self.surplus_since = None;
        Some(smaller)
    }

    /// The record with as much of `wanted` granted as is available, and a recall of what starts lack.
    fn resized(&self, ledger: &TeamLedger, wanted: Amount, needed: Amount) -> TeamLedger {
        let grant = ledger.grant(&self.id);
        let held = grant.map_or(Amount::ZERO, |grant| grant.amount);
        let recalled = grant.map_or(Amount::ZERO, |grant| grant.wanted);
        // A limit that was lowered does not reduce what is held already.
        let amount = wanted.min(&ledger.available(&self.id, &self.limit).max(&held));
        let lacking = needed.minus(&amount);
        // While something is lacking the recall never shrinks, so that it need not be written again.
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
