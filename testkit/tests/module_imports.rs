//! The modules of `landingdrift` form layers without upward imports, in the order of docs/architecture.md.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The modules from the bottom layer up. Each may import only the modules before it.
const LAYERS: &[&str] = &[
    "settings",
    "wire",
    "sans_io",
    "cluster_time",
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

/// The Rust files in a folder and its subfolders.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("failed to read a folder");
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.expect("failed to read a folder's entry").path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The modules that a source text refers to as `crate::NAME`.
fn imported_modules(text: &str) -> BTreeSet<&str> {
    let after_crate = text.split("crate::").skip(1);
    let names = after_crate.filter_map(|rest| {
        let end = rest.find(|c: char| !c.is_ascii_alphanumeric() && c != '_');
        rest.get(..end?)
    });
    names.filter(|name| LAYERS.contains(name)).collect()
}

/// A message for each import of a higher module in a module's source text.
fn forbidden_imports(module: &str, text: &str) -> Vec<String> {
    let layer = LAYERS.iter().position(|name| *name == module);
    let below = &LAYERS[..layer.expect("the module is not in LAYERS")];
    let imported = imported_modules(text).into_iter();
    let forbidden = imported.filter(|name| *name != module && !below.contains(name));
    forbidden
        .map(|name| format!("{module} imports {name}, which is in a higher layer"))
        .collect()
}

#[test]
fn every_module_imports_only_lower_layers() {
    let mut found = Vec::new();
    for module in LAYERS {
        let folder = source_root().join(module);
        let files = rust_files(&folder);
        assert!(!files.is_empty(), "no sources found for {module}");
        for file in files {
            let text = std::fs::read_to_string(&file).expect("failed to read a source file");
            found.extend(forbidden_imports(module, &text));
        }
    }
    assert_eq!(found, Vec::<String>::new());
}

#[test]
fn every_module_has_a_layer() {
    let lib = std::fs::read_to_string(source_root().join("lib.rs")).expect("failed to read lib.rs");
    let modules = lib.lines().filter_map(|line| line.strip_prefix("pub mod "));
    let modules: BTreeSet<&str> = modules.filter_map(|m| m.strip_suffix(';')).collect();
    assert_eq!(modules, LAYERS.iter().copied().collect());
}

#[test]
fn an_import_of_a_higher_layer_is_reported() {
    let upward = "use crate::daemon::Process;\nuse crate::wire::Body;";
    assert_eq!(
        forbidden_imports("state", upward),
        ["state imports daemon, which is in a higher layer"]
    );
    assert!(forbidden_imports("daemon", upward).is_empty());
}
