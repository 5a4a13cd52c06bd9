//! Clients of the machines: they propose changes and ask how far the log goes.

use super::cluster::{Cluster, CLIENT};
use landingdrift::sans_io::Msg;
use landingdrift::state::Command;
use landingdrift::wire::{Body, ProposeRequest, ReadIndexRequest, RequestToken};
use serde_json::json;

impl Cluster {
    /// A client proposes a configuration on top of a version at a machine.
    pub fn propose(&mut self, i: usize, base: u64) {
        let token = self.token();
        let change = format!("change-{token}");
        self.ledger.proposes(token, change.clone());
        let value = json!({"queues": {}, "notes": {"by": change}});
        let command = Command::UpdateConfig {
            change,
            base,
            patch: false,
            number: 0,
            value,
        };
        self.propose_command(i, token, &command);
    }

    /// Somebody proposes a command, whatever it is.
    pub fn propose_command(&mut self, i: usize, token: u64, command: &Command) {
        let propose = ProposeRequest {
            token: request(token),
            command: command.pack(),
        };
        let body = Body::ProposeRequest(Box::new(propose));
        self.step(i, Msg::Wire(CLIENT.into(), body));
    }

    /// A client asks a machine how far the log goes.
    pub fn read(&mut self, i: usize) {
        let token = self.token();
        self.ledger.reads(token);
        let ask = Body::ReadIndexRequest(Box::new(ReadIndexRequest {
            token: request(token),
        }));
        self.step(i, Msg::Wire(CLIENT.into(), ask));
    }

    fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    pub(super) fn answer(&mut self, body: &Body) {
        match body {
            Body::ProposeResponse(answer) if answer.outcome == 0 => {
                if let Some(index) = self.ledger.proposed(answer) {
                    self.check_durable(index);
                }
            }
            Body::ReadIndexResponse(answer) => self.ledger.read(answer),
            _ => {}
        }
    }
}

/// The token of the client's request with a number.
fn request(number: u64) -> RequestToken {
    RequestToken {
        incarnation: 1,
        number,
        attempt: 1,
    }
}
