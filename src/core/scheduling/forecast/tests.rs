use super::*;
use crate::core::test_support::{service, types};

/// Only images that cannot be fetched in time make room worth holding back.
#[test]
fn tight_images_are_those_a_fetch_makes_late() {
    let config = Config::parse(crate::config::TEST_SETTINGS).unwrap();
    let mut forecast = Forecast::new(&config);
    forecast.arrived(&service("chat", "large", 60.0), 50.0);
    forecast.arrived(&service("chat", "large", 60.0), 1.0);
    forecast.arrived(&service("chat", "small", 20.0), 50.0);
    forecast.arrived(&service("other", "huge", 90.0), 50.0);
    let tight = forecast.tight_images(&config, &types(), 55.0);
    assert_eq!(
        tight.keys().map(Image::as_str).collect::<Vec<_>>(),
        ["large"]
    );
    assert_eq!(
        tight[&Image::from("large")].1,
        2,
        "the old arrival counts for no room"
    );
}
