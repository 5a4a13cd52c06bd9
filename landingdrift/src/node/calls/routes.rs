//! HTTP routing: dispatches a call to its handler, or answers that no route serves it.

use super::{Origin, ReadQuery};
use crate::node::Node;
use crate::sans_io::{Now, Request, Response, StateMachine};
use serde_json::json;

/// Whether a call needs jobs or workers, which a light copy of the cluster state does not have. All such calls are
/// repeatable.
fn needs_full_copy(method: &str, parts: &[&str]) -> bool {
    match method {
        "GET" => matches!(parts, ["v1", "jobs" | "status" | "workers", ..]),
        "POST" => matches!(parts, ["v1", "workers", _, "left"]),
        _ => false,
    }
}

/// Whether a call is subject to the limit on open calls: probes and heartbeats are always served.
fn counts_against_call_limit(parts: &[&str]) -> bool {
    let is_probe = parts.first() != Some(&"v1");
    !is_probe && parts != ["v1", "beats"]
}

/// Whether a route with this path exists for any method.
fn is_known_route(parts: &[&str]) -> bool {
    matches!(
        parts,
        [
            "v1",
            "jobs" | "desired" | "beats" | "status" | "workers" | "zones",
            ..
        ] | ["live" | "ready" | "metrics"]
    )
}

impl Node {
    /// Dispatches a call to its handler, or forwards it if it needs a full copy.
    pub(in crate::node) fn on_call(&mut self, now: Now, origin: Origin, request: Request) {
        self.count("calls", 1);
        let path = request.path.trim_end_matches('/').to_string();
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        if counts_against_call_limit(&parts)
            && self.calls.len() as u64 >= self.settings.limits.calls
        {
            return self.reject_busy(&origin);
        }
        if self.light && needs_full_copy(&request.method, &parts) {
            return self.forward_repeatable(now, origin, &request);
        }
        self.route(now, origin, request, &parts);
    }

    /// Rejects a call because the limit on open calls is reached.
    fn reject_busy(&mut self, origin: &Origin) {
        self.count("calls_rejected", 1);
        let message = "the limit on open calls is reached and this call had no effect: retry later, or at another node";
        let response =
            Response::error(503, "busy", message).retry(self.settings.bounds.retry_after());
        self.reply(origin, response);
    }

    fn route(&mut self, now: Now, origin: Origin, request: Request, parts: &[&str]) {
        match (request.method.as_str(), parts) {
            ("GET", ["live"]) => self.reply(&origin, Response::new(200, json!({"live": true}))),
            ("GET", ["ready"]) => {
                let response = self.ready_response(now);
                self.reply(&origin, response);
            }
            ("GET", ["metrics"]) => {
                let response = self.metrics();
                self.reply(&origin, response);
            }
            ("POST", ["v1", "jobs"]) => self.submit(now, origin, &request.body),
            ("GET", ["v1", "jobs"]) => self.read(
                now,
                origin,
                ReadQuery::Jobs {
                    query: request.query,
                },
            ),
            ("GET", ["v1", "jobs", id]) => self.poll(now, origin, id),
            ("DELETE", ["v1", "jobs", id]) | ("POST", ["v1", "jobs", id, "cancel"]) => {
                self.cancel(now, origin, id)
            }
            ("POST", ["v1", "jobs", id, "tasks", task, "resolve"]) => {
                self.resolve(now, origin, id, task, &request.body)
            }
            ("GET", ["v1", "desired"]) => self.read_config(now, origin),
            ("PUT", ["v1", "desired"]) => self.configure(now, origin, &request, false),
            ("PATCH", ["v1", "desired"]) => self.configure(now, origin, &request, true),
            ("GET", ["v1", "changes", id]) => {
                let id = id.to_string();
                self.read(now, origin, ReadQuery::Change { id });
            }
            ("GET", ["v1", "status"]) => self.read(now, origin, ReadQuery::Status),
            ("GET", ["v1", "workers"]) => self.read(now, origin, ReadQuery::Workers),
            (_, ["v1", "at", ..]) => self.on_routed(now, origin, &request),
            ("PUT", ["v1", "zones", zone, "empty"]) => self.evacuate_zone(now, origin, zone, true),
            ("DELETE", ["v1", "zones", zone, "empty"]) => {
                self.evacuate_zone(now, origin, zone, false)
            }
            ("POST", ["v1", "workers", id, "left"]) => self.on_left(now, origin, id, &request),
            ("POST", ["v1", "beats"]) => self.on_heartbeat(now, origin, request),
            (method, parts) => self.reply(&origin, not_served(method, parts)),
        }
    }

    fn ready_response(&self, now: Now) -> Response {
        let ready = self.is_fresh_and_running(now);
        let status = if ready { 200 } else { 503 };
        let body = json!({"ready": ready, "place": self.state.applied_index, "version": self.state.version});
        Response::new(status, body)
    }
}

/// The response to a call that no route serves.
fn not_served(method: &str, parts: &[&str]) -> Response {
    if is_known_route(parts) {
        let message = format!(
            "{method} is not served here: docs/operators/api.md lists the methods of each route"
        );
        return Response::error(405, "wrongMethod", message);
    }
    let message = "no such route: docs/operators/api.md lists the routes";
    Response::error(404, "noSuchRoute", message)
}
