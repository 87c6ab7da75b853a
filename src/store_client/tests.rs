use super::*;
use crate::wire::{Transaction, Write};

/// The store answers 400 both to an expired lease and to an exceeded limit.
#[test]
fn a_rejected_transaction_is_distinguished_from_an_expired_lease() {
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
    assert_eq!(
        interpret_response(&commit(Some(7)), 400, b""),
        StoreReply::LeaseNotFound
    );
    assert_eq!(
        interpret_response(&commit(None), 400, b""),
        StoreReply::Rejected
    );
    assert_eq!(
        interpret_response(&commit(None), 429, b""),
        StoreReply::Busy
    );
}
