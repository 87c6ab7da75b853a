use super::*;
use crate::core::records::shard_map::ShardOwner;
use crate::core::test_support::{config, owner};

/// Claims that were served took up the value for three leases, so that a zone of more machines than
/// it holds was claimed in part only.
#[test]
fn served_claims_make_room_for_others() {
    let mut claims = MachineClaims::new(&config());
    let most = claims.most_claims;
    assert!(most > 2);
    let mut owners = ShardMap::default();
    let machine = |number: usize| MachineId::from(format!("m-{number:06}"));
    let all = most + 2;
    for number in 0..all {
        owners.machines.insert(machine(number), owner("n1"));
    }
    let token = owner("n1").token;
    let claimed = (0..all).filter(|number| claims.add(&machine(*number), token, &owners, 1.0));
    assert_eq!(claimed.count(), most, "no more than a value holds");
    assert!(
        claims.add(&machine(0), token, &owners, 1.5),
        "it is claimed already"
    );
    owners.machines.insert(
        machine(0),
        ShardOwner {
            token: FencingToken(token.0 + 1),
            ..owner("n2")
        },
    );
    assert!(claims.add(&machine(most), token, &owners, 2.0));
    assert!(
        !claims
            .told()
            .iter()
            .any(|claim| claim.machine == machine(0))
    );
    let later = 2.0 + claims.standing;
    assert!(claims.add(&machine(most + 1), token, &owners, later));
    assert_eq!(claims.told().len(), 1, "claims end");
}
