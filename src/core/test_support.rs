//! What several unit tests of the core begin with.

use super::io::Io;
use super::owner::{Hints, Owner};
use super::part_map::{MapChunk, Owner as MapOwner, Share};
use super::view::{JobRecord, MAP_PREFIX, View, put};
use crate::config::Config;
use crate::ids::{Term, Version};
use crate::wire::{JobSpec, JobStatus, MachineType, Report};
use rand::SeedableRng;
use std::rc::Rc;

pub fn record(done: bool) -> JobRecord {
    let spec = serde_json::json!({"c": "chat", "t": "red", "k": "standing", "p": "critical",
        "n": 2, "cpu": 1.0, "gpu": 1.0, "mem": 1.0, "img": "i", "igb": 1.0, "est": 0.0,
        "ck": 0.0, "sv": 0.0});
    let mut ranges = super::ranges::Ranges::default();
    if done {
        ranges.insert(1);
    }
    let spec = Some(Rc::new(serde_json::from_value(spec).unwrap()));
    JobRecord {
        stance: JobStatus::Pending,
        accepted_ms: 0,
        tasks: 2,
        done: ranges,
        spec,
        ended_ms: None,
        leaving: None,
    }
}

pub fn config() -> Config {
    Config::parse(crate::config::TEST_SETTINGS).unwrap()
}

pub fn share() -> (Owner, Io, View) {
    share_with(config())
}

pub fn share_with(config: Config) -> (Owner, Io, View) {
    let config = Rc::new(config);
    let rng = rand::rngs::StdRng::seed_from_u64(1);
    let io = Io::new(rng, &config);
    (Owner::new(&config, 1, Hints::new(), 0.0), io, View::new(&config))
}

pub fn map(view: &mut View, version: Version, shares: Vec<Share>) {
    view.apply_write(
        &put(&format!("{MAP_PREFIX}m0000"), &MapChunk { shares, ..MapChunk::default() }, None),
        version,
    );
}

pub fn owner(node: &str) -> MapOwner {
    MapOwner { node: node.into(), incarnation: 1, term: Term(9), former: None, prior: None }
}

/// A service of two tasks.
pub fn service(class: &str, image: &str, image_gb: f64) -> Rc<JobSpec> {
    let mut job = serde_json::json!({"c": class, "t": "red", "k": "standing", "p": "critical",
        "n": 2, "cpu": 4.0, "gpu": 2.0, "mem": 16.0, "est": 0.0, "ck": 0.0, "sv": 0.0});
    job["img"] = image.into();
    job["igb"] = image_gb.into();
    Rc::new(serde_json::from_value(job).unwrap())
}

pub fn types() -> Vec<MachineType> {
    let of = |name: &str, gpus: f64, price: f64| MachineType {
        name: name.into(),
        cpus: 64.0,
        gpus,
        memory_gb: 256.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 4.0,
        price,
        spot_price: price / 3.0,
        boot_s: 10.0,
        zones: vec!["a".into(), "b".into()],
    };
    vec![of("g4", 4.0, 10.0), of("g8", 8.0, 16.0)]
}

/// The report of a machine of kind `g8` on which nothing runs.
pub fn report(machine: &str, session: u64, seq: u64, token: Term) -> Report {
    Report {
        machine: machine.into(),
        address: machine.into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: false,
        session,
        seq,
        token,
        notice_s: None,
        tasks: Vec::new(),
    }
}
