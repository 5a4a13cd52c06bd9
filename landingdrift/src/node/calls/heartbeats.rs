//! Workers' heartbeats and leaves, which the holder of the worker's zone scheduler answers.

use super::Origin;
use crate::node::zone_scheduler::Heartbeat;
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::state::zone_lease;
use serde_json::json;

impl Node {
    pub(super) fn on_heartbeat(&mut self, now: Now, origin: Origin, req: Request) {
        let de = &mut serde_json::Deserializer::from_slice(&req.body);
        let heartbeat: Heartbeat = match serde_path_to_error::deserialize(de) {
            Ok(b) => b,
            Err(e) => {
                return self.reply(
                    &origin,
                    Response::error(
                        400,
                        "wrongBeat",
                        format!(
                            "{}: {}; docs/operators/workers.md shows a beat",
                            e.path(),
                            e.inner()
                        ),
                    ),
                )
            }
        };
        if heartbeat.info.worker.is_empty()
            || heartbeat.info.zone.is_empty()
            || heartbeat.info.service.is_empty()
        {
            return self.reply(
                &origin,
                Response::error(
                    400,
                    "wrongBeat",
                    "facts.worker, facts.zone and facts.service need a value: name them",
                ),
            );
        }
        let holder = self
            .state
            .holder(&zone_lease(&heartbeat.info.zone))
            .map(|g| g.holder.clone());
        let remote = matches!(origin, Origin::Remote(..));
        match holder {
            Some(h) if h != self.name && !h.is_empty() && !remote => {
                self.forward_on(now, origin, &h, &req)
            }
            Some(h) if h != self.name && !h.is_empty() => {
                // A heartbeat is passed on once; who is asked by another names the holder it knows.
                let v = Response {
                    by: h,
                    ..Response::error(
                        503,
                        "notHolder",
                        "another node holds the cell: ask that one",
                    )
                };
                self.reply(&origin, v);
            }
            None => {
                let v = self.found_zone(&heartbeat);
                self.reply(&origin, v);
            }
            _ => {
                let v = self.heartbeat(now, heartbeat);
                self.reply(&origin, v);
            }
        }
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
