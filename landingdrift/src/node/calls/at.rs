//! Jobs handed in by host and path: the queue whose host and longest prefix fit takes them.

use super::Origin;
use crate::config::Queue;
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::state::{JobSpec, JobState};
use serde_json::json;

const AT: &str = "/v1/at/";

impl Node {
    /// The queue that a host and path belong to, with its name: the one of the longest prefix.
    fn routed(&self, host: &str, path: &str) -> Option<(&str, &Queue)> {
        let host = host.split(':').next().unwrap_or_default();
        self.state
            .config
            .queues
            .iter()
            .filter(|(_, q)| !q.prefix.is_empty() && q.host.eq_ignore_ascii_case(host))
            .filter(|(_, q)| path.starts_with(&q.prefix))
            .max_by_key(|(_, q)| q.prefix.len())
            .map(|(k, q)| (k.as_str(), q))
    }

    pub(super) fn on_routed(&mut self, now: Now, origin: Origin, req: &Request) {
        let rest = req.path.strip_prefix(AT).unwrap_or_default();
        let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        if !self.fresh(now) || self.state.version == 0 {
            let v = Response::error(503, "notReady", "this node has no configuration that is new enough, and took nothing: come back later, or go to another node");
            return self.reply(&origin, v.retry(self.settings.bounds.back()));
        }
        let Some((queue, service, prefix)) = self
            .routed(host, path)
            .map(|(k, q)| (k.to_string(), q.service.clone(), q.prefix.len()))
        else {
            let v = Response::error(
                404,
                "noSuchQueue",
                "no queue has this host and path: declare one, or correct the call",
            );
            return self.reply(&origin, v);
        };
        let id = path[prefix..].trim_matches('/').to_string();
        if self.light && req.method == "GET" {
            return self.forward_to_holder(now, origin, req);
        }
        match (req.method.as_str(), id.as_str()) {
            ("GET", "") => {
                let waiting = self.waiting(&queue);
                self.reply(&origin, Response::new(200, json!({"waiting": waiting})));
            }
            ("POST", _) => match routed_spec(&req.body, id, queue, &service) {
                Ok(spec) => self.submit_spec(now, origin, spec),
                Err(v) => self.reply(&origin, v),
            },
            ("GET", id) => self.poll(now, origin, id),
            ("DELETE", id) => self.cancel(now, origin, id),
            _ => {
                let why = "POST hands a job in, GET tells its state, DELETE cancels it";
                self.reply(&origin, Response::error(405, "wrongMethod", why));
            }
        }
    }

    /// Jobs of a queue that hold nothing yet.
    fn waiting(&self, queue: &str) -> usize {
        let jobs = self.state.open.iter();
        jobs.filter_map(|id| self.state.jobs.get(id))
            .filter(|j| j.spec.queue == queue && j.state == JobState::Waiting)
            .count()
    }
}

/// The job that a body specifies; its id, queue and service come from the route.
fn routed_spec(body: &[u8], id: String, queue: String, service: &str) -> Result<JobSpec, Response> {
    let mut spec: JobSpec = serde_json::from_slice(body)
        .map_err(|e| Response::error(400, "wrongJob", e.to_string()))?;
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
