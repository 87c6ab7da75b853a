//! Machines that have come to this share. Their workers may still wait for an answer of a process that has ended; so they
//! are asked at once what they hold, by a direct message that orders nothing. Its token voids all that was sent
//! under an earlier one, and its answer is a report that shows the token.

use super::catalog::Catalog;
use super::io::Io;
use super::owner::Owner;
use super::part_map::Owners;
use super::placement::Resources;
use super::view::View;
use super::{Core, WorkerReply};
use crate::ids::MachineId;
use crate::wire::{DirectOrders, Report};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where a machine is reached, as its owner told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineContact {
    /// Its address.
    #[serde(rename = "a")]
    pub address: String,
    /// Its session then. One that has risen since is told in the answer to the first message.
    #[serde(rename = "s")]
    pub session: u64,
}

/// Where machines are reached. Only a hint: of one without a contact a report is waited for.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineContacts(BTreeMap<MachineId, MachineContact>);

impl MachineContacts {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes up newer ones.
    pub fn extend(&mut self, newer: Self) {
        self.0.extend(newer.0);
    }

    /// These and newer ones.
    pub fn with(&self, newer: Self) -> Self {
        let mut all = self.clone();
        all.extend(newer);
        all
    }

    /// Drops those of machines that are gone.
    pub fn prune(&mut self, owners: &Owners) {
        self.0
            .retain(|machine, _| owners.machines.contains_key(machine));
    }
}

impl Owner {
    /// Where the machines of this share are reached.
    pub(super) fn contacts(&self) -> MachineContacts {
        let mine = self
            .machines
            .values()
            .filter(|machine| machine.mine && machine.trusted);
        let contact = mine.map(|machine| {
            let (address, session) = (machine.address.clone(), machine.session);
            (machine.id.clone(), MachineContact { address, session })
        });
        MachineContacts(contact.collect())
    }

    /// A machine has told what it holds.
    fn take_answer(&mut self, io: &mut Io, view: &View, catalog: &Catalog, report: &Report) {
        let id = &report.machine;
        let Some(machine) = self.machines.get_mut(id).filter(|machine| machine.mine) else {
            return;
        };
        if report.session <= machine.over() {
            return;
        }
        if machine.total == Resources::default() {
            machine.describe(report, catalog.types());
        }
        // Its session may have begun a moment ago, since the lease of the one before was over: its own lease
        // then lasts longer than what the former owner's last answer tells (rough day 15).
        machine.answered = machine.answered.max(io.now);
        machine.empty = false;
        self.take_direct_report(io, view, id, report);
    }
}

impl Core {
    /// Asks machines that this share has gained what they hold, as many at once as there may be.
    pub(super) fn ask_gained_machines(&mut self) {
        let Some(owner) = self.owner.as_mut() else {
            return;
        };
        if !self.config.features.acts_on_failures() {
            return owner.gained.clear();
        }
        let most = owner.most_direct_orders();
        while self.io.direct_orders() < most
            && let Some(id) = owner.gained.pop_first()
        {
            let machine = owner.machines.get(&id);
            let machine = machine.filter(|machine| machine.mine && !machine.settled());
            let (Some(machine), Some(contact)) = (machine, self.contacts.0.get(&id)) else {
                continue;
            };
            let orders = Vec::new();
            let message = DirectOrders {
                token: machine.token,
                session: contact.session,
                orders,
            };
            self.io.question(&id, &contact.address, message);
        }
    }

    /// A machine that was asked has answered, or not: then its report is waited for.
    pub(super) fn question_answered(&mut self, id: &MachineId, reply: WorkerReply) {
        let Some(owner) = self.owner.as_mut() else {
            return;
        };
        match reply {
            WorkerReply::Executed(report) if report.machine == *id => {
                owner.take_answer(&mut self.io, &self.view, &self.catalog, &report);
            }
            WorkerReply::Fenced(report) if report.machine == *id => {
                // Its session has risen since; asked once more for each that is higher.
                let contact = self.contacts.0.get_mut(id);
                if let Some(contact) = contact.filter(|contact| contact.session < report.session) {
                    contact.session = report.session;
                    owner.gained.insert(id.clone());
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
