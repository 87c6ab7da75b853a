use super::*;
use crate::core::records::keys::node_key;
use crate::core::records::versioned::put;
use crate::core::test_support::{config, process_record};

/// A process of an earlier release would not recognize a worker that shows a raised token.
#[test]
fn no_tokens_are_granted_while_a_process_does_not_understand_them() {
    let mut store = StoreReplica::new(&config());
    for (version, node, raises_tokens) in [(1, "n0", true), (2, "n1", false)] {
        let mut record = process_record(node);
        record.raises_tokens = raises_tokens;
        let write = put(&node_key(&record.node), &record, None);
        store.apply_write(&write, version);
    }
    assert!(!LiveProcesses::registered_in(&store).all_raise_tokens());
    let replaced = process_record("n1");
    store.apply_write(&put(&node_key(&replaced.node), &replaced, None), 3);
    assert!(LiveProcesses::registered_in(&store).all_raise_tokens());
}
