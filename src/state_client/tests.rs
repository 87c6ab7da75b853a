use super::*;
use crate::wire::{Transaction, Write};

/// The service answers 400 to a lease that has ended and to a broken limit alike.
#[test]
fn a_refused_transaction_is_told_from_an_ended_lease() {
    let commit = |lease| {
        let write = Write::Put {
            key: "k".into(),
            value: serde_json::Value::Null,
            lease,
        };
        StoreCall::Commit(Transaction {
            preconditions: Vec::new(),
            writes: vec![write],
        })
    };
    assert_eq!(reply(&commit(Some(7)), 400, b""), StoreReply::LeaseGone);
    assert_eq!(reply(&commit(None), 400, b""), StoreReply::Rejected);
    assert_eq!(reply(&commit(None), 429, b""), StoreReply::Busy);
}
