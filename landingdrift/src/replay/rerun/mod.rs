//! Reruns a recording in virtual time: jobs, cancels, changes and workers are as recorded, every decision is made
//! again.
//!
//! - `simulation` has the only node, and plays the replica and the workers around it,
//! - `simulated_worker` is one worker,
//! - `recorded_runs` says how each task's runs went in the recording,
//! - `summary` is what a recording or a rerun comes to.

mod recorded_runs;
mod simulated_worker;
mod simulation;
mod summary;

pub use summary::Summary;

use super::{RecordedEntry, Recording};
use crate::config::ClusterConfig;
use crate::sans_io::Msg;
use crate::settings::Settings;
use crate::state::Command;
use simulation::Simulation;
use std::collections::VecDeque;

/// Virtual milliseconds from one step to the next: a part's tick by the default bounds.
const STEP_MS: u64 = 20;
/// Virtual milliseconds for which a rerun continues after the last recorded entry, so that what runs can end.
const AFTER_LAST_ENTRY_MS: u64 = 120_000;

/// Reruns a recording, under another configuration or other settings where they are given.
pub fn rerun(
    recording: &Recording,
    config: Option<&ClusterConfig>,
    settings: &Settings,
) -> Summary {
    let mut simulation = Simulation::new(recording, settings);
    if let Some(config) = config {
        simulation.configure(config);
    }
    let mut entries: VecDeque<&RecordedEntry> = recording.entries.iter().collect();
    let last = recording.entries.last();
    let until = last.map_or(0, |last| simulation.since_start(last.at)) + AFTER_LAST_ENTRY_MS;
    while simulation.elapsed() < until {
        simulation.advance(STEP_MS);
        while let Some(recorded) =
            entries.pop_front_if(|recorded| recorded.at <= simulation.cluster_time())
        {
            replay_entry(&mut simulation, &recorded.entry, config.is_none());
        }
        simulation.grant_leases();
        simulation.send_watch_batch();
        simulation.step(Msg::Tick);
        simulation.step_workers();
        if entries.is_empty() && simulation.all_jobs_ended() {
            break;
        }
    }
    simulation.summary()
}

/// Replays an entry that came from outside: a change, a job, a cancel or what became of a worker. The cluster's own
/// decisions are made again, and changes are left out (`with_changes`) where another configuration is tried.
fn replay_entry(simulation: &mut Simulation, entry: &Command, with_changes: bool) {
    match entry.action() {
        Command::UpdateConfig { .. } if with_changes => {
            simulation.append(entry);
        }
        Command::CancelJob { .. } => {
            simulation.append(entry);
        }
        Command::AcceptJob { spec, hash, .. } => {
            let seen = simulation.applied_index();
            simulation.append(&Command::AcceptJob {
                spec: spec.clone(),
                hash: *hash,
                seen,
            });
        }
        Command::UpdateWorker { info, .. } => simulation.update_worker(info),
        Command::WorkerLost { worker, .. } => simulation.silence_worker(worker),
        _ => {}
    }
}
