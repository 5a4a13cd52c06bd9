//! `testkit sweep`: a scenario with many seeds; the faults of a failing one are shrunk.

use super::{for_each_seed, Arguments};
use crate::checkers::{Summary, Violation};
use crate::scenario::{Fault, Scenario};
use crate::simulator::{simulate, Report};
use std::collections::BTreeMap;

/// At most so many failing seeds are listed.
const MOST_LISTED: usize = 40;

/// The figures of all days together, by their names.
#[derive(Default)]
struct Figures(BTreeMap<&'static str, u64>);

impl Figures {
    fn add(&mut self, summary: &Summary) {
        let sums = [
            ("accepted", summary.accepted),
            ("starts", summary.starts),
            ("unsure", summary.unsure),
        ];
        for (name, value) in sums {
            *self.0.entry(name).or_default() += value as u64;
        }
        let longest = [
            (
                "latest start after a cancel, ms",
                summary.latest_start_after_cancel_ms,
            ),
            (
                "latest start after leaving, ms",
                summary.latest_start_after_leaving_ms,
            ),
            ("longest outage, ms", summary.longest_outage_ms),
            (
                "latest start after emptying a zone, ms",
                summary.latest_start_after_emptying_ms,
            ),
            (
                "latest old version on a ready node, ms",
                summary.latest_old_version_ms,
            ),
            (
                "longest unknown state of an accepted job, ms",
                summary.longest_unknown_state_ms,
            ),
            (
                "longest time a gang's member was alone, ms",
                summary.longest_alone_ms,
            ),
            (
                "longest time a gang's member was alone when a fault struck, ms",
                summary.longest_alone_struck_ms,
            ),
        ];
        for (name, value) in longest {
            let most = self.0.entry(name).or_default();
            *most = value.max(*most);
        }
    }
}

/// What is kept of a day.
struct Day {
    summary: Summary,
    has_failed: bool,
}

/// Simulates a scenario with consecutive seeds; true if no rule was violated.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    let file = arguments.file("sweep")?;
    let scenario = super::scenario(arguments, file)?;
    let first = arguments.number("from", 1)?;
    let count = arguments.number("seeds", 100)?;
    let threads = arguments.number("threads", 8)?.max(1);

    let seeds = first..first.saturating_add(count);
    let days = for_each_seed(seeds.clone(), threads, |seed| {
        let (report, violations) = simulate(&scenario, seed);
        if let Some(violation) = violations.first() {
            landingdrift::outln!("{}", explanation(&scenario, file, seed, &report, violation));
        }
        Day {
            summary: report.summary,
            has_failed: !violations.is_empty(),
        }
    })?;
    let mut figures = Figures::default();
    for day in &days {
        figures.add(&day.summary);
    }
    let failed = seeds.zip(&days).filter(|(_, day)| day.has_failed);
    let failed: Vec<u64> = failed.map(|(seed, _)| seed).collect();
    landingdrift::outln!(
        "{count} seeds from {first}: {} violated a rule {:?}",
        failed.len(),
        &failed[..failed.len().min(MOST_LISTED)]
    );
    let json = serde_json::to_string(&figures.0).unwrap_or_default();
    landingdrift::outln!("{json}");
    Ok(failed.is_empty())
}

/// A violation, the command that repeats it, and the faults that it needs.
fn explanation(
    scenario: &Scenario,
    file: &str,
    seed: u64,
    report: &Report,
    violation: &Violation,
) -> String {
    let needed = shrink(scenario, seed, &report.faults, violation.rule);
    let faults = needed.iter().map(|fault| {
        let toml = toml::to_string(fault).unwrap_or_default();
        format!("[[faults]]\n{toml}")
    });
    let last = if scenario.has_last_fault {
        " --last"
    } else {
        ""
    };
    let random = scenario.random_faults;
    let shape = scenario.shape.name();
    format!(
        "seed {seed}: {violation}\n  repeat: testkit run {file} --seed {seed} --random {random} --shape {shape}{last} --log\n  shrunk to {} of {} faults:\n{}",
        needed.len(),
        report.faults.len(),
        faults.collect::<String>()
    )
}

/// Leaves faults out one by one as long as the same rule is still violated.
fn shrink(scenario: &Scenario, seed: u64, faults: &[Fault], rule: &str) -> Vec<Fault> {
    let violates = |faults: &[Fault]| {
        let day = Scenario {
            faults: faults.to_vec(),
            random_faults: 0,
            has_last_fault: false,
            ..scenario.clone()
        };
        let (_, violations) = simulate(&day, seed);
        violations.iter().any(|violation| violation.rule == rule)
    };
    let mut needed = faults.to_vec();
    if !violates(&needed) {
        return needed;
    }
    let mut next = 0;
    while next < needed.len() {
        let mut fewer = needed.clone();
        fewer.remove(next);
        if violates(&fewer) {
            needed = fewer;
        } else {
            next += 1;
        }
    }
    needed
}
