//! Three replicas of which one has missed more than the log still has.

use super::Cores;
use landingdrift::settings::Limits;

pub const EVERY: u64 = 40;

/// So many changes of this size make a snapshot of several chunks.
pub const CHANGES: usize = 60;

pub const CHANGE_BYTES: usize = 40_000;

pub fn limits() -> Limits {
    Limits {
        snapshot_every: EVERY,
        ..Limits::default()
    }
}

/// Three replicas of which one missed so much that the log does not reach back to it; the one is down.
pub fn one_behind() -> (Cores, usize, usize) {
    let mut all = Cores::start(limits());
    all.change(10);
    let leader = all.leader().expect("somebody leads");
    let behind = (leader + 1) % 3;
    all.kill(behind);
    (0..CHANGES).for_each(|_| all.change(CHANGE_BYTES));
    all.sent.clear();
    (all, leader, behind)
}
