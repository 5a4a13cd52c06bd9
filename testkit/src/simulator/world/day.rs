//! The run of a day from its first moment to its report.

use super::observe::mark;
use super::processes::Kind;
use super::World;
use crate::checkers::{summary, Promised, Summary};
use crate::history::{Event, History};
use crate::scenario::{last_fault, Fault};
use crate::simulator::EPOCH;
use crate::standin::operator::Operator;
use landingdrift::sans_io::Rng;
use landingdrift::state::ClusterState;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The most events that a second of a day may have; a busy one has a tenth of it.
const MAX_EVENTS_PER_SECOND: u64 = 60_000;

/// What a day left behind.
pub struct Report {
    pub history: History,
    pub summary: Summary,
    pub latencies: Vec<u64>,
    pub counters: BTreeMap<String, u64>,
    pub faults: Vec<Fault>,
    pub log: Vec<String>,
    /// More happened than a day can hold: something goes round in circles.
    pub circling: bool,
    /// Milliseconds that each job took which was done.
    pub took: BTreeMap<String, u64>,
    pub copies_won: u64,
    /// Messages between the system's own processes.
    pub messages: u64,
}

impl World {
    /// Runs the day to its end.
    pub fn run(mut self) -> Report {
        let end = (self.scenario.seconds + self.scenario.settle) * 1000;
        let most = (self.scenario.seconds + self.scenario.settle) * MAX_EVENTS_PER_SECOND;
        while let Some(Reverse(due)) = self.queue.pop() {
            if due.t > end || self.seq > most {
                break;
            }
            self.t = due.t;
            self.happen(due.what);
            // A day that has come to rest needn't be sat out.
            if self.calm
                && self.t.is_multiple_of(1000)
                && self.t > (self.scenario.seconds + 15) * 1000
                && self.at_rest()
            {
                if self.closing {
                    break;
                }
                self.close_day();
            }
        }
        let circling = self.seq > most;
        self.close(circling)
    }

    fn at_rest(&self) -> bool {
        self.client.waiting() == 0
            && self.operators.iter().all(Operator::idle)
            && self.targets.is_empty()
    }

    /// The closing reads: the configuration, and every job once more; straight before them, where wanted, one last fault.
    fn close_day(&mut self) {
        self.closing = true;
        if self.scenario.last {
            let f = last_fault(&mut Rng::new(self.seed ^ 0x1a57), self.t);
            self.faults.push(f);
            self.strike(self.faults.len() - 1);
        }
        let t = self.t;
        self.client.ask_for_all(t);
        self.operators.iter_mut().for_each(Operator::read);
    }

    fn close(mut self, circling: bool) -> Report {
        (0..self.procs.len()).for_each(|i| self.keep_counters(i));
        let best = self
            .procs
            .iter()
            .filter_map(|p| {
                if let Kind::Replica(Some(c), _) = &p.kind {
                    Some(c)
                } else {
                    None
                }
            })
            .max_by_key(|c| (c.leads(), c.state().applied_index));
        let best_copies = best.map_or(0, |c| c.state().queues.values().map(|q| q.copies_won).sum());
        let (version, by, jobs) = best.map_or((0, String::new(), BTreeMap::new()), |c| {
            (c.state().version, mark(c.state()), states(c.state()))
        });
        // Whatever has not ended is shown with its history of attempts, for whoever looks for the cause.
        let open = best.map_or(Vec::new(), |c| open_ledgers(c.state()));
        open.into_iter().for_each(|l| self.outln(l));
        let copies_won = best_copies;
        self.note(Event::Closed { version, by, jobs });
        let mut counters: BTreeMap<String, u64> = BTreeMap::new();
        self.procs
            .iter()
            .flat_map(|p| &p.counters)
            .for_each(|(k, v)| *counters.entry(k.clone()).or_default() += v);
        Report {
            summary: summary(
                &self.history,
                &Promised {
                    epoch: EPOCH,
                    ..Promised::default()
                },
            ),
            latencies: std::mem::take(&mut self.client.told.latencies),
            history: self.history,
            counters,
            faults: self.faults,
            log: self.log,
            circling,
            took: std::mem::take(&mut self.client.told.took),
            copies_won,
            messages: self.messages,
        }
    }

    pub(super) fn come_to_rest(&mut self) {
        self.calm = true;
        self.client.offering = false;
        for i in 0..self.faults.len() {
            self.heal(i);
        }
        self.blocked.clear();
        (0..self.procs.len()).for_each(|i| self.start(i));
        for i in 0..self.hands.len() {
            if self.hands[i].worker.is_none() && !self.hands[i].info.leaving {
                self.start_worker(i);
            }
        }
        self.note(Event::Calm);
    }
}

/// Lines that show each job that is still open, with its history of attempts.
fn open_ledgers(state: &ClusterState) -> Vec<String> {
    let jobs = state.open.iter().filter_map(|id| state.jobs.get(id));
    jobs.map(|j| {
        format!(
            "still open: {}",
            serde_json::to_string(j).unwrap_or_default()
        )
    })
    .collect()
}

fn states(r: &ClusterState) -> BTreeMap<String, (String, bool)> {
    let text = |s| {
        serde_json::to_value(s)
            .ok()
            .and_then(|v| v.as_str().map(str::to_string))
            .unwrap_or_default()
    };
    let unsure = |j: &landingdrift::state::Job| {
        j.tasks.iter().any(|t| {
            t.attempts
                .iter()
                .any(|s| s.state == landingdrift::state::AttemptState::Unsure)
        })
    };
    r.jobs
        .iter()
        .map(|(k, j)| (k.clone(), (text(j.state), unsure(j))))
        .chain(
            r.tombstones
                .iter()
                .map(|(k, t)| (k.clone(), (text(t.state), false))),
        )
        .collect()
}
