use super::*;
use crate::ids::JobId;
use serde_json::{Value, json};

fn published_example() -> Value {
    json!({"nameId":"req-000412","herd":"train","crew":"vision","shape":"ensemble",
        "urgency":"high","beats":16,"cores":8.0,"cards":1.0,"memGb":64.0,"pressing":"img-07",
        "sizeGb":6.2,"breeds":["g8"],"yard":null,"samePlace":true,"apart":false,
        "loaners":true,"expectS":240,"markEveryS":30.0,"markS":4.0,"dueS":900.0})
}

#[test]
fn the_published_example_is_parsed() {
    let (id, spec) = parse_submission(&encode(&published_example())).unwrap();
    assert_eq!(id.as_str(), "req-000412");
    assert_eq!(
        (spec.kind, spec.priority, spec.tasks),
        (JobKind::Gang, Priority::High, 16)
    );
    assert_eq!(spec.zone, None);
    let stored = serde_json::to_value(&spec).unwrap();
    assert_eq!(serde_json::from_value::<JobSpec>(stored).unwrap(), spec);
}

#[test]
fn invalid_submissions_are_rejected_and_dependencies_are_sorted() {
    let with = |name: &str, value: Value| {
        let mut job = published_example();
        job[name] = value;
        parse_submission(&encode(&job))
    };
    for (name, value) in [
        ("nameId", json!("r-1")),
        ("nameId", json!("req-12x456")),
        ("beats", json!(0)),
        ("beats", json!(100_001)),
        ("beats", json!(2.5)),
        ("cores", json!(-1.0)),
        ("cores", json!("8")),
        ("shape", json!("other")),
        ("urgency", json!(3)),
        ("samePlace", json!(1)),
        ("breeds", json!("g8")),
        ("herd", json!(null)),
        ("dueS", json!(-5)),
        ("awaits", json!("req-000398")),
        ("awaits", json!(["req-000398", 4])),
        ("awaits", json!(["r-1"])),
    ] {
        assert!(with(name, value.clone()).is_err(), "{name}={value}");
    }
    assert!(with("beats", json!(100_000)).is_ok());
    let (_, spec) = with("awaits", json!(["req-0000405", "req-000398", "req-000398"])).unwrap();
    assert_eq!(
        spec.dependencies,
        ["req-0000405", "req-000398"].map(JobId::from)
    );
    let stored = serde_json::to_value(&spec).unwrap();
    assert_eq!(serde_json::from_value::<JobSpec>(stored).unwrap(), spec);
    assert!(
        with("awaits", json!(null))
            .unwrap()
            .1
            .dependencies
            .is_empty()
    );
    assert_eq!(
        parse_submission(&[0xc1]),
        Err(SubmissionError::NotMessagePack)
    );
    assert_eq!(
        parse_submission(b"\x93\x01\x02\x03"),
        Err(SubmissionError::NotMap)
    );
    // NaN is a valid MessagePack float but not a valid amount.
    let mut nan = rmp_serde::to_vec_named(&published_example()).unwrap();
    let at = nan
        .windows(6)
        .position(|bytes| bytes == b"\xa5cores")
        .unwrap()
        + 6;
    assert_eq!(nan[at], 0xcb);
    nan[at + 1..at + 9].copy_from_slice(&f64::NAN.to_be_bytes());
    assert_eq!(parse_submission(&nan), Err(SubmissionError::Field("cores")));
}
