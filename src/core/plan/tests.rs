use super::*;
use crate::ids::TypeName;

fn spec(class: &str, image: &str, image_gb: f64) -> Rc<JobSpec> {
    let mut job = serde_json::json!({"c": class, "t": "red", "k": "standing", "p": "critical",
        "n": 2, "cpu": 4.0, "gpu": 2.0, "mem": 16.0, "est": 0.0, "ck": 0.0, "sv": 0.0});
    job["img"] = image.into();
    job["igb"] = image_gb.into();
    Rc::new(serde_json::from_value(job).unwrap())
}

fn types() -> Vec<MachineType> {
    let of = |name: &str, gpus: f64, price: f64| MachineType {
        name: name.into(),
        cpus: 64.0,
        gpus,
        memory_gb: 256.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 4.0,
        price,
        spot_price: price / 3.0,
        boot_s: 10.0,
        zones: vec!["a".into(), "b".into()],
    };
    vec![of("g4", 4.0, 10.0), of("g8", 8.0, 16.0)]
}

/// The lowest price per task decides, then the zone with fewer machines; what the cloud has
/// none of is passed over.
#[test]
fn the_cheapest_offer_per_task_is_wanted() {
    let (types, job) = (types(), spec("chat", "x", 1.0));
    let need = Room::of(&job);
    let zones = BTreeMap::from([(Zone::from("a"), 3)]);
    let best = |refused: &BTreeSet<Offer>| {
        cheapest(&types, &job, &need, &|_| true, &zones, refused).map(|(offer, _)| offer)
    };
    let g8 = |zone: &str| (TypeName::from("g8"), Zone::from(zone), false);
    assert_eq!(best(&BTreeSet::new()), Some(g8("b")));
    assert_eq!(best(&BTreeSet::from([g8("b")])), Some(g8("a")));
}
