//! Status and metrics of a replica: its HTTP routes and counters.

use super::{Replica, Role};
use crate::sans_io::{Now, Request, Response, StateMachine};
use serde_json::json;

/// A replica that no leader has contacted for this many election timeouts is not ready.
const READY_ELECTION_TIMEOUTS: u64 = 2;

impl Replica {
    /// Answers an HTTP request.
    pub(super) fn on_call(&mut self, now: Now, call: u64, request: &Request) {
        let response = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/live") => Response::new(200, json!({"live": true})),
            ("GET", "/ready") => self.ready_response(now),
            ("GET", "/metrics") => self.metrics(),
            ("GET", "/v1/status") => self.status_response(now),
            _ => Response::error(
                404,
                "noSuchRoute",
                "a core serves only /live, /ready, /metrics and /v1/status: send other requests to a node",
            ),
        };
        self.outbox.respond(call, response);
    }

    fn ready_response(&self, now: Now) -> Response {
        let ready = self.is_ready(now);
        let status = if ready { 200 } else { 503 };
        Response::new(status, json!({ "ready": ready }))
    }

    fn is_ready(&self, now: Now) -> bool {
        let since_contact = now.mono.saturating_sub(self.election.last_leader_contact);
        let has_leader_contact =
            since_contact < READY_ELECTION_TIMEOUTS * self.settings.bounds.election_timeout();
        self.disk_health.accepts_writes()
            && !self.is_recovering()
            && !self.shutdown.is_requested()
            && (self.role == Role::Leader || has_leader_contact)
    }

    fn status_response(&mut self, now: Now) -> Response {
        let members = self.members();
        let resilience = &self.membership.resilience;
        Response::new(
            200,
            json!({
                "core": self.name,
                "role": self.role.name(),
                "leader": self.leader,
                "term": self.hard_state.term,
                "commit": self.log.commit_index,
                "last": self.log.last().index,
                "members": members,
                "version": self.state.version,
                "machineLossesLeft": resilience.machine_losses_left,
                "zoneLossSurvivable": resilience.zone_loss_survivable,
                "disk": self.disk_health.report(now.mono),
            }),
        )
    }

    /// All counters and gauges, as pairs of name and value.
    pub(super) fn all_counters(&self) -> Vec<(String, u64)> {
        let mut all = self.outbox.counters();
        let mut add = |name: &str, value: u64| all.push((name.into(), value));
        add("term", self.hard_state.term);
        add(
            "disk_takes_writes",
            u64::from(self.disk_health.accepts_writes()),
        );
        add("commit", self.log.commit_index);
        add("leads", u64::from(self.role == Role::Leader));
        add("jobs_open", self.state.unfinished_jobs.len() as u64);
        add("jobs_kept", self.state.jobs.len() as u64);
        add("log_entries_in_memory", self.log.len() as u64);
        if self.role == Role::Leader {
            let resilience = &self.membership.resilience;
            add("voters", resilience.voters as u64);
            add("standbys", resilience.standbys as u64);
            add(
                "machine_losses_left",
                resilience.machine_losses_left.max(0) as u64,
            );
            add(
                "zone_loss_survivable",
                u64::from(resilience.zone_loss_survivable),
            );
        }
        add("log_bytes_in_memory", self.log.bytes());
        let progress = self.leadership.progress.values();
        let outgoing = progress.filter(|p| p.snapshot.is_some()).count();
        add("snapshots_on_their_way", outgoing as u64);
        if let Some(ahead_ms) = self.clock_ahead_of_wall_ms {
            add("cluster_clock_ahead_ms", ahead_ms.max(0).unsigned_abs());
            add("cluster_clock_behind_ms", ahead_ms.min(0).unsigned_abs());
        }
        all
    }
}
