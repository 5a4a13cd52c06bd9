//! Limits the length of source files: longer ones have to be split into modules.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The limit on the lines of a source file.
const MAX_LINES: usize = 400;

/// Files that may exceed [`MAX_LINES`], each with its own limit. Entries may only be removed or lowered.
const LARGE_FILES: &[(&str, usize)] = &[];

/// The root of the workspace.
fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Adds the line counts of the source files in a folder and its subfolders, by path from the root.
fn add_sources(root: &Path, folder: &str, sources: &mut BTreeMap<String, usize>) {
    let entries = std::fs::read_dir(root.join(folder)).unwrap_or_else(|e| panic!("{folder}: {e}"));
    for entry in entries {
        let entry = entry.expect("failed to read a folder's entry");
        let name = entry.file_name().to_string_lossy().into_owned();
        let path = format!("{folder}/{name}");
        if entry.path().is_dir() {
            if name != "target" {
                add_sources(root, &path, sources);
            }
        } else if name.ends_with(".rs") {
            let text = std::fs::read_to_string(entry.path()).expect("failed to read a source file");
            sources.insert(path, text.lines().count());
        }
    }
}

/// The line counts of all source files of the workspace's members, by path from the root.
fn sources() -> BTreeMap<String, usize> {
    let root = workspace();
    let manifest =
        std::fs::read_to_string(root.join("Cargo.toml")).expect("failed to read Cargo.toml");
    let manifest: toml::Table = manifest.parse().expect("failed to parse Cargo.toml");
    let mut sources = BTreeMap::new();
    for member in manifest["workspace"]["members"]
        .as_array()
        .expect("members is a list")
    {
        add_sources(
            &root,
            member.as_str().expect("a member is a path"),
            &mut sources,
        );
    }
    sources
}

/// Messages on files above their limits and on exceptions that are no longer needed.
fn failures(sources: &BTreeMap<String, usize>, large: &[(&str, usize)]) -> Vec<String> {
    let large: BTreeMap<&str, usize> = large.iter().copied().collect();
    let too_long = sources.iter().filter_map(|(path, lines)| {
        let max = large.get(path.as_str()).copied().unwrap_or(MAX_LINES);
        (*lines > max).then(|| format!("{path} has {lines} lines, the limit is {max}: split it"))
    });
    let obsolete_exceptions = large.keys().filter_map(|path| {
        let lines = sources.get(*path).copied().unwrap_or(0);
        (lines <= MAX_LINES)
            .then(|| format!("{path} no longer exceeds the limit: remove it from the list"))
    });
    too_long.chain(obsolete_exceptions).collect()
}

#[test]
fn no_source_file_exceeds_its_limit() {
    let sources = sources();
    assert!(
        sources.contains_key("testkit/tests/code_shape.rs"),
        "the search must find this file"
    );
    assert_eq!(failures(&sources, LARGE_FILES), Vec::<String>::new());
}

#[test]
fn long_files_and_obsolete_exceptions_are_reported() {
    let sources = BTreeMap::from([
        ("small.rs".to_string(), MAX_LINES),
        ("new.rs".to_string(), MAX_LINES + 1),
        ("kept.rs".to_string(), 500),
        ("grown.rs".to_string(), 501),
        ("shrunk.rs".to_string(), MAX_LINES),
    ]);
    let large = [
        ("kept.rs", 500),
        ("grown.rs", 500),
        ("shrunk.rs", 500),
        ("gone.rs", 500),
    ];
    assert_eq!(
        failures(&sources, &large),
        [
            "grown.rs has 501 lines, the limit is 500: split it",
            "new.rs has 401 lines, the limit is 400: split it",
            "gone.rs no longer exceeds the limit: remove it from the list",
            "shrunk.rs no longer exceeds the limit: remove it from the list",
        ]
    );
}
