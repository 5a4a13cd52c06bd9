//! Simulates every scenario file with each of its seeds, and checks the histories.

use landingdrift_testkit::checkers::Summary;
use landingdrift_testkit::scenario::Scenario;
use landingdrift_testkit::simulator::simulate;
use std::path::Path;

/// The most violations that a failure lists.
const MAX_REPORTED: usize = 5;

fn scenario(path: &Path) -> datatest_stable::Result<()> {
    let scenario = Scenario::load(&path.to_string_lossy()).map_err(|e| e.to_string())?;
    for seed in &scenario.seeds {
        let (report, violations) = simulate(&scenario, *seed);
        if !violations.is_empty() {
            let reported = violations.iter().take(MAX_REPORTED);
            let lines: Vec<String> = reported.map(ToString::to_string).collect();
            return Err(format!(
                "seed {seed}; to reproduce: testkit run {} --seed {seed}\n{}",
                path.display(),
                lines.join("\n")
            )
            .into());
        }
        if !ran_jobs(&report.summary) {
            let summary = &report.summary;
            return Err(format!("seed {seed}: no job was accepted or done: {summary:?}").into());
        }
    }
    Ok(())
}

/// Whether jobs were accepted and done, with at least one start per done job. Checkers report nothing for a day without
/// jobs.
fn ran_jobs(summary: &Summary) -> bool {
    summary.accepted > 0 && summary.done > 0 && summary.starts >= summary.done
}

datatest_stable::harness! { { test = scenario, root = "scenarios", pattern = r"\.toml$" } }
