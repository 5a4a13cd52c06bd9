use super::{quantiles, Arguments};
use crate::simulator::simulate;

pub fn run(w: &Arguments) -> Result<bool, String> {
    let file = w.rest.get(1).ok_or("run needs a scenario FILE")?;
    let s = super::scenario(w, file)?;
    let seed = w.number("seed", 1)?;
    let (report, broken) = simulate(&s, seed);
    if w.has("log") {
        report.log.iter().for_each(|l| landingdrift::outln!("{l}"));
    }
    if let Some(path) = w.text("history") {
        std::fs::write(path, report.history.text())
            .map_err(|e| format!("'{path}' can't be written ({e})"))?;
    }
    landingdrift::outln!(
        "{}",
        serde_json::to_string(&report.summary).unwrap_or_default()
    );
    landingdrift::outln!("{}", quantiles(&report.latencies));
    let starts = report.summary.starts.max(1) as f64;
    let bytes = report.counters.get("core_log_bytes").copied().unwrap_or(0) as f64;
    landingdrift::outln!(
        "{:.1} messages a start, {:.0} bytes of log a job",
        report.messages as f64 / starts,
        bytes / report.summary.accepted.max(1) as f64
    );
    landingdrift::outln!(
        "counters {}",
        serde_json::to_string(&report.counters).unwrap_or_default()
    );
    landingdrift::outln!(
        "history {:016x}, {} events, {} faults",
        report.history.digest(),
        report.history.events.len(),
        report.faults.len()
    );
    broken
        .iter()
        .take(20)
        .for_each(|b| landingdrift::outln!("BROKEN {b}"));
    Ok(broken.is_empty())
}
