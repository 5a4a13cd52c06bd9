//! Heartbeats of workers, and their reports that they have left: the holder of the worker's zone lease answers them.

use super::{param, Origin, ProposedCall};
use crate::node::zone_scheduler::Heartbeat;
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::state::{zone_lease, ApplyResult};
use serde_json::json;

/// Reads a heartbeat; the response says what is wrong with it.
fn read_heartbeat(body: &[u8]) -> Result<Heartbeat, Response> {
    let wrong = |why: String| Response::error(400, "wrongBeat", why);
    let deserializer = &mut serde_json::Deserializer::from_slice(body);
    let heartbeat: Heartbeat = serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let (path, why) = (error.path(), error.inner());
        wrong(format!(
            "{path}: {why}; docs/operators/workers.md shows a beat"
        ))
    })?;
    let info = &heartbeat.info;
    if info.worker.is_empty() || info.zone.is_empty() || info.service.is_empty() {
        let why = "facts.worker, facts.zone and facts.service need a value: name them";
        return Err(wrong(why.into()));
    }
    Ok(heartbeat)
}

/// A worker's report that it leaves was taken note of.
fn left_response(worker: &str) -> Response {
    Response::new(200, json!({"worker": worker}))
}

impl Node {
    pub(super) fn on_heartbeat(&mut self, now: Now, origin: Origin, request: Request) {
        let heartbeat = match read_heartbeat(&request.body) {
            Ok(heartbeat) => heartbeat,
            Err(response) => return self.reply(&origin, response),
        };
        let Some(lease) = self.state.holder(&zone_lease(&heartbeat.info.zone)) else {
            let response = self.unknown_zone_response(&heartbeat);
            return self.reply(&origin, response);
        };
        let holder = lease.holder.clone();
        if holder == self.name || holder.is_empty() {
            let response = self.heartbeat(now, heartbeat);
            return self.reply(&origin, response);
        }
        self.pass_to_holder(now, origin, holder, &request);
    }

    /// Passes a worker's call to the holder of its zone lease. A call is forwarded once: a node that got it from another
    /// names the holder that it knows.
    fn pass_to_holder(&mut self, now: Now, origin: Origin, holder: String, request: &Request) {
        if let Origin::Local(_) = origin {
            return self.forward_to(now, origin, &holder, request);
        }
        let why = "another node holds the cell: ask that one";
        let response = Response {
            answered_by: holder,
            ..Response::error(503, "notHolder", why)
        };
        self.reply(&origin, response);
    }

    /// A worker reports that it leaves: the holder of its zone lease takes note of it.
    pub(super) fn on_left(&mut self, now: Now, origin: Origin, worker: &str, request: &Request) {
        // A copy that is behind may not know the worker, and what is acknowledged has to take effect.
        let incarnation = param(&request.query, "incarnation").and_then(|text| text.parse().ok());
        let known = self.state.workers.get(worker);
        let known = known.filter(|known| {
            let is_meant = incarnation.is_none_or(|number: u64| number == known.info.incarnation);
            is_meant && self.fresh(now)
        });
        let Some(known) = known else {
            let response = self.not_ready_response();
            return self.reply(&origin, response);
        };
        let zone = known.info.zone.clone();
        let lease = self.state.holder(&zone_lease(&zone));
        let holder = lease.map(|lease| lease.holder.clone()).unwrap_or_default();
        if !holder.is_empty() && holder != self.name {
            return self.pass_to_holder(now, origin, holder, request);
        }
        self.on_worker_left(now, worker);
        let Some(command) = self.leaving_command(worker) else {
            return self.reply(&origin, left_response(worker));
        };
        // A later holder of the zone has to know it as well: it is acknowledged once the log has it.
        let worker = worker.into();
        self.open_with_proposal(now, origin, &command, ProposedCall::Departure { worker });
    }

    /// The response to a worker's report, once the log has an entry that it leaves or that was rejected.
    pub(super) fn departure_response(&self, worker: &str, result: ApplyResult) -> Response {
        match result {
            Ok(_) => left_response(worker),
            // The zone's lease or the worker's process is another one by now.
            Err(_) => self.not_ready_response(),
        }
    }

    /// The response to a heartbeat from a zone without a scheduler: nobody declared it, and no node is in it.
    fn unknown_zone_response(&self, heartbeat: &Heartbeat) -> Response {
        Response::error(
            503,
            "noCell",
            format!(
                "zone '{}' has no cell yet: declare the zone in the desired state, then beat again",
                heartbeat.info.zone
            ),
        )
        .retry(self.settings.bounds.worker_heartbeat_interval())
    }
}
