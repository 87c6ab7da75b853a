use super::*;

fn status() -> Status {
    let gpus = |gpus: f64| Capacity { cpus: 0.0, gpus };
    let grant = |controller: &str, granted: f64, current: bool| GrantStatus {
        controller: controller.into(),
        incarnation: 1,
        term: 2,
        granted: gpus(granted),
        current,
    };
    Status {
        controller: "n0".into(),
        incarnation: 7,
        leads: true,
        entitled: true,
        grants_on: true,
        teams: vec![TeamStatus {
            team: "blue".into(),
            limit: gpus(24.0),
            guarantee: gpus(8.0),
            owner: Some("n0".into()),
            grants_kept_since: Some(2),
            record: RecordState::ReliedOn,
            grants: vec![grant("n0", 5.0, true), grant("n1", 9.0, false)],
            folded: gpus(1.0),
            owned: Some(OwnedTeamStatus {
                basis: BasisStatus::Granted,
                used: gpus(12.5),
                inherited: gpus(9.0),
                unknown_machines: 3,
            }),
        }],
    }
}

#[test]
fn the_table_shows_who_holds_what() {
    assert_eq!(
        status().table(),
        "n0 (process 7), leads\n\n\
         TEAM  OWNER  LIMIT   GUARANTEE  GRANTED  OTHERS  USED      UNKNOWN  STATE\n\
         blue  n0     24 GPU  8 GPU      5 GPU    10 GPU  12.5 GPU  3        taking over\n"
    );
}

#[test]
fn the_published_schema_covers_what_is_sent() {
    let schema = serde_json::to_value(schemars::schema_for!(Status)).unwrap();
    let sent = serde_json::to_value(status()).unwrap();
    let described = &schema["properties"];
    for field in sent.as_object().unwrap().keys() {
        assert!(described.get(field).is_some(), "{field}");
    }
    let team = &schema["$defs"]["TeamStatus"]["properties"];
    for field in sent["teams"][0].as_object().unwrap().keys() {
        assert!(team.get(field).is_some(), "{field}");
    }
    assert_eq!(serde_json::from_value::<Status>(sent).unwrap(), status());
}
