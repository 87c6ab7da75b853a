//! The cloud's stand-in.

use ochredrum::core::effects::{CloudCall, CloudReply};
use ochredrum::ids::{MachineId, TypeName, Zone};
use ochredrum::wire::{
    ListedMachine, MachineList, MachineNames, MachineState, MachineType, MachineTypes,
};
use std::collections::BTreeMap;

const LIST_LAG: f64 = 5.0;
const CAPACITY: usize = 24;

pub struct Owned {
    pub type_name: TypeName,
    pub zone: Zone,
    pub spot: bool,
    created: f64,
    running: Option<f64>,
    unlisted_from: Option<f64>,
}

pub struct Cloud {
    /// Of every fleet there are machines with GPUs; of some others as well.
    types: Vec<MachineType>,
    machines: BTreeMap<MachineId, Owned>,
    rentals: BTreeMap<String, MachineNames>,
    deleted: Vec<MachineId>,
    created: usize,
}

impl Default for Cloud {
    fn default() -> Self {
        Self {
            types: vec![type_with_gpus()],
            machines: BTreeMap::new(),
            rentals: BTreeMap::new(),
            deleted: Vec::new(),
            created: 0,
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

/// Small, cheap and slow to fetch.
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
    /// From here on there is a second kind, without GPUs.
    pub fn offer_without_gpus(&mut self) {
        self.types.push(type_without_gpus());
    }

    /// What kind of machine this is.
    pub fn type_of(&self, machine: &MachineId) -> MachineType {
        let name = self.machines.get(machine).map(|owned| &owned.type_name);
        let machine_type = self
            .types
            .iter()
            .find(|machine_type| Some(&machine_type.name) == name);
        machine_type.cloned().unwrap_or_else(type_with_gpus)
    }

    pub fn count(&self) -> usize {
        self.created
    }

    pub fn get(&self, machine: &MachineId) -> Option<&Owned> {
        self.machines.get(machine)
    }

    pub fn create(&mut self, type_name: &str, zone: &str, spot: bool, created: f64) -> MachineId {
        self.created += 1;
        let machine = MachineId::from(format!("m-{:06}", self.created));
        let owned = Owned {
            type_name: type_name.into(),
            zone: zone.into(),
            spot,
            created,
            running: None,
            unlisted_from: None,
        };
        self.machines.insert(machine.clone(), owned);
        machine
    }

    pub fn up(&mut self, machine: &MachineId, now: f64) {
        if let Some(owned) = self.machines.get_mut(machine) {
            owned.running = Some(now);
        }
    }

    pub fn died(&mut self, machine: &MachineId, unlisted_from: f64) {
        if let Some(owned) = self.machines.get_mut(machine) {
            owned.unlisted_from = Some(unlisted_from);
        }
    }

    pub fn take_deleted(&mut self) -> Vec<MachineId> {
        std::mem::take(&mut self.deleted)
    }

    pub fn call(&mut self, now: f64, call: CloudCall) -> (CloudReply, Vec<MachineId>) {
        let reply = match call {
            CloudCall::Types => CloudReply::Types(MachineTypes {
                types: self.types.clone(),
            }),
            CloudCall::List { .. } => {
                let as_of = now - LIST_LAG;
                let listed = |o: &&Owned| {
                    o.created <= as_of && o.unlisted_from.is_none_or(|from| from > as_of)
                };
                let machines = self.machines.iter().filter(|(_, o)| listed(o));
                let machines = machines
                    .map(|(id, o)| ListedMachine {
                        machine: id.clone(),
                        address: Some(id.to_string()),
                        type_name: o.type_name.clone(),
                        zone: o.zone.clone(),
                        spot: o.spot,
                        state: match o.running {
                            Some(since) if since <= as_of => MachineState::Running,
                            _ => MachineState::Booting,
                        },
                        age_s: as_of - o.created,
                    })
                    .collect();
                CloudReply::List(MachineList {
                    machines,
                    more: false,
                })
            }
            CloudCall::Rent(rental) => {
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
                let names = MachineNames {
                    machines: machines.clone(),
                };
                self.rentals.insert(rental.request, names.clone());
                return (CloudReply::Rented(names), machines);
            }
            CloudCall::Release(names) => {
                for machine in names.machines {
                    if self.machines.remove(&machine).is_some() {
                        self.deleted.push(machine);
                    }
                }
                CloudReply::Released
            }
        };
        (reply, Vec::new())
    }
}
