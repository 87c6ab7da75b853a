//! How CI judges a run with known failing tests: the script `.ci/known-red`.

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

/// Runs the script on the output and exit status of a test run, with a list of known failures.
fn judge(name: &str, status: &str, output: &str, list: Option<&str>) -> Output {
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

const GREEN: &str = "test a ... ok\ntest b::c ... ok\n";
const RED: &str = "test a ... ok\ntest b::c ... FAILED\n";
const LISTED: &str = "b::c: a lost write, issue 17\n";

#[test]
fn a_run_passes_without_failures_and_without_a_list() {
    assert!(judge("green", "0", GREEN, None).status.success());
    assert!(judge("empty", "0", GREEN, Some("\n")).status.success());
    assert!(
        !judge("unbuilt", "101", "error: could not compile `x`\n", None)
            .status
            .success()
    );
}

#[test]
fn just_the_listed_tests_are_passed_over_and_printed() {
    let passed = judge("listed", "101", RED, Some(LISTED));
    assert!(passed.status.success());
    assert!(String::from_utf8_lossy(&passed.stdout).contains("b::c: a lost write, issue 17"));
    assert!(!judge("unlisted", "101", RED, None).status.success());
    let another = format!("{RED}test d ... FAILED\n");
    assert!(
        !judge("another", "101", &another, Some(LISTED))
            .status
            .success()
    );
    let unbuilt = format!("{RED}error: could not compile `x`\n");
    assert!(
        !judge("partly", "101", &unbuilt, Some(LISTED))
            .status
            .success()
    );
}

#[test]
fn a_listed_test_that_passes_and_a_fourth_listed_one_fail_the_run() {
    assert!(!judge("passes", "0", GREEN, Some(LISTED)).status.success());
    let names = ["a", "b", "c", "d"];
    let red: String = names
        .iter()
        .map(|name| format!("test {name} ... FAILED\n"))
        .collect();
    let list: String = names
        .iter()
        .map(|name| format!("{name}: cause, issue 1\n"))
        .collect();
    assert!(!judge("four", "101", &red, Some(&list)).status.success());
}
