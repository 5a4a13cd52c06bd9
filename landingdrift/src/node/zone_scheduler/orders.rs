//! Start and stop orders in the responses to heartbeats.

use super::Heartbeat;
use crate::node::Node;
use crate::sans_io::Response;
use crate::state::pack::json_bytes;
use crate::state::{Attempt, AttemptState, EndReport, Job, Resources, TaskState};
use serde_json::{json, Value};
use std::collections::BTreeSet;

/// Maximum bytes of start orders in one response: workers accept responses of up to 4 MiB. Further orders follow in the
/// response to the next heartbeat.
const MAX_START_BYTES: u64 = 1 << 20;
/// Maximum number of stop orders for known attempts in one response; those for unknown or ended runs are not limited.
const MAX_STOPS: usize = 10_000;

/// The start and stop orders of one response.
#[derive(Default)]
struct RunOrders {
    starts: Vec<Value>,
    /// Total size of the start orders as JSON, in bytes.
    start_bytes: u64,
    /// Numbers of the attempts to stop.
    stops: BTreeSet<u64>,
    /// Names of the runs to stop, for workers that identify runs by name.
    stops_by_name: Vec<Value>,
}

impl RunOrders {
    /// Adds a start order unless the size limit would be exceeded; the first one may be larger than the limit.
    fn add_start(&mut self, order: Value) {
        let bytes = json_bytes(&order);
        if self.starts.is_empty() || self.start_bytes + bytes <= MAX_START_BYTES {
            self.start_bytes += bytes;
            self.starts.push(order);
        }
    }

    fn is_full(&self) -> bool {
        self.start_bytes >= MAX_START_BYTES
    }
}

impl Node {
    /// The response with start and stop orders, derived from the cluster state and repeated until heartbeats confirm
    /// them.
    pub(super) fn orders_response(&mut self, heartbeat: &Heartbeat, epoch: u64) -> Response {
        let mut orders = self.run_orders(heartbeat);
        self.stop_dead_runs(heartbeat, &mut orders);
        if heartbeat.sequence > 0 {
            self.record_sent_starts(heartbeat, &orders.starts);
        }
        self.count("start_orders", orders.starts.len() as u64);
        self.count("stop_orders", orders.stops.len() as u64);
        let bounds = &self.settings.bounds;
        let mut body = json!({"starts": orders.starts, "stops": orders.stops, "settled": self.acknowledged_ends(heartbeat), "beatMs": bounds.worker_heartbeat_interval(), "obeyMs": bounds.max_start_order_age(), "epoch": epoch});
        if bounds.lease_ms > 0 {
            body["holdMs"] = json!(bounds.lease_ms);
        }
        if heartbeat.uses_run_names {
            body["stopRuns"] = json!(orders.stops_by_name);
            body["settledTo"] = json!(self.acknowledged_prefix_len(heartbeat));
        }
        Response::new(200, body)
    }

    /// The orders for the worker's attempts in the cluster state.
    fn run_orders(&self, heartbeat: &Heartbeat) -> RunOrders {
        let info = &heartbeat.info;
        let mut orders = RunOrders::default();
        let Some(known) = self.state.workers.get(&info.worker) else {
            return orders;
        };
        let reported = heartbeat.reported_attempts();
        let takes_work = !info.leaving
            && self.state.allows_new_work(&info.zone, &info.worker)
            && known.info.incarnation == info.incarnation
            && !known.lost;
        let mut free = self.resources_left(heartbeat);
        for number in &known.attempts {
            let Some((job, task, attempt)) = self.state.attempt(*number) else {
                continue;
            };
            let Some((_, index)) = self.state.live.get(number) else {
                continue;
            };
            if attempt.incarnation != info.incarnation {
                continue;
            }
            let index = *index as usize;
            let spec = job.task_spec(index);
            let is_reported = reported.contains(number);
            let must_stop = attempt.stop || (attempt.state == AttemptState::Unsure && !is_reported);
            if must_stop && orders.stops.len() >= MAX_STOPS {
                continue;
            }
            if must_stop {
                orders.stops.insert(*number);
                if heartbeat.uses_run_names {
                    let name = json!([job.spec.id, job.task_name(index), attempt.run]);
                    orders.stops_by_name.push(name);
                }
                continue;
            }
            let awaits_start = attempt.state == AttemptState::Ordered && !is_reported;
            let is_task_waiting = !job.cancel && task.state == TaskState::Waiting;
            let fits = info.serves(spec) && free.covers(spec.needs());
            if awaits_start && is_task_waiting && takes_work && fits && !orders.is_full() {
                free = free.minus(spec.needs());
                orders.add_start(start_order(job, index, attempt));
            }
        }
        orders
    }

