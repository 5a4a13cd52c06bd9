//! Orders to workers: what the answer to a heartbeat tells a worker to start and to stop.

use super::Heartbeat;
use crate::kernel::Response;
use crate::node::Node;
use crate::record::{AttemptState, Job, Resources, Send, TaskState};
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
    /// Start and stop orders, derived from the record; repeated until beats confirm them.
    pub(super) fn orders(&mut self, beat: &Heartbeat, epoch: u64) -> Response {
        let mut orders = self.run_orders(beat);
        self.stop_unknown(beat, &mut orders);
        if beat.call > 0 {
            self.note_given(beat, &orders.starts);
        }
        self.count("start_orders", orders.starts.len() as u64);
        self.count("stop_orders", orders.stops.len() as u64);
        let mut answer = json!({"starts": orders.starts, "stops": orders.stops, "settled": self.settled(beat), "beatMs": self.settings.bounds.beat(), "obeyMs": self.settings.bounds.obey(), "epoch": epoch});
        if self.settings.bounds.hold_ms > 0 {
            answer["holdMs"] = json!(self.settings.bounds.hold_ms);
        }
        if beat.named {
            answer["stopRuns"] = json!(orders.named);
            answer["settledTo"] = json!(self.settled_to(beat));
        }
        Response::new(200, answer)
    }

    /// What the record wants started and stopped on the worker.
    fn run_orders(&self, beat: &Heartbeat) -> RunOrders {
        let f = &beat.facts;
        let reported: BTreeSet<u64> = beat
            .running
            .iter()
            .map(|r| r.no)
            .chain(beat.ended.iter().map(|e| e.no))
            .collect();
        let open = !f.leaving
            && self.record.open(&f.zone, &f.worker)
            && self
                .record
                .workers
                .get(&f.worker)
                .is_some_and(|w| w.facts.incarnation == f.incarnation && !w.lost);
        let mut left = self.room_left(beat);
        let mut orders = RunOrders::default();
        for no in self
            .record
            .workers
            .get(&f.worker)
            .map(|w| w.sends.clone())
            .unwrap_or_default()
        {
            let Some((job, task, send)) = self.record.send(no) else {
                continue;
            };
            let i = self.record.live.get(&no).map(|(_, i)| *i as usize);
            let Some(i) = i.filter(|_| send.incarnation == f.incarnation) else {
                continue;
            };
            let spec = job.of(i);
            if send.stop || (send.state == AttemptState::Unsure && !reported.contains(&no)) {
                orders.stops.insert(no);
                if beat.named {
                    orders
                        .named
                        .push(json!([job.spec.id, job.name(i), send.run]));
                }
            } else if send.state == AttemptState::Ordered
                && !reported.contains(&no)
                && open
                && f.serves(spec)
                && !job.cancel
                && task.state == TaskState::Waiting
                && left.holds(spec.needs())
            {
                left = left.less(spec.needs());
                orders.starts.push(start_order(job, i, send));
            }
        }
        orders
    }

    /// The room that the runs of a beat leave free.
    fn room_left(&self, beat: &Heartbeat) -> Resources {
        let room_of = |no: &u64| {
            self.record
                .live
                .get(no)
                .and_then(|(j, i)| self.record.jobs.get(j).map(|j| j.of(*i as usize).needs()))
                .unwrap_or_default()
        };
        let left = beat
            .running
            .iter()
            .fold(beat.facts.total_resources(), |left, r| {
                left.less(room_of(&r.no))
            });
        if beat
            .running
            .iter()
            .any(|r| !self.record.live.contains_key(&r.no))
        {
            // What runs there without the record's knowledge takes room that nobody can tell: it ends first.
            return Resources::default();
        }
        left
    }

    /// Adds the runs that the record does not know as live to what is to be stopped.
    fn stop_unknown(&self, beat: &Heartbeat, orders: &mut RunOrders) {
        // What runs without the record knowing it as live is over for us.
        orders.stops.extend(
            beat.running
                .iter()
                .map(|r| r.no)
                .filter(|no| !self.record.live.contains_key(no) && *no < self.record.next_send),
        );
        orders.named.extend(
            beat.running
                .iter()
                .filter(|r| r.no == 0)
                .filter_map(|r| r.name.as_ref())
                .map(|n| json!([n.job, n.task, n.run])),
        );
    }

    /// How many of the ends, from the first on, need no repeating.
    fn settled_to(&self, beat: &Heartbeat) -> usize {
        beat.ended
            .iter()
            .take_while(|e| !self.record.live.contains_key(&e.no))
            .count()
    }

    /// The ended runs of a beat that are settled.
    fn settled(&self, beat: &Heartbeat) -> Vec<u64> {
        beat.ended
            .iter()
            .map(|e| e.no)
            .filter(|no| !self.record.live.contains_key(no) && *no < self.record.next_send)
            .collect()
    }

    /// Keeps which call each start was an answer to.
    fn note_given(&mut self, beat: &Heartbeat, starts: &[Value]) {
        let given: Vec<u64> = starts.iter().filter_map(|s| s["no"].as_u64()).collect();
        let held = self
            .cells
            .get_mut(&beat.facts.zone)
            .and_then(|c| c.workers.get_mut(&beat.facts.worker));
        held.into_iter()
            .for_each(|w| w.given.extend(given.iter().map(|no| (*no, beat.call))));
    }
}

/// The order to start a run of a task.
fn start_order(job: &Job, i: usize, send: &Send) -> Value {
    let spec = job.of(i);
    let payload = if job.spec.steps.is_empty() {
        spec.payload.clone()
    } else {
        json!(job.spec.payload)
    };
    json!({"no": send.no, "job": job.spec.id, "task": job.name(i), "run": send.run, "room": spec.room, "copy": send.copy, "payload": payload, "checkpoint": send.checkpoint})
}
