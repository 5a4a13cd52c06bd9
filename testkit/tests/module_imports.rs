//! The modules of `landingdrift` import one way only, in the order that docs/architecture.md shows.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The modules from the bottom up. Each may import those before it, and no others.
const LAYERS: &[&str] = &[
    "settings",
    "wire",
    "sans_io",
    "config",
    "state",
    "snapshot_chunks",
    "peer_sampler",
    "worker_proxy",
    "consensus",
    "node",
    "disk",
    "replay",
    "operator",
    "daemon",
];

fn source_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../landingdrift/src")
}

/// The Rust files of a folder and its folders.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("the folder can be read");
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.expect("an entry of the folder can be read").path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The modules of the crate that a text names by `crate::`.
fn imported_modules(text: &str) -> BTreeSet<&str> {
    let after_crate = text.split("crate::").skip(1);
    let names = after_crate.filter_map(|rest| {
        let end = rest.find(|c: char| !c.is_ascii_alphanumeric() && c != '_');
        rest.get(..end?)
    });
    names.filter(|name| LAYERS.contains(name)).collect()
}

/// What a module imports although it stands below it.
fn forbidden_imports(module: &str, text: &str) -> Vec<String> {
    let layer = LAYERS.iter().position(|name| *name == module);
    let below = &LAYERS[..layer.expect("a module of the list")];
    let imported = imported_modules(text).into_iter();
    let forbidden = imported.filter(|name| *name != module && !below.contains(name));
    forbidden
        .map(|name| format!("{module} imports {name}, which stands above it"))
        .collect()
}

#[test]
fn every_module_imports_only_those_below_it() {
    let mut found = Vec::new();
    for module in LAYERS {
        let folder = source_root().join(module);
        let files = rust_files(&folder);
        assert!(!files.is_empty(), "{module} has sources");
        for file in files {
            let text = std::fs::read_to_string(&file).expect("a source file is text");
            found.extend(forbidden_imports(module, &text));
        }
    }
    assert_eq!(found, Vec::<String>::new());
}

#[test]
fn every_module_has_its_place() {
    let lib = std::fs::read_to_string(source_root().join("lib.rs")).expect("lib.rs is there");
    let modules = lib.lines().filter_map(|line| line.strip_prefix("pub mod "));
    let modules: BTreeSet<&str> = modules.filter_map(|m| m.strip_suffix(';')).collect();
    assert_eq!(modules, LAYERS.iter().copied().collect());
}

#[test]
fn an_import_of_a_module_above_is_found() {
    let upward = "use crate::daemon::Process;\nuse crate::wire::Body;";
    assert_eq!(
        forbidden_imports("state", upward),
        ["state imports daemon, which stands above it"]
    );
    assert!(forbidden_imports("daemon", upward).is_empty());
}
