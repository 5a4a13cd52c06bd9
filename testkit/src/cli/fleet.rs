//! `testkit fleet`: a day on real processes, with its figures and violations.

use super::{latency_line, print_violations, shape, write_history, Arguments};
use crate::fleet::{self, program, Options};
use crate::scenario::{Fault, FaultKind, Scenario};
use std::path::PathBuf;

/// How long a process is down that is killed, in milliseconds.
const DOWN_MS: u64 = 2000;

fn kill(at_ms: u64, target: &str) -> Fault {
    Fault {
        at_ms,
        kind: FaultKind::Kill,
        target: target.into(),
        duration_ms: DOWN_MS,
        amount: 0,
        clock_jump_ms: 0,
    }
}

/// What the command line asks for. Without a scenario the leader is killed after three tenths of the load, and a node
/// after six.
fn options(arguments: &Arguments) -> Result<Options, String> {
    let own_folder = format!("landingdrift-fleet-{}", std::process::id());
    let own_folder = std::env::temp_dir().join(own_folder);
    let folder = arguments.text("folder").map_or(own_folder, PathBuf::from);
    let program = arguments
        .text("program")
        .map_or_else(program, PathBuf::from);
    let seconds = arguments.number("seconds", 20)?;
    let usual = Options {
        seconds,
        faults: vec![kill(seconds * 300, "leader"), kill(seconds * 600, "node:1")],
        settle_seconds: arguments.number("settle", 60)?,
        jobs_per_second: arguments.number("rate", 0)? as f64,
        seed: arguments.number("seed", 1)?,
        verbose: true,
        ..Options::new(shape(arguments)?, program, folder)
    };
    let Some(file) = arguments.text("scenario") else {
        return Ok(usual);
    };
    let scenario = Scenario::load(file).map_err(|error| error.to_string())?;
    Ok(Options {
        shape: scenario.shape,
        seconds: scenario.seconds,
        faults: scenario.faults,
        doomed_share: scenario.doomed_share,
        lease_ms: scenario.lease_ms,
        node_classes: scenario.node_classes,
        has_worker_proxies: scenario.has_worker_proxies,
        clients_call_any_node: scenario.clients_call_any_node,
        ..usual
    })
}

/// Runs a fleet's day; true if no rule was violated.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    let options = options(arguments)?;
    landingdrift::outln!("folder {}", options.folder.display());
    let outcome =
        fleet::run(&options).map_err(|error| format!("the fleet could not be run: {error}"))?;
    write_history(arguments, &outcome.history)?;
    let summary = serde_json::to_string(&outcome.summary).unwrap_or_default();
    landingdrift::outln!("{summary}");
    landingdrift::outln!("{}", latency_line(&outcome.latencies_ms));
    landingdrift::outln!(
        "promises kept {}, missed {}",
        outcome.promises_kept,
        outcome.promises_missed
    );
    print_violations(&outcome.violations);
    let has_passed = outcome.violations.is_empty();
    landingdrift::outln!(
        "{}",
        if has_passed {
            "no rule was violated"
        } else {
            "rules were violated"
        }
    );
    Ok(has_passed)
}
