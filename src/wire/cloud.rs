//! Messages of the cloud: machine types, rentals and the list of rented machines.
//!
//! Protocol names: `breeds`, `breed` (machine types, machine type), `label` (name of a type), `cores`
//! (CPUs), `cards` (GPUs), `memGb`, `cacheGb`, `pullGbPerS` (rate of image fetches), `rate`,
//! `marketPrice` (on-demand and spot price), `bootS`, `yards`, `yard` (zones, zone), `hire` (id of a
//! rental request), `loaners` (spot instances), `howMany`, `drumheads` (machines), `nameId` (machine
//! id), `stance` (state of a machine), `heldS` (age).

use crate::ids::{MachineId, MachineTypeName, Zone};
use serde::{Deserialize, Deserializer, Serialize};

/// The machine types that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// One entry per machine type, in the order of the cloud's answer.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// Size, price and availability of one machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name by which rentals and machines refer to this type.
    #[serde(rename = "label")]
    pub name: MachineTypeName,
    /// CPUs of one machine.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs of one machine; 0 if the cloud omits the field or sends null.
    #[serde(rename = "cards", default, deserialize_with = "zero_if_null")]
    pub gpus: f64,
    /// Memory of one machine, in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Size of a machine's image cache, in GB.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// On-demand price of one machine, in the cloud's unit.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Price of one spot instance, in the unit of `price`.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    /// Seconds from the rental to the first heartbeat of the machine's worker.
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    /// The zones in which the type is offered.
    #[serde(rename = "yards", default)]
    pub zones: Vec<Zone>,
}

/// A request to rent machines of one type in one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Idempotency key: the cloud executes requests with the same key only once.
    #[serde(rename = "hire")]
    pub request: String,
    /// Type of all machines of this request.
    #[serde(rename = "breed")]
    pub type_name: MachineTypeName,
    /// Zone of all machines of this request.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// Whether to rent spot instances.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines to rent.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Ids of machines: those that a rental produced, or those to release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineIds {
    /// Ids that the cloud assigned.
    #[serde(rename = "drumheads")]
    pub machines: Vec<MachineId>,
}

/// One page of the list of rented machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines of this page.
    #[serde(rename = "drumheads")]
    pub machines: Vec<ListedMachine>,
    /// Whether there is another page.
    #[serde(default)]
    pub more: bool,
}

/// A rented machine, as the cloud lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Id that the cloud assigned.
    #[serde(rename = "nameId")]
    pub machine: MachineId,
    /// Address of the machine's worker; `None` until it has one.
    #[serde(default)]
    pub address: Option<String>,
    /// Name of the machine's type, as in the cloud's list of types.
    #[serde(rename = "breed")]
    pub type_name: MachineTypeName,
    /// Zone in which the machine was rented.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// Whether the machine is a spot instance.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Whether the machine has booted or failed.
    #[serde(rename = "stance")]
    pub state: MachineState,
    /// Seconds since the machine was rented.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// The state of a rented machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum MachineState {
    /// The machine has not booted yet.
    #[serde(rename = "starting")]
    Booting,
    /// The machine has booted.
    #[serde(rename = "running")]
    Running,
    /// The machine failed and does not recover.
    #[serde(rename = "failed")]
    Failed,
}

/// Reads null as 0: the cloud may omit the number of GPUs of a type without GPUs, or send null.
fn zero_if_null<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}
