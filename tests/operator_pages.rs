//! Checks that the operators' pages list exactly the log messages that the program can print.

#![allow(
    clippy::cast_possible_truncation,
    clippy::indexing_slicing,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    clippy::unwrap_used,
    reason = "a test fails by panicking, and states a whole case in one place"
)]

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Levels that are printed with the default `LOG_LEVEL`.
const DOCUMENTED_LEVELS: [&str; 3] = ["info", "warn", "error"];

/// The pages that list log messages, each in the first column of the tables under [`HEADING`].
const PAGES: [&str; 3] = [
    "docs/operations.md",
    "docs/operations-failure-detection.md",
    "docs/operations-team-limits.md",
];
const HEADING: &str = "## Log messages";

#[test]
fn documented_log_messages_are_the_printed_ones() {
    let printed = printed_messages();
    let documented = documented_messages();
    let undocumented: Vec<_> = printed.difference(&documented).collect();
    let unprinted: Vec<_> = documented.difference(&printed).collect();
    assert!(
        printed.len() > 10,
        "too few messages were found in the source files"
    );
    assert!(
        undocumented.is_empty() && unprinted.is_empty(),
        "not on the operators' pages: {undocumented:#?}\nnot printed: {unprinted:#?}"
    );
}

fn repository() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the constant messages of all events of a documented level in the source files.
fn printed_messages() -> BTreeSet<String> {
    let mut messages = BTreeSet::new();
    for file in source_files(&repository().join("src")) {
        let text = std::fs::read_to_string(&file).unwrap();
        for level in DOCUMENTED_LEVELS {
            for event in text.split(&format!("tracing::{level}!(")).skip(1) {
                let message = last_string_literal(event);
                messages.insert(message.unwrap_or_else(|| panic!("{}: {event}", file.display())));
            }
        }
    }
    messages
}

/// Returns the last string literal among the arguments of a macro. `arguments` begins after the opening
/// parenthesis.
fn last_string_literal(arguments: &str) -> Option<String> {
    let mut depth = 1;
    let mut literal = None;
    let mut rest = arguments;
    while depth > 0 {
        let at = rest.find(['"', '(', ')'])?;
        let found = &rest[at..=at];
        rest = &rest[at + 1..];
        match found {
            "(" => depth += 1,
            ")" => depth -= 1,
            _ => {
                let end = rest.find('"')?;
                literal = Some(rest[..end].to_owned());
                rest = &rest[end + 1..];
            }
        }
    }
    literal
}

/// Returns the Rust source files inside a folder at any depth, without unit tests.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && !path.ends_with("tests.rs")
        {
            files.push(path);
        }
    }
    files
}

/// Returns the messages in the first column of the tables under [`HEADING`].
fn documented_messages() -> BTreeSet<String> {
    let mut messages = BTreeSet::new();
    for page in PAGES {
        let text = std::fs::read_to_string(repository().join(page)).unwrap();
        let section = text.split(HEADING).nth(1).unwrap_or_default();
        let section = section.split("\n## ").next().unwrap_or_default();
        let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
        messages.extend(rows.filter_map(|row| Some(row.split_once('`')?.0.to_owned())));
    }
    messages
}
