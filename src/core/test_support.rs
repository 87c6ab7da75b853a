//! Fixtures shared by the unit tests of the core.

use crate::config::Config;
use crate::core::Core;
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::{Pending, RecordWrite};
use crate::core::effects::{Effect, Input, StoreCall, StoreReply};
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::messages::shard_update::ImageHints;
use crate::core::model::time::Time;
use crate::core::records::job_record::JobRecord;
use crate::core::records::keys::{LEADER_KEY, MAP_PREFIX, node_key};
use crate::core::records::process_record::ProcessRecord;
use crate::core::records::shard_map::{ShardEntry, ShardMapChunk, ShardOwner};
use crate::core::records::versioned::put;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::features::Features;
use crate::ids::{ControllerName, FencingToken, Version};
use crate::wire::{Entry, Heartbeat, JobSpec, JobStatus, Listing, MachineType, Transaction, Write};
use rand::SeedableRng;
use std::rc::Rc;

/// Creates the record of a pending service of team `red` with two tasks. Task 1 is done if `task_1_done`.
pub fn record(task_1_done: bool) -> JobRecord {
    let spec = serde_json::json!({"c": "chat", "t": "red", "k": "standing", "p": "critical",
        "n": 2, "cpu": 1.0, "gpu": 1.0, "mem": 1.0, "img": "i", "igb": 1.0, "est": 0.0,
        "ck": 0.0, "sv": 0.0});
    let mut ranges = crate::core::model::ranges::TaskIndexRanges::default();
    if task_1_done {
        ranges.insert(1);
    }
    let spec = Some(Rc::new(serde_json::from_value(spec).unwrap()));
    JobRecord {
        status: JobStatus::Pending,
        accepted_ms: 0,
        tasks: 2,
        done: ranges,
        spec,
        ended_ms: None,
        terminating: None,
    }
}

/// Parses the test settings.
pub fn config() -> Config {
    Config::parse(crate::config::TEST_SETTINGS).unwrap()
}

/// Creates a shard with the test settings and an empty store replica.
pub fn shard() -> (Shard, Outbox, StoreReplica) {
    shard_with_config(config())
}

/// Creates a shard of incarnation 1 with these settings and an empty store replica.
pub fn shard_with_config(config: Config) -> (Shard, Outbox, StoreReplica) {
    let config = Rc::new(config);
    let rng = rand::rngs::StdRng::seed_from_u64(1);
    let outbox = Outbox::new(rng, &config);
    (
        Shard::new(&config, 1, ImageHints::new(), 0.0),
        outbox,
        StoreReplica::new(&config),
    )
}

