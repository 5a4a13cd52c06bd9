//! Three replicas, one of which lacks entries that the log of the others no longer contains.

use super::TestCluster;
use landingdrift::settings::Limits;

pub const SNAPSHOT_EVERY_ENTRIES: u64 = 40;

/// The number of changes of [`CHANGE_BYTES`] that the lagging replica misses: enough for a snapshot of several chunks.
pub const MISSED_CHANGES: usize = 60;

pub const CHANGE_BYTES: usize = 40_000;

pub fn limits() -> Limits {
    Limits {
        snapshot_every: SNAPSHOT_EVERY_ENTRIES,
        ..Limits::default()
    }
}

/// Starts three replicas and crashes one, then commits changes until the log of the others no longer contains the
/// entries that the crashed one lacks. Returns the cluster, the leader and the crashed replica.
pub fn start_with_lagging_replica() -> (TestCluster, usize, usize) {
    let mut cluster = TestCluster::start(limits());
    cluster.commit_change(10);
    let leader = cluster.leader().expect("a leader");
    let lagging = (leader + 1) % 3;
    cluster.crash(lagging);
    (0..MISSED_CHANGES).for_each(|_| cluster.commit_change(CHANGE_BYTES));
    cluster.sent.clear();
    (cluster, leader, lagging)
}
