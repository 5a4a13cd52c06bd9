//! Hollow nodes: the state machines of nodes in this process, with their messages and calls.

use super::drive::{CallKey, Caller, ScaleRun};
use crate::calls::OutgoingCall;
use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, Request, StateMachine};
use landingdrift::wire::{pack, Body};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A node without a process of its own.
pub(super) struct HollowNode {
    pub address: String,
    pub node: Node,
}

/// A message for a hollow node.
pub(super) struct LocalMessage {
    pub node_index: usize,
    pub message: Msg,
}

/// The clocks of all hollow nodes, of which the steady one counts from `start`.
pub(super) fn clock(start: Instant) -> Now {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Now {
        mono: 1 + start.elapsed().as_millis() as u64,
        wall: since_epoch.map_or(0, |time| time.as_millis() as u64),
    }
}

impl ScaleRun<'_> {
    /// Makes a call to a hollow node or a real process.
    pub(super) fn call(&mut self, caller: Caller, call: u64, to: &str, request: Request) {
        let key = CallKey { caller, call };
        if let Some(node_index) = self.by_http.get(to).copied() {
            self.last_call += 1;
            self.calls.insert(self.last_call, key);
            self.local_messages.push_back(LocalMessage {
                node_index,
                message: Msg::Call(self.last_call, request),
            });
        } else {
            let to = to.to_string();
            let _ = self.real_calls.send(OutgoingCall { key, to, request });
        }
    }

    /// Handles the messages between hollow nodes.
    pub(super) fn step_local_messages(&mut self) {
        while let Some(local) = self.local_messages.pop_front() {
            self.step(local.node_index, local.message);
        }
    }

    pub(super) fn step(&mut self, node_index: usize, message: Msg) {
        let now = clock(self.start);
        for effect in self.nodes[node_index].node.step(now, message) {
            match effect {
                Effect::Send(to, body) => self.send(node_index, &to, body),
                Effect::Respond(call, response) => {
                    if let Some(key) = self.calls.remove(&call) {
                        self.answered(key, &response);
                    }
                }
                Effect::Persist(_) | Effect::Log(_) | Effect::Exit => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, body: Body) {
        let address = &self.nodes[from].address;
        if let Some(node_index) = self.by_listen.get(to).copied() {
            self.local_messages.push_back(LocalMessage {
                node_index,
                message: Msg::Received(address.clone(), body),
            });
        } else {
            let frame = pack(&self.cluster, address, &body);
            self.connections.send(to, frame);
        }
    }
}
