//! The report of a simulated day.

use super::observe::change_id_in_notes;
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
    /// The latency of each done job, in milliseconds, in the order in which the client observed the ends.
    pub latencies_ms: Vec<u64>,
    /// The latency of each done job, in milliseconds, by job id.
    pub latency_of_job_ms: BTreeMap<String, u64>,
    /// The sums of the counters of all processes, by `{role}_{name}`; `frames_of_another_version` has no role.
    pub counters: BTreeMap<String, u64>,
    /// The faults that the scenario names and the sampled ones.
    pub faults: Vec<Fault>,
    /// Log lines of processes and of faults, and one for each job that is unfinished at the end.
    pub log: Vec<String>,
    /// The day exceeded the limit on actions, as when processes send messages to each other without end.
    pub is_livelocked: bool,
    /// The number of speculative copies that ended before the original run.
    pub copies_won: u64,
    /// The number of messages sent between the system's processes, without those lost because the receiver was down,
    /// the link was blocked or a flaky link lost them.
    pub messages: u64,
}

impl World {
    /// Ends the day and records the final state: that of the leader, or of the replica with the highest applied index.
    pub(super) fn into_report(mut self, is_livelocked: bool) -> Report {
        let mut counters: BTreeMap<String, u64> = BTreeMap::new();
        for process in &mut self.processes {
            process.accumulate_counters();
            for (name, value) in &process.counters {
                *counters.entry(name.clone()).or_default() += value;
            }
        }
        let replicas = self.processes.iter().filter_map(Process::replica);
        let most_current =
            replicas.max_by_key(|replica| (replica.is_leader(), replica.state().applied_index));
        let state = most_current.map(|replica| replica.state().clone());
        let state = state.unwrap_or_default();
        for line in unfinished_job_lines(&state) {
            self.log_line(&line);
        }
        self.record(Event::DayEnded {
            version: state.version,
            change: change_id_in_notes(&state),
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

/// A log line for each unfinished job, with its attempts, for debugging.
fn unfinished_job_lines(state: &ClusterState) -> Vec<String> {
    let jobs = state
        .unfinished_jobs
        .iter()
        .filter_map(|id| state.jobs.get(id));
    jobs.map(|job| {
        let json = serde_json::to_string(job).unwrap_or_default();
        format!("still unfinished: {json}")
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
