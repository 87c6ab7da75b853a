use crate::core::records::shard_map::ShardOwner;
use crate::core::test_support::owner;
use crate::ids::FencingToken;

#[test]
fn tokens_that_the_owner_may_use_belong_to_its_assignment() {
    let owner = ShardOwner {
        raises: 2,
        ..owner("n0")
    };
    let included = |token| owner.includes(FencingToken(token));
    assert_eq!([8, 9, 11, 12].map(included), [false, true, true, false]);
    assert_eq!(owner.highest_token(), FencingToken(11));
}

/// Earlier releases neither read nor write the field.
#[test]
fn an_owner_without_a_range_is_stored_as_before() {
    let stored = serde_json::to_value(owner("n0")).unwrap();
    assert!(stored.get("r").is_none(), "{stored}");
    let read: ShardOwner = serde_json::from_value(stored).unwrap();
    assert_eq!(read.raises, 0);
}
