//! Reruns a recording in virtual time. Jobs, cancellations, configuration changes and workers are taken from the
//! recording; all scheduling decisions are made again.
//!
//! - `simulation` runs the only node and simulates the replica and the workers around it.
//! - `simulated_worker` simulates one worker.
//! - `recorded_runs` provides the outcomes and durations of each task's runs in the recording.
//! - `summary` is the summary of a recording or a rerun.

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

/// Virtual milliseconds between two steps: the tick interval under the default bounds.
const STEP_MS: u64 = 20;
/// Virtual milliseconds for which a rerun continues after the last recorded entry, so that running jobs can end.
const TIME_AFTER_LAST_ENTRY_MS: u64 = 120_000;

/// Reruns a recording with the given settings, and with another configuration if one is given; returns the summary.
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
    let until = last.map_or(0, |last| simulation.since_start(last.at)) + TIME_AFTER_LAST_ENTRY_MS;
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

/// The entry as if its order was received at a log index of the rerun, which differ from those of the recording.
fn received_now(entry: &Command, applied_index: u64) -> Command {
    match entry {
        Command::ReceivedOrder { order, .. } => Command::ReceivedOrder {
            order: order.clone(),
            seen: applied_index,
        },
        other => other.clone(),
    }
}

/// Replays an entry with an external cause: a configuration change, a job, a cancellation, or the registration or
/// loss of a worker. Entries with the cluster's own decisions are skipped, because the rerun makes those decisions itself.
/// Recorded configuration changes are replayed only if `with_config_changes` is set.
fn replay_entry(simulation: &mut Simulation, entry: &Command, with_config_changes: bool) {
    match entry.action() {
        Command::UpdateConfig { .. } if with_config_changes => {
            simulation.append(entry);
        }
        Command::CancelJob { .. } => {
            simulation.append(&received_now(entry, simulation.applied_index()));
        }
        Command::SubmitJob { spec, hash, .. } => {
            let seen = simulation.applied_index();
            simulation.append(&Command::SubmitJob {
                spec: spec.clone(),
                hash: *hash,
                seen,
            });
        }
        Command::UpdateWorker { info, .. } => simulation.update_worker(info),
        Command::MarkWorkerLost { worker, .. } => simulation.stop_heartbeats(worker),
        _ => {}
    }
}