/// Creates a shard that owns team `red` and no machines, with a store replica whose shard map says so.
pub fn shard_of_team_red() -> (Shard, Outbox, StoreReplica) {
    let (mut shard, mut outbox, mut store) = shard();
    let shard_entry = ShardEntry {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    apply_shard_map(&mut store, 5, vec![shard_entry]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    (shard, outbox, store)
}

/// Returns the pending record writes of a sent transaction together with the transaction.
pub fn take_sent_records(outbox: &mut Outbox, effect: Effect) -> (Vec<RecordWrite>, Transaction) {
    let Effect::Store(call, StoreCall::Commit(transaction)) = effect else {
        panic!("{effect:?}")
    };
    let Some(Pending::JobRecords(writes)) = outbox.take_pending(call) else {
        panic!("not a transaction of job records")
    };
    (writes, transaction)
}

/// Applies a shard map of these entries to the replica, as if the leader had written it at `version`.
pub fn apply_shard_map(store: &mut StoreReplica, version: Version, shards: Vec<ShardEntry>) {
    store.apply_write(
        &put(
            &format!("{MAP_PREFIX}m0000"),
            &ShardMapChunk {
                shards,
                ..ShardMapChunk::default()
            },
            None,
        ),
        version,
    );
}

/// Creates the owner entry of a controller's first process, with token 9 and no previous owner.
pub fn owner(node: &str) -> ShardOwner {
    ShardOwner {
        node: node.into(),
        incarnation: 1,
        token: FencingToken(9),
        previous_owner: None,
        previous_token: None,
        raises: 0,
    }
}

/// Creates the specification of a service of two tasks, each with 4 CPUs, 2 GPUs and 16 GB of memory.
pub fn service(class: &str, image: &str, image_gb: f64) -> Rc<JobSpec> {
    let mut job = serde_json::json!({"c": class, "t": "red", "k": "standing", "p": "critical",
        "n": 2, "cpu": 4.0, "gpu": 2.0, "mem": 16.0, "est": 0.0, "ck": 0.0, "sv": 0.0});
    job["img"] = image.into();
    job["igb"] = image_gb.into();
    Rc::new(serde_json::from_value(job).unwrap())
}

/// Returns two machine types that differ in GPUs and price: `g4` and `g8`.
pub fn machine_types() -> Vec<MachineType> {
    let machine_type = |name: &str, gpus: f64, price: f64| MachineType {
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
    vec![machine_type("g4", 4.0, 10.0), machine_type("g8", 8.0, 16.0)]
}

/// Creates the heartbeat of a machine of type `g8` on which no task runs.
pub fn heartbeat(machine: &str, agent_epoch: u64, sequence: u64, token: FencingToken) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        address: machine.into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch,
        sequence,
        token,
        reclaim_notice_s: None,
        tasks: Vec::new(),
    }
}

/// Id of the store lease to which the process key of the controller of [`running_core`] is attached.
pub const OWN_LEASE: u64 = 5;

/// Creates the record that a sibling's process registers, with incarnation 1 and lease 9.
pub fn process_record(node: &str) -> ProcessRecord {
    ProcessRecord {
        node: node.into(),
        incarnation: 1,
        lease: 9,
        keeps_grants: false,
        raises_tokens: true,
        consents: Vec::new(),
        claims: Vec::new(),
    }
}

/// Creates controller n1 with siblings n0, n2 and so on, with failure detection enabled. It has read the
/// store at `now`. All controllers are registered, and n0 is the leader. n1 holds its lease and a shard
/// without machines.
pub fn running_core(siblings: usize, now: Time) -> Core {
    let mut settings = crate::config::TEST_SETTINGS.replace("\"n0\"", "\"n1\"");
    let names: Vec<String> = (0..=siblings)
        .filter(|index| *index != 1)
        .map(|index| format!("n{index}"))
        .collect();
    for (port, name) in names.iter().enumerate() {
        settings += &format!(
            "[[siblings]]\nhost_name = \"{name}\"\naddr = \"127.0.0.1:{}\"\n",
            port + 10
        );
    }
    let mut config = Config::parse(&settings).unwrap();
    config.features = Features::parse(include_str!("../../deploy/failure-detection.toml")).unwrap();
    let mut core = Core::new(config, 1);
    let own_record = ProcessRecord {
        incarnation: core.ownership.incarnation(),
        lease: OWN_LEASE,
        ..process_record("n1")
    };
    let records = names
        .iter()
        .map(|name| process_record(name))
        .chain([own_record]);
    let mut entries: Vec<Entry> = records
        .map(|record| entry(&node_key(&record.node), &record))
        .collect();
    entries.push(entry(LEADER_KEY, &process_record("n0")));
    let effects = core.step(now - 0.1, 0, Vec::new());
    let listing_call = effects.into_iter().find_map(|effect| match effect {
        Effect::Store(call, StoreCall::List { .. }) => Some(call),
        _ => None,
    });
    let listed = StoreReply::Listing(Listing {
        entries,
        more: false,
        revision: 20,
    });
    core.step(now, 0, vec![Input::Store(listing_call.unwrap(), listed)]);
    core.ownership.hold(OWN_LEASE, now);
    core.update_roles();
    assert!(core.shard.is_some());
    core
}

fn entry(key: &str, record: &ProcessRecord) -> Entry {
    let Write::Put { value, .. } = put(key, record, None) else {
        panic!("`put` creates a Write::Put")
    };
    Entry {
        key: key.to_owned(),
        value,
        version: 10,
    }
}

/// Records an answer of each sibling every 0.1 s until `until`, and updates the siblings' failure stages.
pub fn record_answers(core: &mut Core, siblings: &[&str], from: Time, until: Time) {
    let mut now = from;
    while now <= until {
        core.outbox.begin_step(now, 0);
        core.peers.detector_mut().begin_step(now);
        for sibling in siblings {
            core.peers
                .record_answer(&ControllerName::from(*sibling), 1, now);
        }
        core.update_sibling_stages();
        now += 0.1;
    }
}