    /// The worker's resources that are not used by the runs in its heartbeat.
    fn resources_left(&self, heartbeat: &Heartbeat) -> Resources {
        let mut left = heartbeat.info.total_resources();
        for run in &heartbeat.running {
            if !self.state.live.contains_key(&run.attempt) {
                // The resources of an unknown run are unknown too: start nothing before it has ended.
                return Resources::default();
            }
            if let Some(spec) = self.spec_of_attempt(run.attempt) {
                left = left.minus(spec.needs());
            }
        }
        left
    }

    /// Adds stop orders for reported runs that are over according to the cluster state.
    fn stop_dead_runs(&self, heartbeat: &Heartbeat, orders: &mut RunOrders) {
        for run in &heartbeat.running {
            if self.has_attempt_ended(run.attempt) {
                orders.stops.insert(run.attempt);
            }
            if run.attempt != 0 {
                continue;
            }
            let name = run.name.as_ref();
            if let Some(name) = name.filter(|name| self.is_run_over(heartbeat, name)) {
                orders
                    .stops_by_name
                    .push(json!([name.job, name.task, name.run]));
            }
        }
    }

    /// Whether an attempt has ended according to the cluster state. An attempt that is newer than this copy may be
    /// live.
    fn has_attempt_ended(&self, attempt: u64) -> bool {
        !self.state.live.contains_key(&attempt) && attempt < self.state.next_attempt
    }

    /// The length of the longest prefix of the reported ends that need not be reported again.
    fn acknowledged_prefix_len(&self, heartbeat: &Heartbeat) -> usize {
        let is_acknowledged = |end: &&EndReport| match &end.name {
            Some(_) if end.no != 0 => self.has_attempt_ended(end.no),
            Some(name) => self.is_run_over(heartbeat, name),
            None => self.has_attempt_ended(end.no),
        };
        heartbeat.ended.iter().take_while(is_acknowledged).count()
    }

    /// The attempts whose reported ends need not be reported again.
    fn acknowledged_ends(&self, heartbeat: &Heartbeat) -> Vec<u64> {
        let ended = heartbeat.ended.iter().map(|end| end.no);
        ended
            .filter(|attempt| self.has_attempt_ended(*attempt))
            .collect()
    }

    /// Records the sequence number of the heartbeat whose response carries each start order.
    fn record_sent_starts(&mut self, heartbeat: &Heartbeat, starts: &[Value]) {
        let info = &heartbeat.info;
        let Some(worker) = self.worker_mut(&info.zone, &info.worker) else {
            return;
        };
        for start in starts {
            if let Some(attempt) = start["no"].as_u64() {
                worker.sent_starts.insert(attempt, heartbeat.sequence);
            }
        }
    }
}

/// The start order of an attempt, as JSON.
fn start_order(job: &Job, task: usize, attempt: &Attempt) -> Value {
    let spec = job.task_spec(task);
    let payload = if job.spec.steps.is_empty() {
        spec.payload.clone()
    } else {
        json!(job.spec.payload)
    };
    json!({"no": attempt.no, "job": job.spec.id, "task": job.task_name(task), "run": attempt.run, "room": spec.cpu, "copy": attempt.copy, "payload": payload, "checkpoint": attempt.checkpoint})
}
