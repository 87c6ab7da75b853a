//! The folders of the core import one another in one direction only, as `docs/architecture.md` lists them.

#![allow(
    clippy::cast_possible_truncation,
    clippy::indexing_slicing,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    clippy::unwrap_used,
    reason = "a test fails by panicking, and states a whole case in one place"
)]

use std::path::{Path, PathBuf};

/// Heading of the column whose rows are the folders, lowest first.
const TABLE_HEADING: &str = "| folder | owns |";

#[test]
fn folders_of_the_core_import_only_folders_above_them_in_the_table() {
    let core = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/core");
    let folders = documented_folders();
    assert_eq!(
        folders.len(),
        folders_in(&core).len(),
        "all folders are in the table"
    );
    let mut upward = Vec::new();
    for (position, folder) in folders.iter().enumerate() {
        for file in sources(&core.join(folder)) {
            let text = code_without_comments(&file);
            for imported in folders.iter().skip(position + 1) {
                if text.contains(&format!("crate::core::{imported}::")) {
                    upward.push(format!("{} imports {imported}", file.display()));
                }
            }
        }
    }
    assert!(upward.is_empty(), "{upward:#?}");
}

fn documented_folders() -> Vec<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/architecture.md");
    let text = std::fs::read_to_string(page).unwrap();
    let table = text.split(TABLE_HEADING).nth(1).unwrap();
    let rows = table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'));
    let first_code = |row: &str| row.split('`').nth(1).unwrap().to_owned();
    rows.map(first_code).collect()
}

fn folders_in(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    entries
        .filter(|path| path.join("mod.rs").is_file())
        .collect()
}

/// Source files of a folder, without unit tests: those may use anything.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(sources(&path));
        } else if !path.ends_with("tests.rs") {
            files.push(path);
        }
    }
    files
}

fn code_without_comments(file: &Path) -> String {
    let text = std::fs::read_to_string(file).unwrap();
    let code = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"));
    code.collect::<Vec<_>>().join("\n")
}
