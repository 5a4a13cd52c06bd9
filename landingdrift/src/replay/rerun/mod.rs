//! A day in virtual time: the jobs, cancels, changes and workers as recorded, decided anew.
//!
//! - `stage` is the replica's part: it keeps the cluster state, and gives the node what a replica would,
//! - `hands` are the workers' part,
//! - `runs` says how each task's runs went on the recorded day,
//! - `story` is what a day came to.

mod hands;
mod runs;
mod stage;
mod story;

pub use story::Summary;

use super::{Day, Line};
use crate::config::ClusterConfig;
use crate::sans_io::Msg;
use crate::settings::Settings;
use crate::state::Command;
use stage::Stage;
use std::collections::VecDeque;

/// Virtual milliseconds from one look at the time to the next: what a part's tick is by the default bounds.
const STEP: u64 = 20;
/// Virtual milliseconds for which a rerun goes on after the last recorded entry, so that what is under way can end.
const AFTER_LAST_ENTRY: u64 = 120_000;

/// Decides a day anew, under another configuration or other settings where they are given.
pub fn rerun(day: &Day, config: Option<&ClusterConfig>, settings: &Settings) -> Summary {
    let mut stage = Stage::new(day, settings);
    if let Some(config) = config {
        stage.configure(config);
    }
    let mut lines: VecDeque<&Line> = day.lines.iter().collect();
    let last = day.lines.last();
    let until = last.map_or(0, |line| stage.since_start(line.at)) + AFTER_LAST_ENTRY;
    while stage.elapsed() < until {
        stage.advance(STEP);
        while let Some(line) = lines.pop_front_if(|line| line.at <= stage.agreed()) {
            replay_entry(&mut stage, &line.entry, config.is_none());
        }
        stage.leases();
        stage.watch();
        stage.step(Msg::Tick);
        stage.work();
        if lines.is_empty() && stage.all_is_done() {
            break;
        }
    }
    stage.story()
}

/// What came from outside on the recorded day comes again: changes (`configured`: unless another configuration is
/// tried), jobs, cancels and workers. The system's own decisions are made anew.
fn replay_entry(stage: &mut Stage, entry: &Command, configured: bool) {
    match entry.action() {
        Command::UpdateConfig { .. } if configured => {
            stage.enter(entry);
        }
        Command::CancelJob { .. } => {
            stage.enter(entry);
        }
        Command::AcceptJob { spec, hash, .. } => {
            let seen = stage.place();
            stage.enter(&Command::AcceptJob {
                spec: spec.clone(),
                hash: *hash,
                seen,
            });
        }
        Command::UpdateWorker { info, .. } => stage.hand(info),
        Command::WorkerLost { worker, .. } => stage.silence(worker),
        _ => {}
    }
}
