//! A simulated cloud: machine types, rented machines, and a listing that shows an earlier state.

use ochredrum::core::effects::{CloudCall, CloudReply};
use ochredrum::ids::{MachineId, MachineTypeName, Zone};
use ochredrum::wire::{
    ListedMachine, MachineIds, MachineList, MachineState, MachineType, MachineTypes, Rental,
};
use std::collections::BTreeMap;

/// Age of the state that a listing shows, in seconds.
const LIST_LAG_S: f64 = 5.0;
/// Number of machines at which the cloud refuses to rent more.
const CAPACITY: usize = 24;

/// A machine that has been rented.
pub struct RentedMachine {
    /// The name of its machine type.
    pub type_name: MachineTypeName,
    /// The zone in which it runs.
    pub zone: Zone,
    /// Whether it is a spot instance.
    pub spot: bool,
    created_at: f64,
    /// When it finished booting; `None` before.
    running_since: Option<f64>,
    /// When it disappears from the listing; `None` unless it has died.
    unlisted_from: Option<f64>,
}

/// The machines and types of the cloud.
pub struct Cloud {
    /// The offered types. The type with GPUs is always offered, the one without only in some simulations.
    types: Vec<MachineType>,
    machines: BTreeMap<MachineId, RentedMachine>,
    /// The machines of each rental by its request id, so that a repeated request rents no more.
    rentals: BTreeMap<String, MachineIds>,
    released: Vec<MachineId>,
    /// Number of machines that were ever created.
    created_count: usize,
}

impl Default for Cloud {
    fn default() -> Self {
        Self {
            types: vec![type_with_gpus()],
            machines: BTreeMap::new(),
            rentals: BTreeMap::new(),
            released: Vec::new(),
            created_count: 0,
        }
    }
}

fn type_with_gpus() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 64.0,
        gpus: 8.0,
        memory_gb: 256.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 4.0,
        price: 12.0,
        spot_price: 4.0,
        boot_s: 10.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// A small, cheap type that fetches images slowly.
fn type_without_gpus() -> MachineType {
    MachineType {
        name: "c16".into(),
        cpus: 16.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 80.0,
        fetch_gb_per_s: 1.0,
        price: 0.5,
        spot_price: 0.2,
        ..type_with_gpus()
    }
}

impl Cloud {
    /// Adds the machine type without GPUs to those on offer.
    pub fn offer_without_gpus(&mut self) {
        self.types.push(type_without_gpus());
    }

    /// The type of a machine, or the type with GPUs if the machine is unknown.
    pub fn type_of(&self, machine: &MachineId) -> MachineType {
        let name = self.machines.get(machine).map(|rented| &rented.type_name);
        let machine_type = self
            .types
            .iter()
            .find(|machine_type| Some(&machine_type.name) == name);
        machine_type.cloned().unwrap_or_else(type_with_gpus)
    }

    /// The number of machines that were ever created.
    pub fn created_count(&self) -> usize {
        self.created_count
    }

    /// A machine, unless it is unknown or was released.
    pub fn get(&self, machine: &MachineId) -> Option<&RentedMachine> {
        self.machines.get(machine)
    }

    /// Creates a machine that begins to boot at the time `created_at`.
    pub fn create(
        &mut self,
        type_name: &str,
        zone: &str,
        spot: bool,
        created_at: f64,
    ) -> MachineId {
        self.created_count += 1;
        let machine = MachineId::from(format!("m-{:06}", self.created_count));
        let rented = RentedMachine {
            type_name: type_name.into(),
            zone: zone.into(),
            spot,
            created_at,
            running_since: None,
            unlisted_from: None,
        };
        self.machines.insert(machine.clone(), rented);
        machine
    }

    /// Records that a machine has booted.
    pub fn mark_running(&mut self, machine: &MachineId, now: f64) {
        if let Some(rented) = self.machines.get_mut(machine) {
            rented.running_since = Some(now);
        }
    }

    /// Removes a machine that died from the listing, from the given time on.
    pub fn stop_listing_from(&mut self, machine: &MachineId, unlisted_from: f64) {
        if let Some(rented) = self.machines.get_mut(machine) {
            rented.unlisted_from = Some(unlisted_from);
        }
    }

    /// Returns the machines that were released since the last call.
    pub fn take_released(&mut self) -> Vec<MachineId> {
        std::mem::take(&mut self.released)
    }

    /// Handles a request. Returns its reply and the machines that begin to boot.
    pub fn call(&mut self, now: f64, call: CloudCall) -> (CloudReply, Vec<MachineId>) {
        let reply = match call {
            CloudCall::Types => CloudReply::Types(MachineTypes {
                types: self.types.clone(),
            }),
            CloudCall::List { .. } => CloudReply::List(self.list(now - LIST_LAG_S)),
            CloudCall::Rent(rental) => return self.rent(now, rental),
            CloudCall::Release(names) => {
                self.release(names);
                CloudReply::Released
            }
        };
        (reply, Vec::new())
    }

    /// The listing of the machines as they were at the time `as_of`.
    fn list(&self, as_of: f64) -> MachineList {
        let is_listed = |rented: &&RentedMachine| {
            rented.created_at <= as_of && rented.unlisted_from.is_none_or(|from| from > as_of)
        };
        let listed = self.machines.iter().filter(|(_, rented)| is_listed(rented));
        let machines = listed
            .map(|(id, rented)| ListedMachine {
                machine: id.clone(),
                address: Some(id.to_string()),
                type_name: rented.type_name.clone(),
                zone: rented.zone.clone(),
                spot: rented.spot,
                state: match rented.running_since {
                    Some(since) if since <= as_of => MachineState::Running,
                    _ => MachineState::Booting,
                },
                age_s: as_of - rented.created_at,
            })
            .collect();
        MachineList {
            machines,
            more: false,
        }
    }

    /// Rents machines. A repeated request receives the first reply again and rents no more machines.
    fn rent(&mut self, now: f64, rental: Rental) -> (CloudReply, Vec<MachineId>) {
        if let Some(names) = self.rentals.get(&rental.request) {
            return (CloudReply::Rented(names.clone()), Vec::new());
        }
        if self.machines.len() >= CAPACITY {
            return (CloudReply::NoCapacity, Vec::new());
        }
        let machines: Vec<MachineId> = (0..rental.count)
            .map(|_| {
                let type_name = rental.type_name.as_str();
                self.create(type_name, rental.zone.as_str(), rental.spot, now)
            })
            .collect();
        let names = MachineIds {
            machines: machines.clone(),
        };
        self.rentals.insert(rental.request, names.clone());
        (CloudReply::Rented(names), machines)
    }

    fn release(&mut self, names: MachineIds) {
        for machine in names.machines {
            if self.machines.remove(&machine).is_some() {
                self.released.push(machine);
            }
        }
    }
}
