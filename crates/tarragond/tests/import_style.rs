//! Checks the import style that stable rustfmt cannot check: one import a line, in three groups.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

const STANDARD_CRATES: [&str; 3] = ["std", "core", "alloc"];
const LOCAL_ROOTS: [&str; 3] = ["crate", "self", "super"];

fn collect_source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() && !path.ends_with("target") {
            collect_source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Group of an import: standard library, other crates, this crate.
fn group_of(path: &str) -> usize {
    let root = path.trim_start_matches("::").split("::").next().unwrap_or("").trim_end_matches(';');
    if STANDARD_CRATES.contains(&root) {
        0
    } else if LOCAL_ROOTS.contains(&root) {
        2
    } else {
        1
    }
}

/// Violations of the import style in a file, each with its line number.
fn style_violations(text: &str) -> Vec<String> {
    let mut violations = Vec::new();
    let mut previous: Option<(usize, usize)> = None;
    for (index, line) in text.lines().enumerate() {
        let is_export = line.starts_with("pub use ") || line.starts_with("pub(crate) use ");
        if is_export && line.contains('{') {
            violations.push(format!("line {}: more than one export a line", index + 1));
        }
        let Some(path) = line.strip_prefix("use ") else { continue };
        if path.contains('{') {
            violations.push(format!("line {}: more than one import a line", index + 1));
        }
        let group = group_of(path);
        if let Some((last_index, last_group)) = previous {
            let is_adjacent = index == last_index + 1;
            if group < last_group {
                violations.push(format!("line {}: import is in the wrong group", index + 1));
            } else if is_adjacent != (group == last_group) {
                violations.push(format!(
                    "line {}: import groups must be separated by one blank line",
                    index + 1
                ));
            }
        }
        previous = Some((index, group));
    }
    violations
}

#[test]
fn imports_are_one_a_line_in_three_groups() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).unwrap();
    let mut files = Vec::new();
    collect_source_files(&root.join("crates"), &mut files);
    collect_source_files(&root.join("platform"), &mut files);
    assert!(files.len() > 10, "too few source files were found");
    let mut report = Vec::new();
    for file in files {
        let name = file.strip_prefix(root).unwrap().display().to_string();
        let text = fs::read_to_string(&file).unwrap();
        report.extend(
            style_violations(&text).into_iter().map(|violation| format!("{name}: {violation}")),
        );
    }
    assert!(report.is_empty(), "{}", report.join("\n"));
}

#[test]
fn the_check_finds_nested_mixed_and_misplaced_imports() {
    assert!(!style_violations("use std::{fmt, io};\n").is_empty());
    assert!(!style_violations("use std::fmt;\nuse serde::Serialize;\n").is_empty());
    assert!(!style_violations("use crate::a;\n\nuse std::fmt;\n").is_empty());
    assert!(
        style_violations("use std::fmt;\n\nuse serde::Serialize;\n\nuse crate::a;\n").is_empty()
    );
}
