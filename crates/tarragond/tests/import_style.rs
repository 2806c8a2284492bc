//! Guards the import style that stable rustfmt cannot check: one import a line, in three groups.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

const STANDARD: [&str; 3] = ["std", "core", "alloc"];
const OWN: [&str; 3] = ["crate", "self", "super"];

fn source_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() && !path.ends_with("target") {
            source_files(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Group of an import: standard library, other crates, this crate.
fn group_of(path: &str) -> usize {
    let first =
        path.trim_start_matches("::").split("::").next().unwrap_or("").trim_end_matches(';');
    if STANDARD.contains(&first) {
        0
    } else if OWN.contains(&first) {
        2
    } else {
        1
    }
}

/// Faults in the imports of a file, each with its line number.
fn faults(text: &str) -> Vec<String> {
    let mut faults = Vec::new();
    let mut previous: Option<(usize, usize)> = None;
    for (at, line) in text.lines().enumerate() {
        let is_export = line.starts_with("pub use ") || line.starts_with("pub(crate) use ");
        if is_export && line.contains('{') {
            faults.push(format!("line {}: more than one export a line", at + 1));
        }
        let Some(path) = line.strip_prefix("use ") else { continue };
        if path.contains('{') {
            faults.push(format!("line {}: more than one import a line", at + 1));
        }
        let group = group_of(path);
        if let Some((last_at, last_group)) = previous {
            let is_adjacent = at == last_at + 1;
            if group < last_group {
                faults.push(format!("line {}: import stands in the wrong group", at + 1));
            } else if is_adjacent != (group == last_group) {
                faults.push(format!("line {}: groups are split by one blank line", at + 1));
            }
        }
        previous = Some((at, group));
    }
    faults
}

#[test]
fn imports_are_one_a_line_in_three_groups() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).unwrap();
    let mut files = Vec::new();
    source_files(&root.join("crates"), &mut files);
    source_files(&root.join("platform"), &mut files);
    assert!(files.len() > 10, "the source tree was not found");
    let mut report = Vec::new();
    for file in files {
        let name = file.strip_prefix(root).unwrap().display().to_string();
        let text = fs::read_to_string(&file).unwrap();
        report.extend(faults(&text).into_iter().map(|fault| format!("{name}: {fault}")));
    }
    assert!(report.is_empty(), "{}", report.join("\n"));
}

#[test]
fn the_check_finds_nested_mixed_and_misplaced_imports() {
    assert!(!faults("use std::{fmt, io};\n").is_empty());
    assert!(!faults("use std::fmt;\nuse serde::Serialize;\n").is_empty());
    assert!(!faults("use crate::a;\n\nuse std::fmt;\n").is_empty());
    assert!(faults("use std::fmt;\n\nuse serde::Serialize;\n\nuse crate::a;\n").is_empty());
}
