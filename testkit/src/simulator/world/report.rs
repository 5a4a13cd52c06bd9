//! The report of a simulated day.

use super::observe::change_mark;
use super::{Process, World};
use crate::checkers::{summary, Summary};
use crate::history::{Event, FinalState, History};
use crate::scenario::Fault;
use crate::simulator::bounds;
use landingdrift::state::{AttemptState, ClusterState, JobState};
use std::collections::BTreeMap;

/// The results of a day.
pub struct Report {
    pub history: History,
    pub summary: Summary,
    /// The latency of each job that is done, in milliseconds, in the order of their ends.
    pub latencies_ms: Vec<u64>,
    /// The same, by job id.
    pub latency_of_job_ms: BTreeMap<String, u64>,
    /// The sums of all parts' counters, by role and name.
    pub counters: BTreeMap<String, u64>,
    /// The faults of the scenario, with the sampled ones.
    pub faults: Vec<Fault>,
    /// The log: lines of the parts, the faults, and the jobs that are still open at the end.
    pub log: Vec<String>,
    /// The day exceeded the limit on actions: the parts keep each other busy without end.
    pub is_livelocked: bool,
    /// The number of speculative copies that ended before the original run.
    pub copies_won: u64,
    /// The number of messages between the system's processes.
    pub messages: u64,
}

impl World {
    /// Ends the day with the final state: the leader's, or that of the replica that has applied most.
    pub(super) fn into_report(mut self, is_livelocked: bool) -> Report {
        let mut counters: BTreeMap<String, u64> = BTreeMap::new();
        for process in &mut self.processes {
            process.accumulate_counters();
            for (name, value) in &process.counters {
                *counters.entry(name.clone()).or_default() += value;
            }
        }
        let replicas = self.processes.iter().filter_map(Process::replica);
        let best =
            replicas.max_by_key(|replica| (replica.is_leader(), replica.state().applied_index));
        let state = best.map(|replica| replica.state().clone());
        let state = state.unwrap_or_default();
        for line in open_jobs(&state) {
            self.log_line(&line);
        }
        self.record(Event::DayEnded {
            version: state.version,
            change: change_mark(&state),
            jobs: final_states(&state),
        });
        let queues = state.queues.values();
        let observations = self.client.observations;
        Report {
            summary: summary(&self.history, &bounds()),
            latencies_ms: observations.latencies_ms,
            latency_of_job_ms: observations.latency_of_job_ms,
            history: self.history,
            counters,
            faults: self.faults,
            log: self.log,
            is_livelocked,
            copies_won: queues.map(|queue| queue.copies_won).sum(),
            messages: self.messages,
        }
    }
}

/// A log line for each job that is still open, with its attempts, for debugging.
fn open_jobs(state: &ClusterState) -> Vec<String> {
    let jobs = state
        .unfinished_jobs
        .iter()
        .filter_map(|id| state.jobs.get(id));
    jobs.map(|job| {
        let json = serde_json::to_string(job).unwrap_or_default();
        format!("still open: {json}")
    })
    .collect()
}

fn final_states(state: &ClusterState) -> BTreeMap<String, FinalState> {
    let kept = state.jobs.iter().map(|(id, job)| {
        let mut attempts = job.tasks.iter().flat_map(|task| &task.attempts);
        let unsure = attempts.any(|attempt| attempt.state == AttemptState::Unsure);
        let state = state_name(job.state);
        (id.clone(), FinalState { state, unsure })
    });
    let removed = state.tombstones.iter().map(|(id, tombstone)| {
        let state = state_name(tombstone.state);
        let unsure = false;
        (id.clone(), FinalState { state, unsure })
    });
    kept.chain(removed).collect()
}

/// The name of a job's state in the API.
fn state_name(state: JobState) -> String {
    let value = serde_json::to_value(state).unwrap_or_default();
    value.as_str().unwrap_or_default().to_string()
}
