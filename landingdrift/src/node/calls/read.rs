//! Linearizable reads. A read is answered once this node's copy has reached the read index of a replica, or contains
//! everything that was committed before the call.

use super::{CallState, OpenCall, Origin, CONFIG_PATH};
use crate::node::Node;
use crate::sans_io::{transfer_ms, Now, Request, Response};
use crate::settings::SMALL_NODE_SHARE;
use crate::wire::{Body, NodeProgress, ReadIndexRequest, ReadIndexResponse};
use prost::Message;
use serde_json::json;

/// Timeout of a read index request, in heartbeat intervals, after which the request is sent again, possibly to another
/// replica.
const RETRY_HEARTBEATS: u64 = 5;

/// Maximum transfer time of a body over the slowest assumed link, in milliseconds; for larger ones, a node with a light
/// copy redirects callers to a node with a full copy.
const MAX_TRANSFER_MS: u64 = 250;

/// The data that a call reads once this node has caught up to the read index.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ReadQuery {
    Job { id: String },
    Jobs { query: String },
    ClusterConfig,
    Change { id: String },
    Status,
    Workers,
}

impl ReadQuery {
    /// Whether the read needs jobs or workers, which a light copy of the cluster state does not have.
    fn needs_full_copy(&self) -> bool {
        match self {
            Self::Job { .. } | Self::Jobs { .. } | Self::Status | Self::Workers => true,
            Self::ClusterConfig | Self::Change { .. } => false,
        }
    }

    /// The HTTP request for the same data, to forward to another node.
    pub(super) fn to_request(&self) -> Request {
        let path = match self {
            Self::Job { id } => format!("/v1/jobs/{id}"),
            Self::Jobs { .. } => "/v1/jobs".into(),
            Self::ClusterConfig => CONFIG_PATH.into(),
            Self::Change { id } => format!("/v1/changes/{id}"),
            Self::Status => "/v1/status".into(),
            Self::Workers => "/v1/workers".into(),
        };
        let query = match self {
            Self::Jobs { query } => query.clone(),
            _ => String::new(),
        };
        Request {
            method: "GET".into(),
            path,
            query,
            ..Request::default()
        }
    }
}

/// A read whose read index this node has caught up to.
struct ReadyRead {
    call: u64,
    query: ReadQuery,
    nodes: Vec<NodeProgress>,
}

/// A request for a job's state that is due to be answered; `stale` if this node's copy may lack entries committed
/// before the request.
struct DuePoll {
    call: u64,
    id: String,
    stale: bool,
}

impl CallState {
    /// The data that a pending read asks for; none for other calls.
    fn query(&self) -> Option<ReadQuery> {
        match self {
            Self::ReadIndexPending { query, .. } | Self::CatchingUp { query, .. } => {
                Some(query.clone())
            }
            Self::PollPending { id, .. } => Some(ReadQuery::Job { id: id.clone() }),
            _ => None,
        }
    }

    fn ready_read(&self, call: u64, applied_index: u64) -> Option<ReadyRead> {
        match self {
            Self::CatchingUp {
                query,
                read_index,
                nodes,
            } if *read_index <= applied_index => Some(ReadyRead {
                call,
                query: query.clone(),
                nodes: nodes.clone(),
            }),
            _ => None,
        }
    }

    fn due_poll(&self, call: u64, fresh_at: u64, now: Now) -> Option<DuePoll> {
        let Self::PollPending {
            id,
            received_at,
            answer_by,
        } = self
        else {
            return None;
        };
        let stale = fresh_at < *received_at;
        let due = !stale || now.mono >= *answer_by;
        due.then(|| DuePoll {
            call,
            id: id.clone(),
            stale,
        })
    }
}

impl Node {
    /// Serves a read of the whole configuration. If it is large and this node has a light copy, the caller is
    /// redirected to a node with a full copy, because callers time out on responses that take long to arrive. A small
    /// node without a copy rejects the read: it knows neither the size of the configuration nor who has it.
    pub(super) fn read_config(&mut self, now: Now, origin: Origin) {
        if !self.watch.has_snapshot && self.settings.share < SMALL_NODE_SHARE {
            self.record_call_without_copy();
            // Without Retry-After: the caller may ask another node at once.
            let message = "this node has no configuration yet: retry at another node";
            return self.reply(&origin, Response::error(503, "notReady", message));
        }
        let bytes = self.state.config.encoded_len() as u64;
        let Some(address) = self.pick_redirect_target(now, &origin, bytes) else {
            return self.read(now, origin, ReadQuery::ClusterConfig);
        };
        self.count("reads_redirected", 1);
        self.reply(&origin, Response::redirect(&address, CONFIG_PATH));
    }

    /// The HTTP address of a node with a full copy to redirect a caller to, if this node has a light copy and
    /// transferring `bytes` over the slowest assumed link would take too long. Forwarded calls are not redirected.
    pub(super) fn pick_redirect_target(
        &mut self,
        now: Now,
        origin: &Origin,
        bytes: u64,
    ) -> Option<String> {
        let is_transfer_slow = self.light && transfer_ms(bytes) > MAX_TRANSFER_MS;
        let is_local = matches!(origin, Origin::Local(_));
        if is_transfer_slow && is_local {
            self.pick_full_copy_address(now)
        } else {
            None
        }
    }

