//! What a leader knows of the replicas and nodes that follow it.

use super::{snapshot, watch_snapshots};

/// What a leader knows of another replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    pub(super) next: u64,
    pub(super) matched: u64,
    /// The disk that answered last, 0 before any did, and the newest round it answered.
    pub(super) disk: u64,
    pub(super) answered: u64,
    /// It is being shut down in order.
    pub(super) leaving: bool,
    /// When the latest round that it answered was sent.
    pub(super) round_sent: u64,
    /// When it was last heard, and when entries were last sent.
    pub(super) heard: u64,
    pub(super) sent: u64,
    /// The round of the batch under way; 0 for none.
    pub(super) pending: u64,
    pub(super) outgoing: Option<snapshot::Outgoing>,
    /// Its disk takes nothing: it hears heartbeats, and gets no entries.
    pub(super) refuses: bool,
}

impl Peer {
    /// Takes witness of the disk that answers. What an earlier disk at this address confirmed is gone with it.
    pub(super) fn take_disk(&mut self, disk: u64) {
        if self.disk != 0 && self.disk != disk {
            self.matched = 0;
            self.round_sent = 0;
            self.next = 1;
            self.pending = 0;
            self.outgoing = None;
        }
        self.disk = disk;
    }
}

/// What a leader knows of a node that follows the watch.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watcher {
    pub(super) log_index: u64,
    pub(super) sent: u64,
    pub(super) heard: u64,
    pub(super) echo: u64,
    pub(super) zone: String,
    pub(super) http: String,
    pub(super) leaving: bool,
    pub(super) successor: String,
    pub(super) share: u32,
    pub(super) beside_core: bool,
    /// It follows a light copy of the cluster state.
    pub(super) light: bool,
    /// The last chunk of a snapshot that it was sent, and the place of that snapshot.
    pub(super) chunk: watch_snapshots::SentChunk,
    pub(super) fetched: u64,
}
