use super::*;
use crate::core::test_support::{machine_types, service};

/// Resources are reserved only for images that cannot be fetched within the start objective.
#[test]
fn images_to_keep_cached_are_those_whose_fetch_misses_the_start_objective() {
    let config = Config::parse(crate::config::TEST_SETTINGS).unwrap();
    let mut forecast = Forecast::new(&config);
    forecast.record_arrival(&service("chat", "large", 60.0), 50.0);
    forecast.record_arrival(&service("chat", "large", 60.0), 1.0);
    forecast.record_arrival(&service("chat", "small", 20.0), 50.0);
    forecast.record_arrival(&service("other", "huge", 90.0), 50.0);
    let images = forecast.images_to_keep_cached(&config, &machine_types(), 55.0);
    assert_eq!(
        images.keys().map(Image::as_str).collect::<Vec<_>>(),
        ["large"]
    );
    assert_eq!(
        images[&Image::from("large")].recent_tasks,
        2,
        "an arrival before the history is not counted"
    );
}
