use super::*;
use crate::core::records::keys::MAP_PREFIX;
use crate::core::records::shard_map::{ShardEntry, ShardMapChunk};
use crate::core::test_support::{config, owner};
use crate::wire::{Changes, Entry, Listing};

const CHUNKS: usize = 40;
const MACHINES_PER_CHUNK: usize = 25;

fn chunk_key(chunk: usize) -> String {
    format!("{MAP_PREFIX}m{chunk:04}")
}

/// The value of a chunk whose machines belong to the controller `node`.
fn chunk_value(chunk: usize, node: &str) -> Value {
    let first = chunk * MACHINES_PER_CHUNK;
    let machines = (first..first + MACHINES_PER_CHUNK).map(|machine| format!("m-{machine:06}"));
    let shards = vec![ShardEntry {
        owner: owner(node),
        teams: Vec::new(),
        machines: machines.map(|id| id.as_str().into()).collect(),
    }];
    let chunk = ShardMapChunk {
        shards,
        ..ShardMapChunk::default()
    };
    serde_json::to_value(chunk).unwrap()
}

fn full_read(more: bool, chunks: std::ops::Range<usize>) -> Listing {
    let entries = chunks.map(|chunk| Entry {
        key: chunk_key(chunk),
        value: chunk_value(chunk, "n0"),
        version: 1,
    });
    Listing {
        entries: entries.collect(),
        more,
        revision: 1,
    }
}

fn put_change(chunk: usize, node: &str, version: Version) -> Change {
    Change {
        put_key: Some(chunk_key(chunk)),
        deleted_key: None,
        value: chunk_value(chunk, node),
        version,
    }
}

fn machines_of(store: &StoreReplica, node: &str) -> usize {
    let owners = store.shard_map().machines.values();
    owners.filter(|owner| owner.node.as_str() == node).count()
}

/// Guards against a read that costs as many assemblies of the whole shard map as it returns values of the map,
/// for example after a controller was cut off from the store (docs/incidents/2026-12-map-assembled-per-value.md).
#[test]
fn a_read_assembles_the_shard_map_once_however_many_values_it_returns() {
    let mut store = StoreReplica::new(&config());
    store.apply_page(&full_read(true, 0..CHUNKS / 2), 0.0, 0.0);
    assert_eq!(store.shard_map_changes(), 1);
    store.apply_page(&full_read(false, CHUNKS / 2..CHUNKS), 0.0, 0.0);
    assert_eq!(store.shard_map_changes(), 2);
    assert_eq!(machines_of(&store, "n0"), CHUNKS * MACHINES_PER_CHUNK);

    let puts = (0..CHUNKS * 10).map(|change| {
        let node = if change < CHUNKS * 9 { "n1" } else { "n2" };
        put_change(change % CHUNKS, node, 2 + change as Version)
    });
    let mut events: Vec<Change> = puts.collect();
    events.push(Change {
        put_key: None,
        deleted_key: Some(chunk_key(0)),
        value: Value::Null,
        version: 900,
    });
    let revision = 900;
    store.apply_changes(&Changes { revision, events }, 0.0, 0.0);
    assert_eq!(store.shard_map_changes(), 3);
    assert_eq!(machines_of(&store, "n2"), (CHUNKS - 1) * MACHINES_PER_CHUNK);
    assert_eq!(machines_of(&store, "n0") + machines_of(&store, "n1"), 0);

    store.restart_full_read(0.0);
    store.apply_page(&full_read(false, 1..1), 0.0, 0.0);
    assert_eq!(store.shard_map_changes(), 3, "newer values are kept");
}

/// Readers rely on the map being current after each write and each read.
#[test]
fn a_read_without_values_of_the_shard_map_does_not_assemble_it() {
    let mut store = StoreReplica::new(&config());
    store.apply_page(&full_read(false, 0..2), 0.0, 0.0);
    let before = store.shard_map_changes();
    let unchanged = Changes {
        revision: 5,
        events: vec![put_change(0, "n1", 1)],
    };
    store.apply_changes(&unchanged, 0.0, 0.0);
    assert_eq!(store.shard_map_changes(), before, "the version is known");
    let write = Write::Put {
        key: chunk_key(0),
        value: chunk_value(0, "n1"),
        lease: None,
    };
    store.apply_write(&write, 6);
    assert_eq!(store.shard_map_changes(), before + 1);
    assert_eq!(machines_of(&store, "n1"), MACHINES_PER_CHUNK);
}
