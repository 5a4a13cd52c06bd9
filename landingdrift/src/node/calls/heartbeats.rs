//! Heartbeats of workers, and their reports that they have left: the holder of the worker's zone lease answers them.

use super::Origin;
use crate::node::zone_scheduler::Heartbeat;
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::state::zone_lease;
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
            by: holder,
            ..Response::error(503, "notHolder", why)
        };
        self.reply(&origin, response);
    }

    /// A worker reports that it leaves: the holder of its zone lease takes note of it.
    pub(super) fn on_left(&mut self, now: Now, origin: Origin, worker: &str, request: &Request) {
        let known = self.state.workers.get(worker);
        let zone = known
            .map(|worker| worker.info.zone.clone())
            .unwrap_or_default();
        let lease = self.state.holder(&zone_lease(&zone));
        let holder = lease.map(|lease| lease.holder.clone()).unwrap_or_default();
        if !holder.is_empty() && holder != self.name {
            return self.pass_to_holder(now, origin, holder, request);
        }
        self.on_worker_left(now, worker);
        self.reply(&origin, Response::new(200, json!({"worker": worker})));
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
        .retry(self.settings.bounds.worker_heartbeat())
    }
}
