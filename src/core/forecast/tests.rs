use super::*;

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

/// Only images that cannot be fetched in time make room worth holding back.
#[test]
fn tight_images_are_those_a_fetch_makes_late() {
    let config = Config::parse(crate::config::TEST_SETTINGS).unwrap();
    let mut forecast = Forecast::default();
    forecast.arrived(&spec("chat", "large", 60.0), 50.0);
    forecast.arrived(&spec("chat", "large", 60.0), 1.0);
    forecast.arrived(&spec("chat", "small", 20.0), 50.0);
    forecast.arrived(&spec("other", "huge", 90.0), 50.0);
    let tight = forecast.tight_images(&config, &types(), 55.0);
    assert_eq!(tight.keys().map(Image::as_str).collect::<Vec<_>>(), ["large"]);
    assert_eq!(tight[&Image::from("large")].1, 2, "the old arrival counts for no room");
}