    /// Serves a linearizable read: the response reflects the cluster state at the time of the call or later.
    pub(super) fn read(&mut self, now: Now, origin: Origin, query: ReadQuery) {
        let request = query.to_request();
        let is_config_read = !query.needs_full_copy();
        let state = CallState::ReadIndexPending {
            query,
            retry_at: now.mono,
            asked: Vec::new(),
        };
        // If a node with a fresh copy is slow to answer, it is overloaded and other nodes probably are too, so the
        // frequent reads of jobs are not hedged.
        let may_hedge =
            matches!(origin, Origin::Local(_)) && (is_config_read || !self.is_fresh(now));
        let call = self.register_call(now, origin, state);
        if may_hedge {
            self.hedge(now, call, request);
        }
        self.send_read_index(now, call, None);
    }

    /// Requests the read index from a replica; `leader_hint` is the leader that a replica has just named.
    pub(super) fn send_read_index(&mut self, now: Now, call: u64, leader_hint: Option<String>) {
        let open_call = self.calls.open.get(&call);
        let last_asked = match open_call.map(|open_call| &open_call.state) {
            Some(CallState::ReadIndexPending { asked, .. }) => asked.last().cloned(),
            _ => return,
        };
        let to = self.likely_leader(leader_hint, last_asked.unwrap_or_default());
        let retry_after = RETRY_HEARTBEATS * self.settings.bounds.heartbeat_interval();
        let open_call = self.calls.open.get_mut(&call);
        let Some(OpenCall {
            state: CallState::ReadIndexPending {
                retry_at, asked, ..
            },
            ..
        }) = open_call
        else {
            return;
        };
        *retry_at = now.mono + retry_after;
        let attempt = asked.len();
        asked.push(to.clone());
        let token = self.request_token(call, attempt);
        let request = ReadIndexRequest { token };
        self.send(&to, Body::ReadIndexRequest(Box::new(request)));
    }

    pub(in crate::node) fn on_read_index_response(
        &mut self,
        now: Now,
        from: &str,
        response: ReadIndexResponse,
    ) {
        let call = response.token.number;
        let Some(open_call) = self.calls.open.get_mut(&call) else {
            return;
        };
        let CallState::ReadIndexPending {
            query,
            retry_at,
            asked,
        } = &mut open_call.state
        else {
            return;
        };
        let attempt = response.token.attempt as usize;
        if asked.get(attempt).is_none_or(|replica| replica != from) {
            return self.count("responses_unexpected", 1);
        }
        if response.ok {
            open_call.state = CallState::CatchingUp {
                query: query.clone(),
                read_index: response.log_index,
                nodes: response.nodes,
            };
            return self.answer_ready_reads();
        }
        *retry_at = now.mono + self.settings.bounds.heartbeat_interval() / 2;
        if !response.leader.is_empty() && response.leader != self.watch.leader {
            return self.send_read_index(now, call, Some(response.leader));
        }
        // The replica does not lead and names no other leader: guess a random replica as the leader for the next
        // request.
        let replicas = self.replicas();
        self.watch.leader = self.rng.pick(&replicas).cloned().unwrap_or_default();
    }

    /// Forwards open reads that this node can no longer answer because its copy has become a light one.
    pub(in crate::node) fn forward_open_reads(&mut self, now: Now) {
        if !self.light {
            return;
        }
        let mut reads = Vec::new();
        for (call, open_call) in &self.calls.open {
            let query = open_call.state.query();
            let query = query.filter(ReadQuery::needs_full_copy);
            reads.extend(query.map(|query| (*call, query.to_request())));
        }
        for (call, request) in reads {
            self.forward_open_call(now, call, request);
        }
    }

    /// Answers the reads whose read index this node has caught up to.
    pub(in crate::node) fn answer_ready_reads(&mut self) {
        let applied_index = self.state.applied_index;
        let mut ready = Vec::new();
        for (call, open_call) in &self.calls.open {
            ready.extend(open_call.state.ready_read(*call, applied_index));
        }
        for read in ready {
            let response = self.read_response(&read.query, &read.nodes);
            self.finish(read.call, response);
        }
    }

    fn read_response(&self, query: &ReadQuery, nodes: &[NodeProgress]) -> Response {
        match query {
            ReadQuery::Job { id } => self.job_response(id, false).unwrap_or_else(|| {
                let message = format!("job '{id}' does not exist: submit it, or check the id");
                Response::error(404, "unknownJob", message)
            }),
            ReadQuery::Jobs { query } => self.jobs_response(query),
            ReadQuery::ClusterConfig => Response::new(
                200,
                json!({"version": self.state.version, "desired": self.state.config}),
            ),
            ReadQuery::Change { id } => self.change_response(id, nodes),
            ReadQuery::Status => self.status_response(nodes),
            ReadQuery::Workers => self.workers_response(),
        }
    }

    /// Answers requests for a job's state for which the copy is now fresh enough, or whose wait has timed out.
    pub(in crate::node) fn answer_due_polls(&mut self, now: Now) {
        let fresh_at = self.watch.fresh_at;
        let mut due = Vec::new();
        for (call, open_call) in &self.calls.open {
            due.extend(open_call.state.due_poll(*call, fresh_at, now));
        }
        for poll in due {
            if let Some(response) = self.job_response(&poll.id, poll.stale) {
                self.finish(poll.call, response);
            }
        }
    }
}
