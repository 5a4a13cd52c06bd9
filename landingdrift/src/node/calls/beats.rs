//! Workers' beats and leaves, which the holder of the worker's cell answers.

use super::Origin;
use crate::kernel::{Now, Request, Response};
use crate::node::cell::Heartbeat;
use crate::node::Node;
use crate::record::cell_duty;
use serde_json::json;

impl Node {
    pub(super) fn on_beat(&mut self, now: Now, origin: Origin, req: Request) {
        let de = &mut serde_json::Deserializer::from_slice(&req.body);
        let beat: Heartbeat = match serde_path_to_error::deserialize(de) {
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
        if beat.facts.worker.is_empty()
            || beat.facts.zone.is_empty()
            || beat.facts.service.is_empty()
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
            .record
            .holder(&cell_duty(&beat.facts.zone))
            .map(|g| g.holder.clone());
        let remote = matches!(origin, Origin::Remote(..));
        match holder {
            Some(h) if h != self.name && !h.is_empty() && !remote => {
                self.pass_on(now, origin, &h, &req)
            }
            Some(h) if h != self.name && !h.is_empty() => {
                // A beat is passed on once; who is asked by another names the holder it knows.
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
                let v = self.found_zone(&beat);
                self.reply(&origin, v);
            }
            _ => {
                let v = self.beat(now, beat);
                self.reply(&origin, v);
            }
        }
    }

    /// A worker has left: the holder of its cell takes note.
    pub(super) fn on_left(&mut self, now: Now, origin: Origin, worker: &str, req: &Request) {
        let known = self.record.workers.get(worker);
        let zone = known.map(|w| w.facts.zone.clone()).unwrap_or_default();
        let holder = self.record.holder(&cell_duty(&zone));
        let holder = holder.map(|g| g.holder.clone()).unwrap_or_default();
        if !holder.is_empty() && holder != self.name && matches!(origin, Origin::Local(_)) {
            return self.pass_on(now, origin, &holder, req);
        }
        self.left(now, worker);
        self.reply(&origin, Response::new(200, json!({"worker": worker})));
    }

    /// A zone that nobody declared and no node stands in has no cell.
    fn found_zone(&mut self, beat: &Heartbeat) -> Response {
        Response::error(
            503,
            "noCell",
            format!(
                "zone '{}' has no cell yet: declare the zone in the desired state, then beat again",
                beat.facts.zone
            ),
        )
        .retry(self.settings.bounds.beat())
    }
}
