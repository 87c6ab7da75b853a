//! One controller's side of a team's ledger: what it may use at this moment, and which change of
//! the record it asks for next.
//!
//! A grant grows only once the store has confirmed it, and shrinks from the moment on at which that
//! is asked for: an answer that is lost, or a write that is carried out late, leaves the holder with
//! less than the record says and never with more.

use crate::amount::{Amount, Limit};
use crate::headroom::{Headroom, Target};
use crate::record::{HolderId, Refusal, TeamLedger};

/// Holders of whom there is evidence that nothing can be started under their grants any more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Ended {
    /// There is no such evidence.
    #[default]
    Nobody,
    /// These.
    These(Vec<HolderId>),
    /// Everybody but the holder itself.
    AllOthers,
}

/// What a holder needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// What its own grant covers: everything that it started and that may be running, starts under
    /// way among it, and what it has inherited before.
    pub used: Amount,
    /// What waits beyond that and could be started at once if it were granted.
    pub waiting: Amount,
    /// Of that, what is to be started first.
    pub next: Amount,
    /// Whose grants are to pass to this holder.
    pub ended: Ended,
    /// What may still run of what those started.
    pub inherited: Amount,
}

/// A change of the record to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The version that the record must have; 0 if there is none.
    pub guard: u64,
    /// The next record.
    pub ledger: TeamLedger,
}

/// What became of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record now has this version.
    Committed(u64),
    /// It was not and never will be carried out.
    NotExecuted,
    /// It may have been carried out, or may be later.
    Unknown,
}

/// A write of which it is not known whether it was carried out.
#[derive(Clone, Copy, Debug)]
struct InDoubt {
    guard: u64,
    /// The holder's own grant in it.
    amount: Amount,
}

/// A controller that may start tasks of a team.
#[derive(Clone, Debug)]
pub struct Holder {
    id: HolderId,
    limit: Limit,
    headroom: Headroom,
    version: u64,
    ledger: Option<TeamLedger>,
    /// The least that the writes with an unknown outcome leave, all guarded by the same version.
    in_doubt: Option<InDoubt>,
    /// The write under way.
    writing: Option<Proposal>,
    surplus_since: Option<f64>,
}

