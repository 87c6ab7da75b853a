//! The same inputs give the same effects as before a change of names or structure: the digests of all scenarios and of
//! days with fixed seeds are compared with recorded ones.
//!
//! `EFFECT_DIGESTS=file` writes the digests to a file instead. A commit that has to change the recorded ones says why.

use super::days;
use super::script::{play, scenario_files};
use std::fmt::Write;

const RECORDED: &str = include_str!("recorded.txt");

/// Days of one kind, by seed.
type DayOf = fn(u64) -> String;

const KINDS_OF_DAYS: [(&str, DayOf, u64); 6] = [
    ("random", days::random_day, 10),
    ("overlapping_faults", days::overlapping_faults_day, 8),
    ("interacting_faults", days::interacting_faults_day, 8),
    ("command_faults", days::command_faults_day, 8),
    ("upgrade", days::upgrade_day, 8),
    ("many_machines", days::many_machines_day, 3),
];

#[test]
fn effects_are_the_recorded_ones() {
    let mut digests = String::new();
    for (name, text) in scenario_files().into_iter().chain(days_with_fixed_seeds()) {
        writeln!(digests, "{name}: {}", play(&text).effect_digest).unwrap();
        let with_grants = play(&format!("grants\n{text}"));
        writeln!(
            digests,
            "{name}, with grants: {}",
            with_grants.effect_digest
        )
        .unwrap();
    }
    if let Ok(file) = std::env::var("EFFECT_DIGESTS") {
        return std::fs::write(file, digests).unwrap();
    }
    let changed: Vec<_> = digests
        .lines()
        .zip(RECORDED.lines())
        .filter(|(a, b)| a != b)
        .collect();
    assert!(
        changed.is_empty(),
        "{} runs differ: {changed:#?}",
        changed.len()
    );
    assert_eq!(digests.lines().count(), RECORDED.lines().count());
}

fn days_with_fixed_seeds() -> Vec<(String, String)> {
    let mut texts = Vec::new();
    for (kind, day_of, count) in KINDS_OF_DAYS {
        texts.extend((1..=count).map(|seed| (format!("{kind} day {seed}"), day_of(seed))));
    }
    texts
}
