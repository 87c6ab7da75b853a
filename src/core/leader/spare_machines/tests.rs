use super::*;

fn kind(name: &str) -> MachineOffer {
    MachineOffer::from((name.into(), "a".into(), false))
}

#[test]
fn the_first_machine_of_another_share_is_taken_once() {
    let (g4, g8) = (kind("g4"), kind("g8"));
    let ids: Vec<MachineId> = (0..4).map(|n| format!("m-{n}").into()).collect();
    let mut spare = SpareMachines::default();
    spare.add(&"n0".into(), [(&ids[0], &g8)].into_iter());
    spare.add(
        &"n1".into(),
        [(&ids[1], &g4), (&ids[2], &g8), (&ids[3], &g4)].into_iter(),
    );
    let mut take = |kinds: &[&MachineOffer], except: &str| {
        let kinds: Vec<MachineOffer> = kinds.iter().map(|kind| (*kind).clone()).collect();
        spare
            .take(&kinds, &except.into())
            .map(|(id, node)| format!("{id} of {node}"))
    };
    assert_eq!(take(&[&g8], "n0").as_deref(), Some("m-2 of n1"));
    assert_eq!(take(&[&g8], "n0"), None, "its own is none to be taken");
    assert_eq!(take(&[&g8, &g4], "n2").as_deref(), Some("m-0 of n0"));
    assert_eq!(take(&[&g8, &g4], "n2").as_deref(), Some("m-1 of n1"));
    assert_eq!(take(&[&g4], "n2").as_deref(), Some("m-3 of n1"));
    assert_eq!(take(&[&g8, &g4], "n2"), None);
}
