//! Clients of the replicas: they propose changes and ask for the index of the last committed entry.

use super::cluster::{Cluster, CLIENT};
use landingdrift::sans_io::Msg;
use landingdrift::state::Command;
use landingdrift::wire::{Body, ProposeRequest, ReadIndexRequest, RequestToken};
use serde_json::json;

impl Cluster {
    /// A client proposes a configuration on top of a version (`base`) at a machine.
    pub fn propose(&mut self, machine_index: usize, base: u64) {
        let number = self.next_request_number();
        let change = format!("change-{number}");
        self.observations.observe_proposal(number, change.clone());
        let value = json!({"queues": {}, "notes": {"by": change}});
        let command = Command::UpdateConfig {
            change,
            base_version: base,
            is_patch: false,
            version: 0,
            value,
        };
        self.propose_command(machine_index, number, &command);
    }

    /// A client proposes any command; `number` is that of its request.
    pub fn propose_command(&mut self, machine_index: usize, number: u64, command: &Command) {
        let propose = ProposeRequest {
            token: request_token(number),
            command: command.pack(),
        };
        let body = Body::ProposeRequest(Box::new(propose));
        self.step(machine_index, Msg::Received(CLIENT.into(), body));
    }

    /// A client outputs a machine for the index of the last committed entry.
    pub fn read(&mut self, machine_index: usize) {
        let number = self.next_request_number();
        self.observations.observe_read(number);
        let body = Body::ReadIndexRequest(Box::new(ReadIndexRequest {
            token: request_token(number),
        }));
        self.step(machine_index, Msg::Received(CLIENT.into(), body));
    }

    fn next_request_number(&mut self) -> u64 {
        self.last_request += 1;
        self.last_request
    }

    pub(super) fn observe_response(&mut self, body: &Body) {
        match body {
            Body::ProposeResponse(response) if response.outcome == 0 => {
                if let Some(index) = self.observations.observe_propose_response(response) {
                    self.check_durable(index);
                }
            }
            Body::ReadIndexResponse(response) => self.observations.observe_read_response(response),
            _ => {}
        }
    }
}

/// The token of the client's request with a number.
fn request_token(number: u64) -> RequestToken {
    RequestToken {
        incarnation: 1,
        number,
        attempt: 1,
    }
}
