//! Detection of changes of the settings file. Guards against settings that are never applied because no signal announced
//! them, and against a file that is applied while it is being written.

use landingdrift::daemon::SettingsSource;
use landingdrift::settings::Settings;
use std::fs;
use std::path::PathBuf;

fn file(test: &str) -> PathBuf {
    let name = format!("settings-file-{test}-{}", std::process::id());
    std::env::temp_dir().join(name)
}

fn load() -> Result<Vec<Settings>, String> {
    Ok(Vec::new())
}

#[test]
fn a_changed_file_is_noticed_once_it_stays_the_same() {
    let file = file("changed");
    fs::write(&file, "seeds = []").expect("failed to write");
    let mut source = SettingsSource::new(Some(file.clone()), &load);
    source.load().expect("loads");
    assert!(!source.has_changed() && !source.has_changed());
    fs::write(&file, "seeds = [").expect("failed to write");
    assert!(!source.has_changed(), "it may still be written");
    fs::write(&file, "seeds = [\"10.0.0.1:1\"]").expect("failed to write");
    assert!(!source.has_changed(), "it has just been written");
    assert!(source.has_changed());
    source.load().expect("loads");
    assert!(!source.has_changed(), "its change was applied");
    let _ = fs::remove_file(&file);
}

#[test]
fn a_change_before_the_first_check_is_noticed() {
    let file = file("first");
    fs::write(&file, "log = \"info\"").expect("failed to write");
    let mut source = SettingsSource::new(Some(file.clone()), &load);
    assert!(!source.has_changed());
    assert!(source.has_changed());
    let _ = fs::remove_file(&file);
}

#[test]
fn a_missing_file_counts_as_unchanged() {
    let mut source = SettingsSource::new(Some(file("missing")), &load);
    assert!(!source.has_changed() && !source.has_changed());
    let mut without_file = SettingsSource::new(None, &load);
    assert!(!without_file.has_changed() && !without_file.has_changed());
}
