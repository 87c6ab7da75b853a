use super::*;

fn example_status() -> Status {
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
                terms: Some(UsageTermsStatus::default()),
            }),
        }],
        detection_on: true,
        siblings: vec![
            sibling_status("n1", StageStatus::Alive),
            sibling_status("n2", StageStatus::Confirmed),
        ],
        unexpected_attempts: 2,
        limit_excesses: 0,
        hand_overs: vec![HandOverStatus {
            controller: "n2".into(),
            incarnation: 3,
            teams: 2,
            machines: 40,
            waits_for: HandOverWait::Consents {
                given: 2,
                needed: 3,
            },
        }],
    }
}

fn sibling_status(controller: &str, stage: StageStatus) -> SiblingStatus {
    let failed = stage == StageStatus::Confirmed;
    SiblingStatus {
        controller: controller.into(),
        stage,
        incarnation: Some(3),
        silence_s: if failed { 4.25 } else { 0.25 },
        threshold_s: 2.0,
        last_message_s: None,
        votes: if failed { 3 } else { 0 },
        key_gone: failed,
        workers_left: failed,
        told: vec![OpinionStatus {
            observer: "n3".into(),
            suspects: failed,
            silence_s: 4.0,
            age_s: 0.5,
        }],
    }
}

#[test]
fn the_tables_show_grants_siblings_and_failovers() {
    assert_eq!(
        example_status().to_tables(),
        "n0 (process 7), leads, 2 unexpected attempts\n\n\
         TEAM  OWNER  LIMIT   GUARANTEE  GRANTED  OTHERS  USED      UNKNOWN  STATE\n\
         blue  n0     24 GPU  8 GPU      5 GPU    10 GPU  12.5 GPU  3        taking over\n\n\
         CONTROLLER  STAGE             SILENT        VOTES  KEY    OTHERS HEAR IT\n\
         n1          alive             0.2 of 2.0 s  0      there  n3 yes (0.5 s ago)\n\
         n2          confirmed failed  4.2 of 2.0 s  3      gone   n3 no (0.5 s ago)\n\n\
         FAILED  TEAMS  MACHINES  WAITS FOR\n\
         n2      2      40        consents, 2 of 3\n"
    );
}

#[test]
fn the_published_schema_describes_every_field_of_the_answer() {
    let schema = serde_json::to_value(schemars::schema_for!(Status)).unwrap();
    let sent = serde_json::to_value(example_status()).unwrap();
    let validator = jsonschema::validator_for(&schema).unwrap();
    assert!(
        validator.is_valid(&sent),
        "{:?}",
        validator.iter_errors(&sent).collect::<Vec<_>>()
    );
    let described = |of: &str| match of {
        "" => schema["properties"].clone(),
        name => schema["$defs"][name]["properties"].clone(),
    };
    for (name, part) in [
        ("", &sent),
        ("TeamStatus", &sent["teams"][0]),
        ("SiblingStatus", &sent["siblings"][0]),
        ("OpinionStatus", &sent["siblings"][0]["told"][0]),
        ("HandOverStatus", &sent["hand_overs"][0]),
    ] {
        for field in part.as_object().unwrap().keys() {
            assert!(described(name).get(field).is_some(), "{name} {field}");
        }
    }
    let mut wrong = sent.clone();
    wrong["siblings"][0]["stage"] = "dead".into();
    assert!(!validator.is_valid(&wrong));
    assert_eq!(
        serde_json::from_value::<Status>(sent).unwrap(),
        example_status()
    );
}

/// An older version reported no siblings and no failovers.
#[test]
fn an_answer_of_an_older_version_can_be_parsed() {
    let mut earlier = serde_json::to_value(example_status()).unwrap();
    let fields = earlier.as_object_mut().unwrap();
    for field in [
        "detection_on",
        "siblings",
        "hand_overs",
        "unexpected_attempts",
    ] {
        fields.remove(field);
    }
    let read = serde_json::from_value::<Status>(earlier).unwrap();
    assert!(!read.detection_on && read.siblings.is_empty());
}