impl Holder {
    /// A holder that knows nothing of the record yet.
    pub fn new(id: HolderId, limit: Limit, headroom: Headroom) -> Self {
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

    /// Who it is.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Takes up the record as the store has it; `version` is 0 if there is none. Records older than
    /// what is known are passed over.
    pub fn observe(&mut self, version: u64, ledger: Option<TeamLedger>) {
        if version != 0 && version <= self.version {
            return;
        }
        self.version = version;
        self.ledger = ledger;
        // A write guarded by an earlier version can't be carried out any more.
        self.in_doubt.take_if(|in_doubt| in_doubt.guard != version);
    }

    /// The record as it is known.
    pub fn ledger(&self) -> Option<&TeamLedger> {
        self.ledger.as_ref()
    }

    /// What may be running at most under this holder's grant.
    pub fn grant(&self) -> Amount {
        let stored = self
            .ledger
            .as_ref()
            .and_then(|ledger| ledger.grant(&self.id));
        let stored = stored.map_or(Amount::ZERO, |grant| grant.amount);
        match &self.in_doubt {
            Some(in_doubt) => stored.min(&in_doubt.amount),
            None => stored,
        }
    }

    /// What a record that this holder asked to begin would cover at least. Until it is known whether
    /// that was carried out, no more may be started than that.
    pub fn beginning(&self) -> Option<Amount> {
        self.in_doubt
            .filter(|_| self.ledger.is_none())
            .map(|in_doubt| in_doubt.amount)
    }

    /// What may be running at most that others started.
    pub fn outstanding(&self) -> Amount {
        let of = |ledger: &TeamLedger| ledger.outstanding(&self.id);
        self.ledger.as_ref().map(of).unwrap_or_default()
    }

    /// The next change to be written, if one is due and none is under way.
    pub fn propose(&mut self, now: f64, demand: &Demand) -> Option<Proposal> {
        if self.writing.is_some() {
            return None;
        }
        let ledger = self.next_ledger(now, demand)?;
        let proposal = Proposal {
            guard: self.version,
            ledger,
        };
        self.count_as_in_doubt(&proposal);
        self.writing = Some(proposal.clone());
        Some(proposal)
    }

    /// What became of the proposal under way.
    pub fn answered(&mut self, outcome: Outcome) {
        let Some(proposal) = self.writing.take() else {
            return;
        };
        match outcome {
            Outcome::Committed(version) => self.observe(version, Some(proposal.ledger)),
            // It may have stood beside an earlier one in doubt, which is then still counted.
            Outcome::NotExecuted | Outcome::Unknown => {}
        }
    }

    /// The last change, as the holder gives the team away: only what may still run stays granted.
    pub fn release(&self, still_used: Amount) -> Option<Proposal> {
        let ledger = self.ledger.as_ref()?;
        let still_used = self.limit.limited(&still_used);
        let next = ledger.release(&self.id, still_used).ok()?;
        (next != *ledger).then_some(Proposal {
            guard: self.version,
            ledger: next,
        })
    }

    fn count_as_in_doubt(&mut self, proposal: &Proposal) {
        let granted = proposal
            .ledger
            .grant(&self.id)
            .map_or(Amount::ZERO, |grant| grant.amount);
        let before = self
            .in_doubt
            .filter(|in_doubt| in_doubt.guard == proposal.guard);
        let amount = before.map_or(granted, |before| before.amount.min(&granted));
        self.in_doubt = Some(InDoubt {
            guard: proposal.guard,
            amount,
        });
    }

    fn next_ledger(&mut self, now: f64, demand: &Demand) -> Option<TeamLedger> {
        let Some(ledger) = self.ledger.clone() else {
            // Without a record only one who knows all that runs may begin it.
            let begins = demand.ended == Ended::AllOthers;
            return begins.then(|| TeamLedger::begin(&self.id, self.first_amount(demand)));
        };
        if let Some(absorbed) = self.absorbed(&ledger, demand) {
            return Some(absorbed);
        }
        let needed = self.needed(&ledger, demand);
        if ledger.grant(&self.id).is_none() {
            let headroom = self.limit.amount().part(self.headroom.part_of_limit);
            return Some(self.resized(&ledger.join(&self.id), needed.plus(&headroom), needed));
        }
        let wanted = self.target(now, &ledger, needed)?;
        let next = self.resized(&ledger, wanted, needed);
        (next != ledger).then_some(next)
    }

    /// What this holder may ask for, beside what others lack.
    fn needed(&self, ledger: &TeamLedger, demand: &Demand) -> Amount {
        let waiting = if ledger.yields(&self.id) {
            Amount::ZERO
        } else if ledger.wanted_by_others(&self.id).is_zero() {
            demand.waiting
        } else {
            demand.next
        };
        self.limit.limited(&demand.used.plus(&waiting))
    }

    /// The record with the grants of those who have ended in this holder's; None if there are none.
    fn absorbed(&self, ledger: &TeamLedger, demand: &Demand) -> Option<TeamLedger> {
        let inherited = self.limit.limited(&demand.inherited);
        match &demand.ended {
            Ended::Nobody => None,
            Ended::These(former) => {
                let named = former.iter().any(|former| ledger.grant(former).is_some());
                let absorb = || {
                    ledger
                        .join(&self.id)
                        .absorb(&self.id, former, inherited)
                        .ok()
                };
                named.then(absorb)?
            }
            Ended::AllOthers => {
                let others = !ledger.outstanding(&self.id).is_zero();
                let absorb = || ledger.join(&self.id).absorb_all(&self.id, inherited).ok();
                others.then(absorb)?
            }
        }
    }

    /// What a record begins with: all that runs, and room for more within the limit.
    fn first_amount(&self, demand: &Demand) -> Amount {
        let running = self.limit.limited(&demand.used.plus(&demand.inherited));
        let waiting = self.limit.limited(&demand.waiting);
        let headroom = self.limit.amount().part(self.headroom.part_of_limit);
        running.max(
            &self
                .limit
                .amount()
                .min(&running.plus(&waiting).plus(&headroom)),
        )
    }

    /// What the grant should become; None if nothing is to be written now.
    fn target(&mut self, now: f64, ledger: &TeamLedger, needed: Amount) -> Option<Amount> {
        let grant = ledger.grant(&self.id)?;
        let others_lack = !ledger.wanted_by_others(&self.id).is_zero();
        let target = self
            .headroom
            .target(&self.limit, &grant.amount, &needed, others_lack);
        let Target::ShrinkLater(less) = target else {
            self.surplus_since = None;
            return match target {
                Target::Grow(amount) | Target::ShrinkNow(amount) => Some(amount),
                // A recall that was met is taken back.
                _ => (!grant.wanted.is_zero()).then_some(grant.amount),
            };
        };
        let since = *self.surplus_since.get_or_insert(now);
        let due = now - since >= self.headroom.patience_s;
        due.then(|| self.surplus_since.take()).map(|_| less)
    }

    /// The record with as much of `wanted` granted as there is, and a recall of what starts lack.
    fn resized(&self, ledger: &TeamLedger, wanted: Amount, needed: Amount) -> TeamLedger {
        let grant = ledger.grant(&self.id);
        let held = grant.map_or(Amount::ZERO, |grant| grant.amount);
        let recalled = grant.map_or(Amount::ZERO, |grant| grant.wanted);
        // A limit that was lowered takes nothing away from what runs.
        let amount = wanted.min(&ledger.available(&self.id, &self.limit).max(&held));
        let lacking = needed.less(&amount);
        // One recall is enough for as long as something is lacking.
        let lacking = if lacking.is_zero() {
            lacking
        } else {
            lacking.max(&recalled)
        };
        let resized = ledger.resize(&self.id, amount, &self.limit);
        let next = resized.and_then(|resized| resized.recall(&self.id, lacking));
        next.unwrap_or_else(|_: Refusal| ledger.clone())
    }
}
