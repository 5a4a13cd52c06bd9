//! The end of a day: what the fleet says of its jobs, and whether any promise was broken.

use super::calls::call;
use super::{Day, Outcome};
use crate::checkers::{check, summary, Promised};
use crate::fleet::FleetError;
use crate::history::Event;
use crate::standin::request;
use serde_json::Value;
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

/// How often a question is asked, at one node after the other.
const TRIES: usize = 30;
/// The pause before a question is asked again.
const TRY_EVERY: Duration = Duration::from_millis(200);
/// Jobs on one page, as many as the API gives.
const PAGE: usize = 500;

/// Jobs by their ids: the state of each, and whether its end is unsure.
type Jobs = BTreeMap<String, (String, bool)>;

fn text(value: &Value) -> String {
    value.as_str().unwrap_or("").to_string()
}

/// The sum of a number over all queues.
fn sum_of_queues(status: &Value, key: &str) -> u64 {
    let queues = status["queues"].as_object().into_iter().flatten();
    queues.filter_map(|(_, q)| q[key].as_u64()).sum()
}

impl Day<'_> {
    /// Asks one node after the other until one answers.
    fn ask(&self, path: &str, query: &str) -> Result<Value, FleetError> {
        let nodes = self.fleet.nodes();
        for i in 0..TRIES {
            if i > 0 {
                thread::sleep(TRY_EVERY);
            }
            let node = &nodes[i % nodes.len()];
            let response = call(&self.http, node, &request("GET", path, query, None));
            if response.status == 200 {
                return Ok(response.body);
            }
        }
        Err(FleetError::NotReady(format!(
            "{path} could not be read at the end of the day"
        )))
    }

    /// All jobs, page by page.
    fn jobs(&self) -> Result<Jobs, FleetError> {
        let mut jobs = Jobs::new();
        let mut after = String::new();
        loop {
            let page = self.ask("/v1/jobs", &format!("limit={PAGE}&after={after}"))?;
            for j in page["jobs"].as_array().into_iter().flatten() {
                let (id, state) = (text(&j["id"]), text(&j["state"]));
                let unsure = self.unsure(&id, &state)?;
                jobs.insert(id, (state, unsure));
            }
            match page["next"].as_str() {
                Some(next) => after = next.to_string(),
                None => return Ok(jobs),
            }
        }
    }

    /// Whether a job has not ended since the end of one of its tasks is unsure.
    fn unsure(&self, id: &str, state: &str) -> Result<bool, FleetError> {
        if ["done", "failed", "cancelled"].contains(&state) {
            return Ok(false);
        }
        let job = self.ask(&format!("/v1/jobs/{id}"), "")?;
        Ok(job["unsure"] == true)
    }

    /// No process may have ended that nobody has told to.
    fn none_ended(&mut self) -> Result<(), FleetError> {
        for i in 0..self.fleet.procs.len() {
            if self.fleet.ended(i) {
                let listen = &self.fleet.procs[i].listen;
                return Err(FleetError::NotReady(format!("{listen} ended by itself")));
            }
        }
        Ok(())
    }

    pub(super) fn close(mut self, epoch: u64) -> Result<Outcome, FleetError> {
        let jobs = self.jobs()?;
        let config = self.ask("/v1/desired", "")?;
        let version = config["version"].as_u64().unwrap_or(0);
        let by = text(&config["desired"]["notes"]["by"]);
        let status = self.ask("/v1/status", "")?;
        let kept = sum_of_queues(&status, "kept");
        let missed = sum_of_queues(&status, "missed");
        self.note(Event::Closed { version, by, jobs });
        self.none_ended()?;
        // Heartbeats and calls of a real day wait for this machine as well.
        let promised = Promised {
            epoch,
            alone: Promised::default().alone_struck,
            ..Promised::default()
        };
        let broken = check(&self.history, &promised);
        Ok(Outcome {
            summary: summary(&self.history, &promised),
            broken,
            latencies: std::mem::take(&mut self.client.told.latencies),
            history: self.history,
            kept,
            missed,
        })
    }
}
