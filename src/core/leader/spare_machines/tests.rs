use super::*;

fn kind(name: &str) -> MachineOffer {
    MachineOffer::from((name.into(), "a".into(), false))
}

#[test]
fn the_first_listed_machine_of_another_shard_is_taken_only_once() {
    let (g4, g8) = (kind("g4"), kind("g8"));
    let listed = |number: usize, kind: &MachineOffer| (format!("m-{number}").into(), kind.clone());
    let mut spare = SpareMachines::default();
    spare.add(&"n0".into(), [listed(0, &g8)]);
    spare.add(
        &"n1".into(),
        [listed(1, &g4), listed(2, &g8), listed(3, &g4)],
    );
    let mut take = |kinds: &[&MachineOffer], except: &str| {
        let kinds: Vec<MachineOffer> = kinds.iter().map(|kind| (*kind).clone()).collect();
        spare
            .take(&kinds, &except.into())
            .map(|spare| format!("{} of {}", spare.id, spare.owner))
    };
    assert_eq!(take(&[&g8], "n0").as_deref(), Some("m-2 of n1"));
    assert_eq!(take(&[&g8], "n0"), None, "no machine of its own is taken");
    assert_eq!(take(&[&g8, &g4], "n2").as_deref(), Some("m-0 of n0"));
    assert_eq!(take(&[&g8, &g4], "n2").as_deref(), Some("m-1 of n1"));
    assert_eq!(take(&[&g4], "n2").as_deref(), Some("m-3 of n1"));
    assert_eq!(take(&[&g8, &g4], "n2"), None);
}
