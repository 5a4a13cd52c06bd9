//! Jobs that are submitted by host and path: they go to the queue with that host and the longest matching prefix.

use super::{param, Origin, ReadQuery};
use crate::config::{is_same_host, Queue};
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::state::JobSpec;
use serde_json::json;

/// The prefix of these calls; the host and path follow.
const ROUTED_PREFIX: &str = "/v1/at/";
/// The parameter of a forwarded call that names the version of the configuration which the forwarding node has.
const VERSION_PARAMETER: &str = "config";

/// Whether a call is one by host and path.
pub(super) fn is_routed(path: &str) -> bool {
    path.starts_with(ROUTED_PREFIX)
}

impl Node {
    /// The queue that a host and path belong to, with its name: the one of the longest prefix.
    fn routed(&self, host: &str, path: &str) -> Option<(&str, &Queue)> {
        let is_match = |queue: &Queue| {
            let of_host = !queue.prefix.is_empty() && is_same_host(&queue.host, host);
            of_host && path.starts_with(&queue.prefix)
        };
        let queues = self.state.config.queues.iter();
        let (name, queue) = queues
            .filter(|(_, queue)| is_match(queue))
            .max_by_key(|(_, queue)| queue.prefix.len())?;
        Some((name, queue))
    }

    /// Serves a call by host and path.
    pub(super) fn on_routed(&mut self, now: Now, origin: Origin, request: &Request) {
        let rest = request.path.strip_prefix(ROUTED_PREFIX).unwrap_or_default();
        let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        if !self.fresh(now) || self.state.version == 0 || self.is_behind_answers() {
            if request.method == "GET" {
                return self.forward_by_path(now, origin, request);
            }
            self.note_call_without_copy();
            let response = Response::error(503, "notReady", "this node has no configuration that is new enough, and took nothing: come back later, or go to another node");
            return self.reply(&origin, response.retry(self.settings.bounds.retry_after()));
        }
        if self.is_behind_forwarder(request) {
            return self.forward_repeatable(now, origin, request);
        }
        let Some((queue_name, queue)) = self.routed(host, path) else {
            let response = Response::error(
                404,
                "noSuchQueue",
                "no queue has this host and path: declare one, or correct the call",
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
                let waiting = self.waiting(&queue_name);
                self.reply(&origin, Response::new(200, json!({"waiting": waiting})));
            }
            ("POST", _) => match routed_spec(&request.body, id, queue_name, &service) {
                Ok(spec) => self.submit_spec(now, origin, spec),
                Err(response) => self.reply(&origin, response),
            },
            ("GET", id) => self.poll(now, origin, id),
            ("DELETE", id) => self.cancel(now, origin, id),
            _ => {
                let why = "POST hands a job in, GET tells its state, DELETE cancels it";
                self.reply(&origin, Response::error(405, "wrongMethod", why));
            }
        }
    }

    /// Has another node answer a read. What asks for a job is forwarded by its id alone: the other node may not have the
    /// configuration yet by which this one found the queue.
    fn forward_routed_read(&mut self, now: Now, origin: Origin, request: &Request, id: &str) {
        if id.is_empty() {
            return self.forward_by_path(now, origin, request);
        }
        let by_id = ReadQuery::Job { id: id.into() }.to_request();
        self.forward_repeatable(now, origin, &by_id);
    }

    /// Has another node answer a read by host and path, by no older configuration than callers of this node were answered
    /// by.
    fn forward_by_path(&mut self, now: Now, origin: Origin, request: &Request) {
        let request = Request {
            query: format!("{VERSION_PARAMETER}={}", self.oldest_version_to_answer_by()),
            ..request.clone()
        };
        self.forward_repeatable(now, origin, &request);
    }

    /// Whether the node that has forwarded a call has a newer configuration than this one.
    fn is_behind_forwarder(&self, request: &Request) -> bool {
        let version = param(&request.query, VERSION_PARAMETER);
        let version = version.and_then(|version| version.parse::<u64>().ok());
        version.is_some_and(|version| version > self.state.version)
    }

    /// How many jobs of a queue have been accepted of which no task has begun, whether they are placed or not.
    fn waiting(&self, queue: &str) -> usize {
        let open = self.state.unfinished_jobs.iter();
        let jobs = open.filter_map(|id| self.state.jobs.get(id));
        let of_queue = jobs.filter(|job| job.spec.queue == queue);
        of_queue.filter(|job| !job.has_begun()).count()
    }
}

/// The job that a body specifies; its id, queue and service come from the route.
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
