//! Source files stay small: one that has grown large is split into modules, not let grow.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The most lines of a source file.
const MAX_LINES: usize = 400;

/// Files that are larger, with the lines that they may have. Entries go or shrink; none is added and none grows.
const LARGE_FILES: &[(&str, usize)] = &[];

/// The root of the workspace.
fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Adds the source files of a folder, by their paths from the root, with their numbers of lines.
fn add_sources(root: &Path, folder: &str, sources: &mut BTreeMap<String, usize>) {
    let entries = std::fs::read_dir(root.join(folder)).unwrap_or_else(|e| panic!("{folder}: {e}"));
    for entry in entries {
        let entry = entry.expect("an entry of the folder can be read");
        let name = entry.file_name().to_string_lossy().into_owned();
        let path = format!("{folder}/{name}");
        if entry.path().is_dir() {
            if name != "target" {
                add_sources(root, &path, sources);
            }
        } else if name.ends_with(".rs") {
            let text = std::fs::read_to_string(entry.path()).expect("a source file is text");
            sources.insert(path, text.lines().count());
        }
    }
}

/// All source files of the workspace's members.
fn sources() -> BTreeMap<String, usize> {
    let root = workspace();
    let manifest = std::fs::read_to_string(root.join("Cargo.toml")).expect("the manifest is there");
    let manifest: toml::Table = manifest.parse().expect("the manifest is TOML");
    let mut sources = BTreeMap::new();
    for member in manifest["workspace"]["members"].as_array().expect("a list") {
        add_sources(&root, member.as_str().expect("a folder"), &mut sources);
    }
    sources
}

/// What is wrong with the sizes of source files, given the large ones that are let be.
fn failures(sources: &BTreeMap<String, usize>, large: &[(&str, usize)]) -> Vec<String> {
    let large: BTreeMap<&str, usize> = large.iter().copied().collect();
    let grown = sources.iter().filter_map(|(path, lines)| {
        let most = large.get(path.as_str()).copied().unwrap_or(MAX_LINES);
        (*lines > most).then(|| format!("{path} has {lines} lines, more than {most}: split it"))
    });
    let needless = large.keys().filter_map(|path| {
        let lines = sources.get(*path).copied().unwrap_or(0);
        (lines <= MAX_LINES).then(|| format!("{path} isn't large any more: take it off the list"))
    });
    grown.chain(needless).collect()
}

#[test]
fn no_source_file_is_large_that_was_not_before() {
    let sources = sources();
    assert!(
        sources.contains_key("testkit/tests/code_shape.rs"),
        "this very file is found"
    );
    assert_eq!(failures(&sources, LARGE_FILES), Vec::<String>::new());
}

#[test]
fn files_that_grow_and_needless_entries_are_reported() {
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
            "grown.rs has 501 lines, more than 500: split it",
            "new.rs has 401 lines, more than 400: split it",
            "gone.rs isn't large any more: take it off the list",
            "shrunk.rs isn't large any more: take it off the list",
        ]
    );
}
