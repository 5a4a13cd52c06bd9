//! What a replica says of itself: over HTTP, and in counters.

use super::{Replica, Role};
use crate::sans_io::{Effect, Now, Part, Request, Response};
use serde_json::json;

impl Replica {
    /// What the replica says of itself over HTTP.
    pub(super) fn on_call(&mut self, now: Now, call: u64, req: &Request) {
        let ready = self.storage.takes_writes()
            && self.recovery.is_none()
            && (self.role == Role::Leader
                || now.mono.saturating_sub(self.heard_leader)
                    < 2 * self.settings.bounds.election());
        let response = match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/live") => Response::new(200, json!({"live": true})),
            ("GET", "/ready") => Response::new(
                if ready && self.stopping.is_none() {
                    200
                } else {
                    503
                },
                json!({"ready": ready && self.stopping.is_none()}),
            ),
            ("GET", "/metrics") => self.metrics(),
            ("GET", "/v1/status") => {
                let members = self.members();
                let left = &self.resilience;
                Response::new(
                    200,
                    json!({"core": self.name, "role": format!("{:?}", self.role), "leader": self.leader, "term": self.hard_state.term, "commit": self.commit,
                           "last": self.last().0, "members": members, "version": self.state.version,
                           "machineLossesLeft": left.machine_losses_left, "zoneLossSurvivable": left.zone_loss_survivable,
                           "disk": self.storage.report(now.mono)}),
                )
            }
            _ => Response::error(
                404,
                "noSuchRoute",
                "a core serves /live, /ready, /metrics and /v1/status: send all else to a node",
            ),
        };
        self.out.push(Effect::Answer(call, response));
    }

    /// All counters, by name.
    pub(super) fn all_counters(&self) -> Vec<(String, u64)> {
        let mut all: Vec<(String, u64)> = self
            .counters
            .iter()
            .map(|(k, v)| (k.to_string(), *v))
            .collect();
        all.push(("term".into(), self.hard_state.term));
        let takes_writes = self.storage.takes_writes();
        all.push(("disk_takes_writes".into(), u64::from(takes_writes)));
        all.push(("commit".into(), self.commit));
        all.push(("leads".into(), u64::from(self.role == Role::Leader)));
        all.push(("jobs_open".into(), self.state.open.len() as u64));
        all.push(("jobs_kept".into(), self.state.jobs.len() as u64));
        all.push(("log_entries_in_memory".into(), self.log.len() as u64));
        if self.role == Role::Leader {
            let left = &self.resilience;
            all.push(("voters".into(), left.voters as u64));
            all.push(("standbys".into(), left.standbys as u64));
            let losses = left.machine_losses_left.max(0) as u64;
            all.push(("machine_losses_left".into(), losses));
            let zone = u64::from(left.zone_loss_survivable);
            all.push(("zone_loss_survivable".into(), zone));
        }
        let log_bytes = self.log.iter().map(|e| e.command.len() as u64).sum();
        all.push(("log_bytes_in_memory".into(), log_bytes));
        let outgoing = self.peers.values().filter(|p| p.outgoing.is_some()).count();
        all.push(("snapshots_on_their_way".into(), outgoing as u64));
        all
    }
}
