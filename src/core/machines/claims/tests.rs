use super::*;
use crate::core::records::shard_map::ShardOwner;
use crate::core::test_support::{config, owner};

/// Guards against claims that stay in the stored value for three leases although the leader has granted them:
/// if a zone has more machines than the value can hold, only a part of them would then be claimed.
#[test]
fn outdated_and_expired_claims_free_capacity_for_others() {
    let mut claims = MachineClaims::new(&config());
    let capacity = claims.capacity;
    assert!(capacity > 2);
    let mut owners = ShardMap::default();
    let machine = |number: usize| MachineId::from(format!("m-{number:06}"));
    let all = capacity + 2;
    for number in 0..all {
        owners.machines.insert(machine(number), owner("n1"));
    }
    let token = owner("n1").token;
    let claimed = (0..all).filter(|number| claims.add(&machine(*number), token, &owners, 1.0));
    assert_eq!(
        claimed.count(),
        capacity,
        "claims stop at the capacity of the stored value"
    );
    assert!(
        claims.add(&machine(0), token, &owners, 1.5),
        "renewing a claim needs no capacity"
    );
    owners.machines.insert(
        machine(0),
        ShardOwner {
            token: FencingToken(token.0 + 1),
            ..owner("n2")
        },
    );
    assert!(claims.add(&machine(capacity), token, &owners, 2.0));
    assert!(
        !claims
            .records()
            .iter()
            .any(|claim| claim.machine == machine(0))
    );
    let later = 2.0 + claims.valid_s;
    assert!(claims.add(&machine(capacity + 1), token, &owners, later));
    assert_eq!(claims.records().len(), 1, "claims expire");
}
