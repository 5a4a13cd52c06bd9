//! docs/promises.md lists exactly the existing scenarios, checkers, kinds of faults and test files.

use landingdrift_testkit::checkers::ALL;
use landingdrift_testkit::scenario::FaultKind;
use std::collections::BTreeSet;
use std::path::Path;

/// The names of the files in a folder that end with `suffix`.
fn file_names(folder: &str, suffix: &str) -> BTreeSet<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    std::fs::read_dir(&path)
        .unwrap_or_else(|e| panic!("{}: {e}", path.display()))
        .filter_map(Result::ok)
        .map(|entry| entry.file_name().to_string_lossy().into_owned())
        .filter(|name| name.ends_with(suffix))
        .collect()
}

#[test]
fn promises_page_lists_all_scenarios_checkers_faults_and_tests() {
    let text =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/promises.md"))
            .expect("failed to read docs/promises.md");
    let named_on_page = |kind: &str| -> BTreeSet<String> {
        text.split('`')
            .skip(1)
            .step_by(2)
            .filter_map(|quoted| {
                quoted
                    .strip_prefix(kind)
                    .and_then(|rest| rest.strip_prefix(':'))
                    .map(str::to_string)
            })
            .collect()
    };
    let scenarios: BTreeSet<String> = file_names("scenarios", ".toml")
        .iter()
        .map(|file| file.trim_end_matches(".toml").to_string())
        .collect();
    assert_eq!(named_on_page("scenario"), scenarios, "scenarios");
    assert_eq!(
        named_on_page("checker"),
        ALL.iter().map(|checker| checker.rule.to_string()).collect(),
        "checkers"
    );
    assert_eq!(
        named_on_page("fault"),
        FaultKind::BY_INDEX
            .iter()
            .chain(FaultKind::NAMED_ONLY)
            .map(|kind| kind.name())
            .collect(),
        "kinds of faults"
    );
    let tests: BTreeSet<String> = ["tests", "../landingdrift/tests", "../platform/tests"]
        .iter()
        .flat_map(|folder| file_names(folder, ".rs"))
        .collect();
    assert_eq!(named_on_page("test"), tests, "tests");
}
