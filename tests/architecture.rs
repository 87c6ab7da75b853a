//! Checks that each folder of the core imports only folders that precede it in the table of
//! `docs/architecture.md`.

#![allow(
    clippy::cast_possible_truncation,
    clippy::indexing_slicing,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    clippy::unwrap_used,
    reason = "a test fails by panicking, and states a whole case in one place"
)]

use std::path::{Path, PathBuf};

/// Head row of the table of folders. A folder may import those in the rows above its own.
const TABLE_HEADING: &str = "| folder | owns |";

#[test]
fn folders_of_the_core_import_only_folders_above_them_in_the_table() {
    let core = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/core");
    let folders = documented_folders();
    assert_eq!(
        folders.len(),
        module_folders(&core).len(),
        "each folder of the core has a row in the table"
    );
    let mut forbidden_imports = Vec::new();
    for (position, folder) in folders.iter().enumerate() {
        for file in source_files(&core.join(folder)) {
            let text = code_without_comments(&file);
            for imported in folders.iter().skip(position + 1) {
                if text.contains(&format!("crate::core::{imported}::")) {
                    forbidden_imports.push(format!("{} imports {imported}", file.display()));
                }
            }
        }
    }
    assert!(forbidden_imports.is_empty(), "{forbidden_imports:#?}");
}

/// Returns the folders in the order of the table.
fn documented_folders() -> Vec<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/architecture.md");
    let text = std::fs::read_to_string(page).unwrap();
    let table = text.split(TABLE_HEADING).nth(1).unwrap();
    let rows = table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'));
    let folder_name = |row: &str| row.split('`').nth(1).unwrap().to_owned();
    rows.map(folder_name).collect()
}

/// Returns the folders directly inside `folder` that are Rust modules.
fn module_folders(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    entries
        .filter(|path| path.join("mod.rs").is_file())
        .collect()
}

/// Returns the source files inside a folder at any depth, without unit tests, which may import any folder.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(source_files(&path));
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
