//! Calls about jobs by host and path, which are routed to the queue with that host and the longest matching prefix.

use super::{param, Origin, ReadQuery};
use crate::config::{is_same_host, Queue};
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::state::JobSpec;
use serde_json::json;

/// Path prefix of these calls; the host and path follow.
const ROUTED_PREFIX: &str = "/v1/at/";
/// Query parameter of a forwarded call: the configuration version of the forwarding node.
const VERSION_PARAMETER: &str = "config";

/// Whether a call is routed by host and path.
pub(super) fn is_routed(path: &str) -> bool {
    path.starts_with(ROUTED_PREFIX)
}

impl Node {
    /// The queue, with its name, that has this host and the longest prefix of the path.
    fn queue_for_route(&self, host: &str, path: &str) -> Option<(&str, &Queue)> {
        let is_match = |queue: &Queue| {
            let matches_host = !queue.prefix.is_empty() && is_same_host(&queue.host, host);
            matches_host && path.starts_with(&queue.prefix)
        };
        let queues = self.state.config.queues.iter();
        let (name, queue) = queues
            .filter(|(_, queue)| is_match(queue))
            .max_by_key(|(_, queue)| queue.prefix.len())?;
        Some((name, queue))
    }

    /// Serves a call that is routed by host and path.
    pub(super) fn on_routed(&mut self, now: Now, origin: Origin, request: &Request) {
        let rest = request.path.strip_prefix(ROUTED_PREFIX).unwrap_or_default();
        let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        if !self.is_fresh(now) || self.state.version == 0 || self.is_behind_answered_version() {
            if request.method == "GET" {
                return self.forward_by_path(now, origin, request);
            }
            self.record_call_without_copy();
            let response = Response::error(503, "notReady", "this node's configuration is out of date and the call had no effect: retry later, or at another node");
            return self.reply(&origin, response.retry(self.settings.bounds.retry_after()));
        }
        if self.is_behind_forwarder(request) {
            return self.forward_repeatable(now, origin, request);
        }
        let Some((queue_name, queue)) = self.queue_for_route(host, path) else {
            let response = Response::error(
                404,
                "noSuchQueue",
                "no queue matches this host and path: declare one, or correct the URL",
            );
            return self.reply(&origin, response);
        };
        let queue_name = queue_name.to_string();
        let service = queue.service.clone();
        let id = path[queue.prefix.len()..].trim_matches('/').to_string();
        if self.light && request.method == "GET" {
            return self.forward_routed_read(now, origin, request, &id);
        }
        match (request.method.as_str(), id.as_str()) {
            ("GET", "") => {
                let waiting_count = self.waiting_count(&queue_name);
                self.reply(
                    &origin,
                    Response::new(200, json!({"waiting": waiting_count})),
                );
            }
            ("POST", _) => match routed_spec(&request.body, id, queue_name, &service) {
                Ok(spec) => self.submit_spec(now, origin, spec),
                Err(response) => self.reply(&origin, response),
            },
            ("GET", id) => self.poll(now, origin, id),
            ("DELETE", id) => self.cancel(now, origin, id),
            _ => {
                let message = "method not supported: POST submits a job, GET returns its state, DELETE cancels it";
                self.reply(&origin, Response::error(405, "wrongMethod", message));
            }
        }
    }

    /// Forwards a read. A read of a job is forwarded by job id instead of host and path, since the other node may not
    /// have the configuration yet from which this node derived the id.
    fn forward_routed_read(&mut self, now: Now, origin: Origin, request: &Request, id: &str) {
        if id.is_empty() {
            return self.forward_by_path(now, origin, request);
        }
        let by_id = ReadQuery::Job { id: id.into() }.to_request();
        self.forward_repeatable(now, origin, &by_id);
    }

    /// Forwards a read by host and path, which must not be answered from an older configuration than callers of this
    /// node have already seen.
    fn forward_by_path(&mut self, now: Now, origin: Origin, request: &Request) {
        let request = Request {
            query: format!("{VERSION_PARAMETER}={}", self.min_answer_version()),
            ..request.clone()
        };
        self.forward_repeatable(now, origin, &request);
    }

    /// Whether the node that forwarded the call has a newer configuration than this node.
    fn is_behind_forwarder(&self, request: &Request) -> bool {
        let version = param(&request.query, VERSION_PARAMETER);
        let version = version.and_then(|version| version.parse::<u64>().ok());
        version.is_some_and(|version| version > self.state.version)
    }

    /// The number of a queue's unfinished jobs none of whose tasks has started running; a task that is only placed has
    /// not started.
    fn waiting_count(&self, queue: &str) -> usize {
        let open = self.state.unfinished_jobs.iter();
        let jobs = open.filter_map(|id| self.state.jobs.get(id));
        let in_queue = jobs.filter(|job| job.spec.queue == queue);
        in_queue.filter(|job| !job.has_begun()).count()
    }
}

/// The job specification in a request body, with the id, queue and service set by the route.
fn routed_spec(body: &[u8], id: String, queue: String, service: &str) -> Result<JobSpec, Response> {
    let mut spec: JobSpec = serde_json::from_slice(body)
        .map_err(|error| Response::error(400, "wrongJob", error.to_string()))?;
    spec.id = id;
    spec.queue = queue;
    for step in &mut spec.steps {
        step.task.service = service.to_string();
    }
    for task in &mut spec.tasks {
        task.service = service.to_string();
    }
    Ok(spec)
}
