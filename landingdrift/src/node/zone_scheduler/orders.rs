//! Orders to workers: what the answer to a heartbeat tells a worker to start and to stop.

use super::Heartbeat;
use crate::node::Node;
use crate::sans_io::Response;
use crate::state::{Attempt, AttemptState, Job, Resources, TaskState};
use serde_json::{json, Value};
use std::collections::BTreeSet;

/// What a worker is told to start and to stop.
#[derive(Default)]
struct RunOrders {
    starts: Vec<Value>,
    /// Numbers of the runs to stop.
    stops: BTreeSet<u64>,
    /// Names of the runs to stop, for workers that keep runs by their names.
    named: Vec<Value>,
}

impl Node {
    /// Start and stop orders, derived from the cluster state; repeated until heartbeats confirm them.
    pub(super) fn orders(&mut self, heartbeat: &Heartbeat, epoch: u64) -> Response {
        let mut orders = self.run_orders(heartbeat);
        self.stop_unknown(heartbeat, &mut orders);
        if heartbeat.call > 0 {
            self.note_given(heartbeat, &orders.starts);
        }
        self.count("start_orders", orders.starts.len() as u64);
        self.count("stop_orders", orders.stops.len() as u64);
        let mut answer = json!({"starts": orders.starts, "stops": orders.stops, "settled": self.settled(heartbeat), "beatMs": self.settings.bounds.worker_heartbeat(), "obeyMs": self.settings.bounds.obey(), "epoch": epoch});
        if self.settings.bounds.lease_ms > 0 {
            answer["holdMs"] = json!(self.settings.bounds.lease_ms);
        }
        if heartbeat.named {
            answer["stopRuns"] = json!(orders.named);
            answer["settledTo"] = json!(self.settled_to(heartbeat));
        }
        Response::new(200, answer)
    }

    /// What the cluster state wants started and stopped on the worker.
    fn run_orders(&self, heartbeat: &Heartbeat) -> RunOrders {
        let f = &heartbeat.info;
        let reported: BTreeSet<u64> = heartbeat
            .running
            .iter()
            .map(|r| r.no)
            .chain(heartbeat.ended.iter().map(|e| e.no))
            .collect();
        let open = !f.leaving
            && self.state.open(&f.zone, &f.worker)
            && self
                .state
                .workers
                .get(&f.worker)
                .is_some_and(|w| w.info.incarnation == f.incarnation && !w.lost);
        let mut left = self.resources_left(heartbeat);
        let mut orders = RunOrders::default();
        for no in self
            .state
            .workers
            .get(&f.worker)
            .map(|w| w.attempts.clone())
            .unwrap_or_default()
        {
            let Some((job, task, attempt)) = self.state.attempt(no) else {
                continue;
            };
            let i = self.state.live.get(&no).map(|(_, i)| *i as usize);
            let Some(i) = i.filter(|_| attempt.incarnation == f.incarnation) else {
                continue;
            };
            let spec = job.of(i);
            if attempt.stop || (attempt.state == AttemptState::Unsure && !reported.contains(&no)) {
                orders.stops.insert(no);
                if heartbeat.named {
                    orders
                        .named
                        .push(json!([job.spec.id, job.name(i), attempt.run]));
                }
            } else if attempt.state == AttemptState::Ordered
                && !reported.contains(&no)
                && open
                && f.serves(spec)
                && !job.cancel
                && task.state == TaskState::Waiting
                && left.holds(spec.needs())
            {
                left = left.less(spec.needs());
                orders.starts.push(start_order(job, i, attempt));
            }
        }
        orders
    }

    /// The capacity that the runs of a heartbeat leave free.
    fn resources_left(&self, heartbeat: &Heartbeat) -> Resources {
        let room_of = |no: &u64| {
            self.state
                .live
                .get(no)
                .and_then(|(j, i)| self.state.jobs.get(j).map(|j| j.of(*i as usize).needs()))
                .unwrap_or_default()
        };
        let left = heartbeat
            .running
            .iter()
            .fold(heartbeat.info.total_resources(), |left, r| {
                left.less(room_of(&r.no))
            });
        if heartbeat
            .running
            .iter()
            .any(|r| !self.state.live.contains_key(&r.no))
        {
            // What runs there without the cluster state's knowledge takes capacity that nobody can tell: it ends first.
            return Resources::default();
        }
        left
    }

    /// Adds the runs that the cluster state does not know as live to what is to be stopped.
    fn stop_unknown(&self, heartbeat: &Heartbeat, orders: &mut RunOrders) {
        // What runs without the cluster state knowing it as live is over for us.
        orders.stops.extend(
            heartbeat
                .running
                .iter()
                .map(|r| r.no)
                .filter(|no| !self.state.live.contains_key(no) && *no < self.state.next_attempt),
        );
        orders.named.extend(
            heartbeat
                .running
                .iter()
                .filter(|r| r.no == 0)
                .filter_map(|r| r.name.as_ref())
                .map(|n| json!([n.job, n.task, n.run])),
        );
    }

    /// How many of the ends, from the first on, need no repeating.
    fn settled_to(&self, heartbeat: &Heartbeat) -> usize {
        heartbeat
            .ended
            .iter()
            .take_while(|e| !self.state.live.contains_key(&e.no))
            .count()
    }

    /// The ended runs of a heartbeat that are settled.
    fn settled(&self, heartbeat: &Heartbeat) -> Vec<u64> {
        heartbeat
            .ended
            .iter()
            .map(|e| e.no)
            .filter(|no| !self.state.live.contains_key(no) && *no < self.state.next_attempt)
            .collect()
    }

    /// Keeps which call each start was an answer to.
    fn note_given(&mut self, heartbeat: &Heartbeat, starts: &[Value]) {
        let given: Vec<u64> = starts.iter().filter_map(|s| s["no"].as_u64()).collect();
        let held = self
            .zone_schedulers
            .get_mut(&heartbeat.info.zone)
            .and_then(|c| c.workers.get_mut(&heartbeat.info.worker));
        held.into_iter()
            .for_each(|w| w.given.extend(given.iter().map(|no| (*no, heartbeat.call))));
    }
}

/// The order to start a run of a task.
fn start_order(job: &Job, i: usize, attempt: &Attempt) -> Value {
    let spec = job.of(i);
    let payload = if job.spec.steps.is_empty() {
        spec.payload.clone()
    } else {
        json!(job.spec.payload)
    };
    json!({"no": attempt.no, "job": job.spec.id, "task": job.name(i), "run": attempt.run, "room": spec.cpu, "copy": attempt.copy, "payload": payload, "checkpoint": attempt.checkpoint})
}
