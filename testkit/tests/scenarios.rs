//! Every scenario file is rehearsed with its seeds, and every history is checked.

use landingdrift_testkit::scenario::Scenario;
use landingdrift_testkit::simulator::simulate;
use std::path::Path;

fn scenario(path: &Path) -> datatest_stable::Result<()> {
    let s = Scenario::load(&path.to_string_lossy()).map_err(|e| e.to_string())?;
    for seed in &s.seeds {
        let (report, broken) = simulate(&s, *seed);
        let told: Vec<String> = broken.iter().take(5).map(ToString::to_string).collect();
        if !told.is_empty() {
            return Err(format!(
                "seed {seed}; repeat it with: testkit run {} --seed {seed}\n{}",
                path.display(),
                told.join("\n")
            )
            .into());
        }
        let s = &report.summary;
        if s.accepted == 0 || s.done == 0 || s.starts < s.done {
            return Err(format!("seed {seed}: nothing was served: {s:?}").into());
        }
    }
    Ok(())
}

datatest_stable::harness! { { test = scenario, root = "scenarios", pattern = r"\.toml$" } }
