//! Workers' heartbeats and leaves, which the holder of the worker's zone scheduler answers.

use super::Origin;
use crate::node::zone_scheduler::Heartbeat;
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::state::zone_lease;
use serde_json::json;

/// Reads a heartbeat; what is wrong with it is told.
fn read_heartbeat(body: &[u8]) -> Result<Heartbeat, Response> {
    let wrong = |why: String| Response::error(400, "wrongBeat", why);
    let de = &mut serde_json::Deserializer::from_slice(body);
    let heartbeat: Heartbeat = serde_path_to_error::deserialize(de).map_err(|e| {
        let (path, why) = (e.path(), e.inner());
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
    pub(super) fn on_heartbeat(&mut self, now: Now, origin: Origin, req: Request) {
        let heartbeat = match read_heartbeat(&req.body) {
            Ok(heartbeat) => heartbeat,
            Err(v) => return self.reply(&origin, v),
        };
        let Some(grant) = self.state.holder(&zone_lease(&heartbeat.info.zone)) else {
            let v = self.found_zone(&heartbeat);
            return self.reply(&origin, v);
        };
        let holder = grant.holder.clone();
        if holder == self.name || holder.is_empty() {
            let v = self.heartbeat(now, heartbeat);
            return self.reply(&origin, v);
        }
        if let Origin::Local(_) = origin {
            return self.forward_on(now, origin, &holder, &req);
        }
        // A heartbeat is passed on once; who is asked by another names the holder it knows.
        let why = "another node holds the cell: ask that one";
        let v = Response {
            by: holder,
            ..Response::error(503, "notHolder", why)
        };
        self.reply(&origin, v);
    }

    /// A worker has left: the holder of its zone scheduler takes note.
    pub(super) fn on_left(&mut self, now: Now, origin: Origin, worker: &str, req: &Request) {
        let known = self.state.workers.get(worker);
        let zone = known.map(|w| w.info.zone.clone()).unwrap_or_default();
        let holder = self.state.holder(&zone_lease(&zone));
        let holder = holder.map(|g| g.holder.clone()).unwrap_or_default();
        if !holder.is_empty() && holder != self.name && matches!(origin, Origin::Local(_)) {
            return self.forward_on(now, origin, &holder, req);
        }
        self.left(now, worker);
        self.reply(&origin, Response::new(200, json!({"worker": worker})));
    }

    /// A zone that nobody declared and no node stands in has no zone scheduler.
    fn found_zone(&mut self, heartbeat: &Heartbeat) -> Response {
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
