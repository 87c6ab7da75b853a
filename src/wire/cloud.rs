//! The cloud's messages: machine types, rentals and the list of rented machines.
//!
//! Protocol words: `breeds`, `breed` (machine types, machine type), `label` (name of a type), `cores`
//! (CPUs), `cards` (GPUs), `memGb`, `cacheGb`, `pullGbPerS` (rate of image fetches), `rate`,
//! `marketPrice` (on-demand and spot price), `bootS`, `yards`, `yard` (zones, zone), `hire` (id of a
//! rental request), `loaners` (spot instances), `howMany`, `drumheads` (machines), `nameId` (machine
//! id), `stance` (state of a machine), `heldS` (age).

use crate::ids::{MachineId, MachineTypeName, Zone};
use serde::{Deserialize, Deserializer, Serialize};

/// The machine types that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// One entry per type.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "label")]
    pub name: MachineTypeName,
    /// Number of CPUs.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// Number of GPUs; 0 if the cloud leaves it out or sends null.
    #[serde(rename = "cards", default, deserialize_with = "zero_if_null")]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Size of the image cache in GB.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// On-demand price, in the cloud's unit.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Price as a spot instance, in the same unit.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    /// Seconds from the rental to the first heartbeat.
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    /// The zones in which the type is offered.
    #[serde(rename = "yards", default)]
    pub zones: Vec<Zone>,
}

/// A request to rent machines of one type in one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Idempotency key: the cloud executes requests with the same one once.
    #[serde(rename = "hire")]
    pub request: String,
    /// The machine type.
    #[serde(rename = "breed")]
    pub type_name: MachineTypeName,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// Whether to rent spot instances.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Machine ids: the result of a rental, or the machines to return.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineIds {
    /// The machines.
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
    /// The machine.
    #[serde(rename = "nameId")]
    pub machine: MachineId,
    /// Address of its worker, once it has one.
    #[serde(default)]
    pub address: Option<String>,
    /// Its type.
    #[serde(rename = "breed")]
    pub type_name: MachineTypeName,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// Whether it is a spot instance.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "stance")]
    pub state: MachineState,
    /// Seconds since it was rented.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// The state of a rented machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum MachineState {
    /// It has not booted yet.
    #[serde(rename = "starting")]
    Booting,
    /// It has booted.
    #[serde(rename = "running")]
    Running,
    /// It failed and does not recover.
    #[serde(rename = "failed")]
    Failed,
}

/// The cloud may leave out the number of GPUs of a type without any, or send null.
fn zero_if_null<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}
