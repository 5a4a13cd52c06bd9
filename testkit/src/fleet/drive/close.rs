//! The end of a day: what the fleet says of its jobs, and whether any rule was violated.

use super::{Day, Outcome};
use crate::calls::call;
use crate::checkers::{check, summary, PromisedBounds, Violation};
use crate::fakes::request;
use crate::fleet::FleetError;
use crate::history::{Event, FinalState};
use serde_json::Value;
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

/// How often a question is asked, at one node after the other.
const TRIES: usize = 30;
/// The pause before a question is asked again.
const RETRY_EVERY: Duration = Duration::from_millis(200);
/// Jobs on one page, as many as the API gives.
const PAGE_JOBS: usize = 500;

fn text(value: &Value) -> String {
    value.as_str().unwrap_or("").to_string()
}

/// The sum of a number over all queues.
fn sum_of_queues(status: &Value, key: &str) -> u64 {
    let queues = status["queues"].as_object().into_iter().flatten();
    queues.filter_map(|(_, queue)| queue[key].as_u64()).sum()
}

impl Day<'_> {
    /// Asks one node after the other until one answers.
    fn ask(&self, path: &str, query: &str) -> Result<Value, FleetError> {
        let nodes = self.fleet.nodes();
        let request = request("GET", path, query, None);
        for attempt in 0..TRIES {
            if attempt > 0 {
                thread::sleep(RETRY_EVERY);
            }
            let node = &nodes[attempt % nodes.len()];
            let response = call(&self.http, node, &request);
            if response.status == 200 {
                return Ok(response.body);
            }
        }
        Err(FleetError::NotReady(format!(
            "{path} could not be read at the end of the day"
        )))
    }

    /// All jobs by their ids, read page by page.
    fn jobs(&self) -> Result<BTreeMap<String, FinalState>, FleetError> {
        let mut jobs = BTreeMap::new();
        let mut after = String::new();
        loop {
            let page = self.ask("/v1/jobs", &format!("limit={PAGE_JOBS}&after={after}"))?;
            for job in page["jobs"].as_array().into_iter().flatten() {
                let id = text(&job["id"]);
                let state = text(&job["state"]);
                let unsure = self.is_unsure(&id, &state)?;
                jobs.insert(id, FinalState { state, unsure });
            }
            match page["next"].as_str() {
                Some(next) => after = next.to_string(),
                None => return Ok(jobs),
            }
        }
    }

    /// Whether a job has not ended since the end of one of its tasks is not known.
    fn is_unsure(&self, id: &str, state: &str) -> Result<bool, FleetError> {
        if ["done", "failed", "cancelled"].contains(&state) {
            return Ok(false);
        }
        let job = self.ask(&format!("/v1/jobs/{id}"), "")?;
        Ok(job["unsure"] == true)
    }

    /// No process may have ended by itself.
    fn check_none_ended(&mut self) -> Result<(), FleetError> {
        for index in 0..self.fleet.processes.len() {
            if self.fleet.has_ended(index) {
                let listen = &self.fleet.processes[index].listen;
                return Err(FleetError::NotReady(format!("{listen} ended by itself")));
            }
        }
        Ok(())
    }

    /// Every job that was accepted has been asked for once more, and each has been answered for.
    fn check_all_answered(&mut self) {
        for id in self.client.unfinished_accepted_jobs() {
            let description = format!("no answer came about job {id} at the end of the day");
            let violation = Violation::new("every job is answered for", self.now(), description);
            self.violations.push(violation);
        }
    }

    /// Ends the day and checks its history.
    pub(super) fn close(mut self, epoch_ms: u64) -> Result<Outcome, FleetError> {
        self.check_all_answered();
        let jobs = self.jobs()?;
        let config = self.ask("/v1/desired", "")?;
        let version = config["version"].as_u64().unwrap_or(0);
        let change = text(&config["desired"]["notes"]["by"]);
        let status = self.ask("/v1/status", "")?;
        self.record(Event::DayEnded {
            version,
            change,
            jobs,
        });
        self.check_none_ended()?;
        // Heartbeats and calls of a real day wait for this machine as well.
        let usual = PromisedBounds::default();
        let bounds = PromisedBounds {
            epoch_ms,
            without_partner_ms: usual.without_partner_in_fault_ms,
            ..usual
        };
        let mut violations = check(&self.history, &bounds);
        violations.append(&mut self.violations);
        Ok(Outcome {
            summary: summary(&self.history, &bounds),
            violations,
            latencies_ms: self.client.observations.latencies_ms,
            history: self.history,
            promises_kept: sum_of_queues(&status, "kept"),
            promises_missed: sum_of_queues(&status, "missed"),
        })
    }
}
