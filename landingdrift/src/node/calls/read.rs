//! Reads that are surely not old: a replica names the place to follow to, or the watch is as new as the question.

use super::{Open, Origin, State};
use crate::node::Node;
use crate::sans_io::{Now, Response};
use crate::wire::{Body, NodeProgress, ReadIndexRequest, ReadIndexResponse};
use serde_json::json;

/// What is done once this node has followed to a place that the replica named.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ReadThen {
    Job { id: String },
    Jobs { query: String },
    ClusterConfig,
    Change { id: String },
    Status,
    Workers,
}

/// A read that can be answered: the watch has come to the place that the replica named.
struct ReadyRead {
    call: u64,
    then: ReadThen,
    nodes: Vec<NodeProgress>,
}

/// A question after a job that is answered now; `stale` says that the watch may not have told all of it.
struct DuePoll {
    call: u64,
    id: String,
    stale: bool,
}

impl State {
    fn ready_read(&self, call: u64, followed: u64) -> Option<ReadyRead> {
        match self {
            Self::Following {
                then,
                log_index,
                nodes,
            } if *log_index <= followed => Some(ReadyRead {
                call,
                then: then.clone(),
                nodes: nodes.clone(),
            }),
            _ => None,
        }
    }

    fn due_poll(&self, call: u64, fresh_at: u64, now: Now) -> Option<DuePoll> {
        let Self::Fresh {
            id,
            asked,
            patience,
        } = self
        else {
            return None;
        };
        let stale = fresh_at < *asked;
        let due = !stale || now.mono >= *patience;
        due.then(|| DuePoll {
            call,
            id: id.clone(),
            stale,
        })
    }
}

/// A replica that gives no answer is asked again, or another is, after so many heartbeats.
const ASK_AGAIN_HEARTBEATS: u64 = 5;

impl Node {
    /// Reads what is surely not old: the replica names the place to follow to.
    pub(super) fn read(&mut self, now: Now, origin: Origin, then: ReadThen) {
        let call = self.open(
            now,
            origin,
            State::Asked {
                then,
                next: now.mono,
                asked: Vec::new(),
            },
        );
        self.ask_place(now, call, None);
    }

    pub(super) fn ask_place(&mut self, now: Now, call: u64, hint: Option<String>) {
        let replicas = self.replicas();
        let leader = Some(self.watch.leader.clone()).filter(|l| !l.is_empty());
        let to = hint
            .filter(|h| !h.is_empty())
            .or(leader)
            .or_else(|| self.rng.pick(&replicas).cloned())
            .unwrap_or_default();
        let again = ASK_AGAIN_HEARTBEATS * self.settings.bounds.heartbeat();
        if let Some(Open {
            state: State::Asked { next, asked, .. },
            ..
        }) = self.calls.open.get_mut(&call)
        {
            *next = now.mono + again;
            let attempt = asked.len();
            asked.push(to.clone());
            let token = self.request_token(call, attempt);
            self.send(
                &to,
                Body::ReadIndexRequest(Box::new(ReadIndexRequest { token })),
            );
        }
    }

    pub(in crate::node) fn on_read_place(&mut self, now: Now, from: &str, m: ReadIndexResponse) {
        let call = m.token.number;
        let Some(o) = self.calls.open.get_mut(&call) else {
            return;
        };
        let State::Asked { then, next, asked } = &mut o.state else {
            return;
        };
        let attempt = m.token.attempt as usize;
        if asked.get(attempt).is_none_or(|to| to != from) {
            return self.count("responses_unexpected", 1);
        }
        if m.ok {
            o.state = State::Following {
                then: then.clone(),
                log_index: m.log_index,
                nodes: m.nodes,
            };
            return self.calls_on_place();
        }
        *next = now.mono + self.settings.bounds.heartbeat() / 2;
        if !m.leader.is_empty() && m.leader != self.watch.leader {
            return self.ask_place(now, call, Some(m.leader));
        }
        let replicas = self.replicas();
        self.watch.leader = self.rng.pick(&replicas).cloned().unwrap_or_default();
    }

    pub(in crate::node) fn calls_on_place(&mut self) {
        let log_index = self.state.applied_index;
        let open = self.calls.open.iter();
        let ready: Vec<ReadyRead> = open
            .filter_map(|(call, o)| o.state.ready_read(*call, log_index))
            .collect();
        for read in ready {
            let v = self.answer_read(&read.then, &read.nodes);
            self.finish(read.call, v);
        }
    }

    fn answer_read(&self, then: &ReadThen, nodes: &[NodeProgress]) -> Response {
        match then {
            ReadThen::Job { id } => self.job_response(id, false).unwrap_or_else(|| {
                Response::error(
                    404,
                    "unknownJob",
                    format!("no job '{id}' was accepted: hand it in, or check the id"),
                )
            }),
            ReadThen::Jobs { query } => self.jobs_response(query),
            ReadThen::ClusterConfig => Response::new(
                200,
                json!({"version": self.state.version, "desired": self.state.config}),
            ),
            ReadThen::Change { id } => self.change_response(id, nodes),
            ReadThen::Status => self.status_response(nodes),
            ReadThen::Workers => self.workers_response(),
        }
    }

    /// Answers questions after jobs that the watch is now fresh enough for, or that have waited long enough.
    pub(in crate::node) fn answer_fresh(&mut self, now: Now) {
        let fresh_at = self.watch.fresh_at;
        let open = self.calls.open.iter();
        let due: Vec<DuePoll> = open
            .filter_map(|(call, o)| o.state.due_poll(*call, fresh_at, now))
            .collect();
        for poll in due {
            if let Some(v) = self.job_response(&poll.id, poll.stale) {
                self.finish(poll.call, v);
            }
        }
    }
}
