//! How a replica ends in order: it hands the lead on, lets a standby vote in its place, and goes on answering meanwhile.

use super::{Replica, Role};
use crate::sans_io::{Effect, Now};

impl Replica {
    /// The process is asked to stop.
    pub(super) fn on_stop(&mut self, now: Now) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(now.mono + self.settings.bounds.leave());
        self.leave_permitted = false;
        if self.role == Role::Leader {
            self.transfer_leadership(now);
        }
    }

    /// A replica that stops hands the lead on, and ends once a standby votes in its place, or the leader says that none
    /// can, or its time is over.
    pub(super) fn stop_tick(&mut self, now: Now) {
        let Some(until) = self.stopping else { return };
        let votes = self.state.replicas.get(&self.name).is_some_and(|m| m.voter);
        let replaced = self.role != Role::Leader && (!votes || self.leave_permitted);
        if now.mono >= until || replaced {
            self.out.push(Effect::Exit);
            return;
        }
        if self.role == Role::Leader
            && now.mono >= self.transfer_offered_at + self.settings.bounds.heartbeat()
        {
            self.transfer_leadership(now);
        }
    }
}
