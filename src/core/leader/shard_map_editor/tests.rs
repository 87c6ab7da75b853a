use super::*;
use crate::core::model::process::ProcessId;

fn owner(node: &str, token: u64) -> ShardOwner {
    let previous_owner = Some(ProcessId::new("drumhead-2".into(), 1 << 51));
    ShardOwner {
        node: node.into(),
        incarnation: 1 << 51,
        token: FencingToken(token),
        previous_owner,
        previous_token: None,
        raises: 256,
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one sequence of events in which each step depends on the previous ones"
)]
fn the_shard_map_is_read_back_and_keeps_within_the_value_limit() {
    let mut editor = ShardMapEditor::new(1 << 20, &BTreeMap::new(), 4.0);
    for number in 0..200 {
        let token = editor.next_token().unwrap().0;
        editor.set_machine(
            &MachineId::from(format!("m-{number:06}")),
            owner("drumhead-0", token),
        );
    }
    editor.set_team(&"a".into(), owner("drumhead-1", 7));
    let mut stored = BTreeMap::new();
    for (key, record) in editor.take_dirty(usize::MAX, usize::MAX) {
        assert!(serde_json::to_string(&record).unwrap().len() <= 4096);
        stored.insert(key, Versioned { version: 9, record });
    }
    assert!(
        editor.take_dirty(usize::MAX, usize::MAX).is_empty(),
        "written only on change"
    );
    let mut next = ShardMapEditor::new(1 << 21, &stored, 4.0);
    assert_eq!(next.shard_map().machines, editor.shard_map().machines);
    assert_eq!(next.shard_map().teams, editor.shard_map().teams);
    let highest = editor
        .shard_map()
        .machines
        .values()
        .map(|owner| owner.token)
        .max()
        .unwrap();
    assert!(
        next.next_token().unwrap() > highest,
        "fencing tokens rise with every leader"
    );
    // After the value limit is lowered, a larger chunk is split when it is next written. Every machine stays
    // in the stored map until all parts are written.
    let mut lower = ShardMapEditor::new(1 << 22, &stored, 2.0);
    lower.set_machine(&"m-000003".into(), owner("drumhead-0", 9));
    let mut lowered = stored.clone();
    loop {
        let values = lower.take_dirty(2, usize::MAX);
        if values.is_empty() {
            break;
        }
        for (key, record) in values {
            assert!(serde_json::to_string(&record).unwrap().len() <= 2048);
            lowered.insert(
                key,
                Versioned {
                    version: 10,
                    record,
                },
            );
        }
        let read = ShardMapEditor::new(1 << 23, &lowered, 2.0);
        assert_eq!(read.shard_map().machines.len(), 200);
        let (machines, entries) = read.chunks.counts();
        assert_eq!(machines, entries);
    }
    next.remove_machine(&"m-000000".into());
    assert_eq!(
        next.take_dirty(9, usize::MAX).len(),
        1,
        "only the chunk that changed"
    );
}

/// Guards against a leader that runs for weeks and uses up its fencing tokens, so that no owner can change
/// any more.
#[test]
fn tokens_are_reported_as_running_low_long_before_they_run_out() {
    let mut editor = ShardMapEditor::new(7, &BTreeMap::new(), 4.0);
    let mut changes = 0;
    while !editor.tokens_running_low() {
        assert!(editor.next_token().is_some());
        changes += 1;
    }
    assert!(changes > 1 << 14 && (0..1 << 14).all(|_| editor.next_token().is_some()));
}

/// A machine's next token is above all that its present owner may use, and a range never reaches into the
/// tokens of a later version of the leader key.
#[test]
fn a_token_above_the_range_of_an_earlier_assignment_is_issued() {
    let mut editor = ShardMapEditor::new(7, &BTreeMap::new(), 4.0);
    let first = editor.next_token().unwrap();
    let raises = ShardMapEditor::grantable_raises(first);
    let highest = first.raised_by(raises);
    let next = editor.next_token_above(highest).unwrap();
    assert!(raises > 0 && next > highest);

    let of_earlier_version = FencingToken(6 << TOKEN_COUNT_BITS | TOKEN_COUNT_MASK);
    let token = editor.next_token_above(of_earlier_version).unwrap();
    assert_eq!(token, next.raised_by(1), "no tokens are skipped");

    let last = FencingToken((8 << TOKEN_COUNT_BITS) - 1);
    assert_eq!(ShardMapEditor::grantable_raises(last), 0);
    assert!(editor.next_token_above(last).is_none());
    assert!(editor.tokens_running_low());
}
