//! Registration of nodes by the leader: commands that add live nodes to the cluster state and mark lost ones as gone.

use super::Replica;
use crate::sans_io::Now;
use crate::state::Command;

impl Replica {
    /// Registers a node that follows the log, or marks one as gone that is lost, or that is leaving and holds no lease.
    pub(super) fn next_node_command(&mut self, now: Now) -> Option<Command> {
        self.node_to_register(now)
            .or_else(|| self.node_to_mark_gone(now))
    }

    fn node_to_register(&self, now: Now) -> Option<Command> {
        let timeout = self.settings.bounds.node_timeout();
        for (name, watcher) in &self.watch.watchers {
            let is_timed_out = now.mono.saturating_sub(watcher.last_heard_at) >= timeout;
            if is_timed_out || watcher.leaving {
                continue;
            }
            let known = self.state.nodes.get(name);
            let is_registered = known.is_some_and(|node| {
                node.alive && node.zone == watcher.zone && node.http == watcher.http
            });
            if !is_registered {
                return Some(Command::RegisterNode {
                    node: name.clone(),
                    zone: watcher.zone.clone(),
                    http: watcher.http.clone(),
                });
            }
        }
        None
    }

    fn node_to_mark_gone(&self, now: Now) -> Option<Command> {
        let timeout = self.settings.bounds.node_timeout();
        let has_led_beyond_timeout = now.mono.saturating_sub(self.leadership.since) > timeout;
        for (name, node) in &self.state.nodes {
            let is_lost_or_has_left = match self.watch.watchers.get(name) {
                Some(watcher) => {
                    let is_timed_out = now.mono.saturating_sub(watcher.last_heard_at) > timeout;
                    is_timed_out || (watcher.leaving && !self.holds_lease(name))
                }
                None => has_led_beyond_timeout,
            };
            if node.alive && is_lost_or_has_left {
                return Some(Command::MarkNodeGone { node: name.clone() });
            }
        }
        None
    }

    fn holds_lease(&self, node: &str) -> bool {
        let mut leases = self.state.leases.values();
        leases.any(|lease| lease.holder == node)
    }
}
