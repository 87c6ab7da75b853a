use super::super::test_support::{service, types};
use super::*;
use crate::ids::TypeName;

/// The lowest price per task decides, then the zone with fewer machines; what the cloud has
/// none of is passed over.
#[test]
fn the_cheapest_offer_per_task_is_wanted() {
    let (types, job) = (types(), service("chat", "x", 1.0));
    let need = Resources::of(&job);
    let zones = BTreeMap::from([(Zone::from("a"), 3)]);
    let best = |refused: &BTreeSet<Offer>| {
        cheapest(&types, &job, &need, &|_| true, &zones, refused).map(|(offer, _)| offer)
    };
    let g8 = |zone: &str| (TypeName::from("g8"), Zone::from(zone), false);
    assert_eq!(best(&BTreeSet::new()), Some(g8("b")));
    assert_eq!(best(&BTreeSet::from([g8("b")])), Some(g8("a")));
}
