//! Worker heartbeats and departure reports, which the holder of the worker's zone lease answers.

use super::{param, CallCommand, Origin};
use crate::node::zone_scheduler::Heartbeat;
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::state::{zone_lease, ApplyResult};
use serde_json::json;

/// Parses and checks a heartbeat; the error response describes the first error.
fn read_heartbeat(body: &[u8]) -> Result<Heartbeat, Response> {
    let wrong = |message: String| Response::error(400, "wrongBeat", message);
    let deserializer = &mut serde_json::Deserializer::from_slice(body);
    let heartbeat: Heartbeat = serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let (path, message) = (error.path(), error.inner());
        wrong(format!(
            "{path}: {message}; docs/operators/workers.md shows a heartbeat"
        ))
    })?;
    let info = &heartbeat.info;
    if info.worker.is_empty() || info.zone.is_empty() || info.service.is_empty() {
        let message = "facts.worker, facts.zone and facts.service must not be empty";
        return Err(wrong(message.into()));
    }
    Ok(heartbeat)
}

/// The response that acknowledges a departure report.
fn departure_acknowledgement(worker: &str) -> Response {
    Response::new(200, json!({"worker": worker}))
}

impl Node {
    pub(super) fn on_heartbeat(&mut self, now: Now, origin: Origin, request: Request) {
        let heartbeat = match read_heartbeat(&request.body) {
            Ok(heartbeat) => heartbeat,
            Err(response) => return self.reply(&origin, response),
        };
        let Some(lease) = self.state.current_lease(&zone_lease(&heartbeat.info.zone)) else {
            let response = self.unknown_zone_response(&heartbeat);
            return self.reply(&origin, response);
        };
        let holder = lease.holder.clone();
        if holder == self.name || holder.is_empty() {
            let (zone, worker) = (heartbeat.info.zone.clone(), heartbeat.info.worker.clone());
            let response = self.heartbeat(now, heartbeat);
            if let Origin::Remote(proxy, _) = &origin {
                self.record_proxy(&zone, &worker, proxy);
            }
            return self.reply(&origin, response);
        }
        self.forward_to_holder(now, origin, holder, &request);
    }

    /// Forwards a worker's call to the holder of its zone lease. If the call was already forwarded, the response names
    /// the holder instead.
    fn forward_to_holder(&mut self, now: Now, origin: Origin, holder: String, request: &Request) {
        if let Origin::Local(_) = origin {
            return self.forward_to(now, origin, &holder, request);
        }
        let message = "another node holds the zone's lease: send the request to that node";
        let response = Response {
            answered_by: holder,
            ..Response::error(503, "notHolder", message)
        };
        self.reply(&origin, response);
    }

    /// Serves a worker's departure report, which the holder of its zone lease records.
    pub(super) fn on_left(&mut self, now: Now, origin: Origin, worker: &str, request: &Request) {
        // Reject the report unless the copy is fresh and knows this process of the worker: an acknowledged report must
        // take effect.
        let incarnation = param(&request.query, "incarnation").and_then(|text| text.parse().ok());
        let known = self.state.workers.get(worker);
        let known = known.filter(|known| {
            let is_same_incarnation =
                incarnation.is_none_or(|number: u64| number == known.info.incarnation);
            is_same_incarnation && self.is_fresh(now)
        });
        let Some(known) = known else {
            let response = self.not_ready_response();
            return self.reply(&origin, response);
        };
        let zone = known.info.zone.clone();
        let lease = self.state.current_lease(&zone_lease(&zone));
        let holder = lease.map(|lease| lease.holder.clone()).unwrap_or_default();
        if !holder.is_empty() && holder != self.name {
            return self.forward_to_holder(now, origin, holder, request);
        }
        self.on_departure_report(now, worker);
        let Some(command) = self.leaving_command(worker) else {
            return self.reply(&origin, departure_acknowledgement(worker));
        };
        // The report is acknowledged only once it is committed, so that later holders of the zone lease have it too.
        let worker = worker.into();
        self.propose_for_call(now, origin, &command, CallCommand::Departure { worker });
    }

    /// The response to a departure report, once its command was applied or rejected.
    pub(super) fn departure_response(&self, worker: &str, result: ApplyResult) -> Response {
        match result {
            Ok(_) => departure_acknowledgement(worker),
            // The zone's lease has moved or the worker's process was replaced meanwhile.
            Err(_) => self.not_ready_response(),
        }
    }

    /// The response to a heartbeat from a zone without a scheduler: the zone is not declared in the configuration and
    /// has no node.
    fn unknown_zone_response(&self, heartbeat: &Heartbeat) -> Response {
        Response::error(
            503,
            "noCell",
            format!(
                "zone '{}' has no scheduler yet: declare the zone in the configuration, then send the heartbeat again",
                heartbeat.info.zone
            ),
        )
        .retry(self.settings.bounds.worker_heartbeat_interval())
    }
}
