//! Tests of the script `.ci/known-red`, which decides whether a test run with known failures passes in CI.

#![allow(
    clippy::cast_possible_truncation,
    clippy::indexing_slicing,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    clippy::unwrap_used,
    reason = "a test fails by panicking, and states a whole case in one place"
)]

use std::path::PathBuf;
use std::process::{Command, Output};

/// Runs the script on the exit status and the output of a test run, with a list of known failures if there is
/// one. `name` is the folder for its files, so it differs between calls.
fn run_script(name: &str, status: &str, output: &str, list: Option<&str>) -> Output {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let (printed, listed) = (folder.join("output"), folder.join("list"));
    std::fs::write(&printed, output).unwrap();
    std::fs::remove_file(&listed).ok();
    if let Some(list) = list {
        std::fs::write(&listed, list).unwrap();
    }
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    Command::new("bash")
        .arg(script)
        .arg(status)
        .args([printed, listed])
        .output()
        .unwrap()
}

/// Output of a run in which all tests passed.
const ALL_PASSED: &str = "test a ... ok\ntest b::c ... ok\n";
/// Output of a run in which one test failed.
const ONE_FAILED: &str = "test a ... ok\ntest b::c ... FAILED\n";
/// The entry for the test that fails in [`ONE_FAILED`].
const ENTRY: &str = "b::c: SEED=7 cargo test b::c; a write was lost; issue 17\n";

#[test]
fn run_without_failures_passes_if_no_test_is_listed() {
    assert!(run_script("green", "0", ALL_PASSED, None).status.success());
    assert!(
        run_script("empty", "0", ALL_PASSED, Some("\n"))
            .status
            .success()
    );
    assert!(
        !run_script("unbuilt", "101", "error: could not compile `x`\n", None)
            .status
            .success()
    );
}

#[test]
fn run_passes_if_exactly_the_listed_tests_fail_and_prints_them() {
    let passed = run_script("listed", "101", ONE_FAILED, Some(ENTRY));
    assert!(passed.status.success());
    assert!(
        String::from_utf8_lossy(&passed.stdout)
            .contains("b::c: SEED=7 cargo test b::c; a write was lost; issue 17")
    );
    assert!(
        !run_script("unlisted", "101", ONE_FAILED, None)
            .status
            .success()
    );
    let another = format!("{ONE_FAILED}test d ... FAILED\n");
    assert!(
        !run_script("another", "101", &another, Some(ENTRY))
            .status
            .success()
    );
    let unbuilt = format!("{ONE_FAILED}error: could not compile `x`\n");
    assert!(
        !run_script("partly", "101", &unbuilt, Some(ENTRY))
            .status
            .success()
    );
}

#[test]
fn run_fails_if_a_listed_test_passes_or_four_are_listed() {
    assert!(
        !run_script("passes", "0", ALL_PASSED, Some(ENTRY))
            .status
            .success()
    );
    let names = ["a", "b", "c", "d"];
    let output: String = names
        .iter()
        .map(|name| format!("test {name} ... FAILED\n"))
        .collect();
    let list: String = names
        .iter()
        .map(|name| format!("{name}: cargo test {name}; it failed; issue 1\n"))
        .collect();
    assert!(
        !run_script("four", "101", &output, Some(&list))
            .status
            .success()
    );
}

#[test]
fn run_fails_if_an_entry_lacks_a_part() {
    let incomplete = [
        "b::c: a write was lost, issue 17",
        "b::c",
        ": SEED=7 cargo test b::c; a write was lost; issue 17",
        "SEED=7 cargo test b::c; a write was lost; issue 17",
        "b::c: a write was lost; issue 17",
        "b::c: ; a write was lost; issue 17",
        "b::c: SEED=7 cargo test b::c; issue 17",
        "b::c: SEED=7 cargo test b::c; ; issue 17",
        "b::c: SEED=7 cargo test b::c; a write was lost",
        "b::c: SEED=7 cargo test b::c; a write was lost; ",
        "b::c: SEED=7 cargo test b::c; a write was lost; issue",
        "b::c: SEED=7 cargo test b::c; a write was lost; issue N",
    ];
    for (number, entry) in incomplete.iter().enumerate() {
        let list = format!("{entry}\n");
        let name = format!("incomplete{number}");
        assert_rejected_as_malformed(&run_script(&name, "101", ONE_FAILED, Some(&list)), entry);
    }
}

#[test]
fn run_fails_if_one_of_several_entries_lacks_a_part() {
    let failed = format!("{ONE_FAILED}test d ... FAILED\n");
    let incomplete = "d: cargo test d; issue 18";
    for (name, list) in [
        ("incomplete_last", format!("{ENTRY}\n{incomplete}")),
        ("incomplete_first", format!("{incomplete}\n{ENTRY}")),
    ] {
        assert_rejected_as_malformed(&run_script(name, "101", &failed, Some(&list)), incomplete);
    }
    let complete = format!("{ENTRY}\nd: cargo test d; it failed; issue 18\n");
    let passed = run_script("complete", "101", &failed, Some(&complete));
    assert!(passed.status.success());
}

#[test]
fn entry_without_a_test_fails_a_run_without_failures() {
    let entry = ": cargo test b::c; a write was lost; issue 17";
    let output = run_script("nameless", "0", ALL_PASSED, Some(entry));
    assert_rejected_as_malformed(&output, entry);
}

#[test]
fn run_fails_if_an_entry_has_a_fifth_part() {
    let entry = "b::c: SEED=7 cargo test b::c; a write was lost; so was another; issue 17";
    let output = run_script("five_parts", "101", ONE_FAILED, Some(entry));
    assert_rejected_as_malformed(&output, entry);
}

/// Checks that the script failed because of this entry alone.
fn assert_rejected_as_malformed(output: &Output, entry: &str) {
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "{entry}");
    let rejected: Vec<&str> = errors.lines().skip(1).collect();
    assert!(
        errors.starts_with("known-red: entries that are not"),
        "{errors}"
    );
    assert_eq!(rejected, [entry], "{errors}");
}
