//! Snapshot transfer from a replica to nodes: one chunk in flight at a time, and one snapshot shared by all nodes.

mod replicas;

use landingdrift::snapshot_chunks::{ChunkOutcome, SnapshotAssembly, CHUNK_BYTES};
use landingdrift::wire::{Body, WatchRequest, WatchSnapshotChunk};
use replicas::behind::start_with_lagging_replica;
use replicas::{TestCluster, NODE};

fn snapshot_chunks(cluster: &TestCluster) -> Vec<WatchSnapshotChunk> {
    let messages = cluster
        .external_messages
        .iter()
        .filter(|message| message.to == NODE);
    messages
        .filter_map(|message| match &message.body {
            Body::WatchSnapshotChunk(m) => Some((**m).clone()),
            _ => None,
        })
        .collect()
}

#[test]
fn a_node_fetches_a_snapshot_a_chunk_at_a_time() {
    let (mut cluster, leader, _) = start_with_lagging_replica();
    let mut assembly = SnapshotAssembly::default();
    let mut complete = None;
    for _ in 0..200 {
        let before = snapshot_chunks(&cluster).len();
        let part = assembly.identity();
        let send_request = |cluster: &mut TestCluster| {
            cluster.send_watch_request(WatchRequest {
                part_index: part.index,
                part_checksum: part.checksum,
                part_received: assembly.received(),
                ..TestCluster::watch_request_of(NODE, 0)
            });
        };
        // A chunk that may be in flight is not sent again, however often the node requests it.
        (0..3).for_each(|_| send_request(&mut cluster));
        cluster.commit_change(100);
        cluster.run(20);
        let chunks = snapshot_chunks(&cluster);
        assert_eq!(chunks.len(), before + 1, "each chunk must be sent once");
        let chunk = chunks.last().expect("a chunk");
        assert!(chunk.bytes.len() <= CHUNK_BYTES);
        let id = landingdrift::snapshot_chunks::SnapshotId {
            index: chunk.index,
            term: chunk.term,
            total: chunk.total,
            checksum: chunk.checksum,
        };
        match assembly.add_chunk(id, chunk.offset, &chunk.bytes) {
            ChunkOutcome::Incomplete => {}
            ChunkOutcome::Complete(bytes) => {
                complete = Some((chunk.index, bytes));
                break;
            }
            ChunkOutcome::Corrupt => panic!("the snapshot is corrupt"),
        }
    }
    let (index, bytes) = complete.expect("complete");
    landingdrift::state::ClusterState::unpack(&bytes).expect("a cluster state");
    assert_eq!(cluster.counter(leader, "watch_snapshots"), 1);
    // The node continues with the entries after the snapshot and is sent no further snapshot.
    let before = snapshot_chunks(&cluster).len();
    cluster.watch_request(NODE, index);
    cluster.run(5);
    assert_eq!(snapshot_chunks(&cluster).len(), before);
    let batch = cluster.batches(NODE).pop().expect("a batch");
    assert_eq!(batch.entries.first().map(|e| e.index), Some(index + 1));
}

#[test]
fn nodes_that_fetch_at_the_same_time_share_one_snapshot() {
    let (mut cluster, leader, _) = start_with_lagging_replica();
    for n in 0..20 {
        cluster.watch_request(&format!("10.8.8.{n}:1"), 0);
    }
    cluster.run(10);
    let sent: Vec<(u64, u32, usize)> = cluster
        .external_messages
        .iter()
        .filter_map(|message| match &message.body {
            Body::WatchSnapshotChunk(m) => Some((m.index, m.checksum, m.bytes.len())),
            _ => None,
        })
        .collect();
    assert_eq!(sent.len(), 20);
    assert!(sent.windows(2).all(|w| w[0] == w[1]), "{sent:?}");
    let bytes: usize = sent.iter().map(|s| s.2).sum();
    assert!(bytes <= 20 * CHUNK_BYTES);
    assert_eq!(cluster.counter(leader, "watch_chunks"), 20);
}
