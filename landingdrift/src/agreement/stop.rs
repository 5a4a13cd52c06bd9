//! How a replica ends in order: it hands the lead on, lets a standby vote in its place, and goes on answering meanwhile.

use super::{Replica, Role};
use crate::kernel::{Effect, Now};

impl Replica {
    /// The process is asked to stop.
    pub(super) fn on_stop(&mut self, now: Now) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(now.mono + self.settings.bounds.leave());
        self.released = false;
        if self.role == Role::Leader {
            self.hand_over(now);
        }
    }

    /// A replica that stops hands the lead on, and ends once a standby votes in its place, or the leader says that none
    /// can, or its time is over.
    pub(super) fn stop_tick(&mut self, now: Now) {
        let Some(until) = self.stopping else { return };
        let votes = self.record.cores.get(&self.name).is_some_and(|m| m.voter);
        let replaced = self.role != Role::Leader && (!votes || self.released);
        if now.mono >= until || replaced {
            self.out.push(Effect::Exit);
            return;
        }
        if self.role == Role::Leader
            && now.mono >= self.handed_at + self.settings.bounds.heartbeat()
        {
            self.hand_over(now);
        }
    }
}
