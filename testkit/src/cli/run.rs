//! `testkit run`: one simulated day, with its figures and violations.

use super::{latency_line, print_violations, write_history, Arguments};
use crate::simulator::{simulate, Report};

/// Simulates a day; true if no rule was violated.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    let file = arguments.file("run")?;
    let scenario = super::scenario(arguments, file)?;
    let seed = arguments.number("seed", 1)?;
    let (report, violations) = simulate(&scenario, seed);
    if arguments.has("log") {
        for line in &report.log {
            landingdrift::outln!("{line}");
        }
    }
    write_history(arguments, &report.history)?;
    print_figures(&report);
    print_violations(&violations);
    Ok(violations.is_empty())
}

fn print_figures(report: &Report) {
    let summary = serde_json::to_string(&report.summary).unwrap_or_default();
    landingdrift::outln!("{summary}");
    landingdrift::outln!("{}", latency_line(&report.latencies_ms));
    let starts = report.summary.starts.max(1) as f64;
    let log_bytes = report.counters.get("core_log_bytes").copied().unwrap_or(0) as f64;
    landingdrift::outln!(
        "{:.1} messages a start, {:.0} bytes of log a job",
        report.messages as f64 / starts,
        log_bytes / report.summary.accepted.max(1) as f64
    );
    let counters = serde_json::to_string(&report.counters).unwrap_or_default();
    landingdrift::outln!("counters {counters}");
    landingdrift::outln!(
        "history {:016x}, {} events, {} faults",
        report.history.digest(),
        report.history.events.len(),
        report.faults.len()
    );
}
