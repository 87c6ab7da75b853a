use super::*;
use crate::core::effects::Effect;
use crate::core::leader::Leader;
use crate::core::test_support::config;

/// Fencing tokens are derived from the revision of the leader's key, so a leader that has few left
/// must write the key again. Without that, a fleet that had one leader for weeks could no longer change its
/// shard map.
#[test]
fn leader_low_on_fencing_tokens_rewrites_its_key() {
    let mut core = Core::new(config(), 1);
    core.outbox.begin_step(1.0, 0);
    core.ownership.hold_unrenewed(5);
    let record = ProcessRecord {
        node: core.config.controller.clone(),
        incarnation: core.ownership.incarnation(),
        lease: 5,
        keeps_grants: false,
        raises_tokens: true,
        consents: Vec::new(),
        claims: Vec::new(),
    };
    core.store
        .apply_write(&put(&node_key(&record.node), &record, Some(5)), 7);
    core.store
        .apply_write(&put(LEADER_KEY, &record, Some(5)), 8);
    core.leader = Some(Leader::new(&core.config, 8, &core.store, 1.0));
    core.write_keys(5);
    assert!(
        core.outbox.take_effects().is_empty(),
        "enough tokens remain"
    );
    while let Some(leader) = core
        .leader
        .as_mut()
        .filter(|leader| !leader.tokens_running_low())
    {
        assert!(leader.consume_token().is_some());
    }
    core.write_keys(5);
    let effects = core.outbox.take_effects();
    let [Effect::Store(_, StoreCall::Commit(claim))] = &effects[..] else {
        panic!("{effects:?}")
    };
    assert_eq!(claim.preconditions, [precondition(LEADER_KEY, 8)]);
}
