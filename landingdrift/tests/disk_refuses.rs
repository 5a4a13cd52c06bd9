//! A disk that fails writes for a while: no write is confirmed until it succeeds, failed writes are retried in order,
//! and no confirmed data is lost.

use landingdrift::daemon::{Backoff, DiskWriter, Input, Store};
use landingdrift::disk::{DataFolder, StorageError};
use landingdrift::sans_io::{HardState, Msg, WriteBatch};
use landingdrift::wire::{DurabilityWitness, Entry};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SEGMENT_BYTES: u64 = 600;
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!(
        "landingdrift-refuses-{}-{name}",
        std::process::id()
    ));
    let _ = fs::remove_dir_all(&path);
    path
}

fn batch_of_entries(write_id: u64, from: u64, to: u64) -> WriteBatch {
    let entry = |index| Entry {
        index,
        term: 1,
        at: index * 10,
        command: format!("\"e{index}\"").into_bytes(),
    };
    WriteBatch {
        write_id,
        entries: (from..=to).map(entry).collect(),
        witnesses: vec![DurabilityWitness {
            replica: "b".into(),
            disk: 9,
            index: to,
            term: 1,
        }],
        ..WriteBatch::default()
    }
}

/// The log indexes that an undamaged data folder contains.
fn load_indexes(path: &Path) -> Vec<u64> {
    let (_, loaded) = DataFolder::open(path, "c", SEGMENT_BYTES, 7).expect("opened");
    assert!(!loaded.damaged);
    loaded.entries.iter().map(|e| e.index).collect()
}

/// A store that fails the first `failures_left` writes and records those that succeed.
struct FailingStore {
    failures_left: Arc<AtomicUsize>,
    written: Arc<Mutex<Vec<u64>>>,
    recovered: Arc<AtomicUsize>,
}

impl Store for FailingStore {
    fn save(&mut self, batch: &[WriteBatch]) -> Result<(), StorageError> {
        if self.failures_left.load(Ordering::SeqCst) > 0 {
            self.failures_left.fetch_sub(1, Ordering::SeqCst);
            return Err(StorageError::Io {
                path: "log".into(),
                source: std::io::ErrorKind::StorageFull.into(),
            });
        }
        let mut written = self.written.lock().expect("not poisoned");
        written.extend(batch.iter().map(|written| written.write_id));
        Ok(())
    }
    fn recover(&mut self) -> Result<(), StorageError> {
        self.recovered.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }
}

fn backoff() -> Backoff {
    Backoff {
        next: Duration::from_millis(10),
        longest: Duration::from_millis(80),
    }
}

/// The number of failures reported before the write `write_id` is confirmed.
fn failures_until(rx: &Receiver<Input>, write_id: u64) -> usize {
    let mut failures = 0;
    loop {
        match rx.recv_timeout(RECEIVE_TIMEOUT) {
            Ok(Input::Msg(Msg::WriteFailed(reason))) => {
                assert!(!reason.is_empty());
                failures += 1;
            }
            Ok(Input::Msg(Msg::Persisted(id))) if id == write_id => return failures,
            Ok(Input::Msg(Msg::Persisted(_))) => {}
            _ => panic!("the writer thread has ended"),
        }
    }
}

#[test]
fn retry_delays_grow_up_to_a_limit() {
    let delays: Vec<u128> = backoff().take(6).map(|delay| delay.as_millis()).collect();
    assert_eq!(delays, [10, 20, 40, 80, 80, 80]);
}

#[test]
fn failed_writes_are_retried_in_order_with_backoff() {
    let written = Arc::new(Mutex::new(Vec::new()));
    let (failures_left, recovered) = (Arc::new(AtomicUsize::new(5)), Arc::new(AtomicUsize::new(0)));
    let store = FailingStore {
        failures_left,
        written: written.clone(),
        recovered: recovered.clone(),
    };
    let (tx, rx) = channel();
    let disk = DiskWriter::start(store, tx, backoff()).expect("starts");
    let since = Instant::now();
    (1..=4).for_each(|write_id| disk.save(batch_of_entries(write_id, write_id, write_id)));
    assert_eq!(failures_until(&rx, 4), 5);
    assert_eq!(*written.lock().expect("not poisoned"), [1, 2, 3, 4]);
    assert_eq!(recovered.load(Ordering::SeqCst), 5);
    let total_delay = Duration::from_millis(10 + 20 + 40 + 80 + 80);
    assert!(since.elapsed() >= total_delay, "{:?}", since.elapsed());
}

#[test]
fn a_batch_written_again_after_a_failure_is_stored_completely() {
    let (path, moved_path) = (folder("middle"), folder("middle-away"));
    let (mut data, _) = DataFolder::open(&path, "c", SEGMENT_BYTES, 7).expect("created");
    (1..=3).for_each(|i| data.save(&[batch_of_entries(i, i, i)]).expect("saved"));
    // While the folder is moved away no new segment can be created, but writes to the open segment succeed.
    fs::rename(&path, &moved_path).expect("moved");
    let batch = [batch_of_entries(4, 4, 40), batch_of_entries(5, 41, 42)];
    assert!(data.save(&batch).is_err());
    assert!(data.recover().is_err());
    fs::rename(&moved_path, &path).expect("moved back");
    data.recover().expect("usable again");
    data.save(&batch).expect("saved again");
    data.save(&[batch_of_entries(6, 43, 43)]).expect("saved");
    drop(data);
    assert_eq!(load_indexes(&path), (1..=43).collect::<Vec<_>>());
}

#[test]
fn a_failed_batch_that_is_not_written_again_leaves_confirmed_data_intact() {
    let (path, moved_path) = (folder("refused"), folder("refused-away"));
    let (mut data, _) = DataFolder::open(&path, "c", 1 << 20, 7).expect("created");
    let batch_with_vote = WriteBatch {
        hard_state: Some(HardState {
            term: 3,
            vote: "a".into(),
            no_vote_through: 0,
            founders: Vec::new(),
        }),
        ..batch_of_entries(1, 1, 5)
    };
    data.save(&[batch_with_vote]).expect("saved");
    fs::rename(&path, &moved_path).expect("moved");
    let batch_with_snapshot = WriteBatch {
        truncate_from: Some(1),
        snapshot: Some(landingdrift::sans_io::Snapshot {
            index: 9,
            term: 4,
            bytes: b"state".to_vec(),
        }),
        ..WriteBatch::default()
    };
    assert!(data.save(&[batch_with_snapshot]).is_err());
    fs::rename(&moved_path, &path).expect("moved back");
    data.recover().expect("usable again");
    drop(data);
    // The entries must not be truncated, since the snapshot that replaces them was not written.
    assert_eq!(load_indexes(&path), [1, 2, 3, 4, 5]);
    let (_, loaded) = DataFolder::open(&path, "c", 1 << 20, 7).expect("opened");
    assert_eq!(
        (loaded.hard_state.term, loaded.hard_state.vote.as_str()),
        (3, "a")
    );
    assert_eq!(loaded.witnesses.len(), 1);
}

#[test]
fn recovery_of_a_full_disk_removes_incomplete_and_old_snapshots() {
    let path = folder("full");
    let (mut data, _) = DataFolder::open(&path, "c", 1 << 20, 7).expect("created");
    for n in 1..=3 {
        let snapshot = landingdrift::sans_io::Snapshot {
            index: 10 * n,
            term: 1,
            bytes: vec![b's'; 100],
        };
        let batch_with_snapshot = WriteBatch {
            snapshot: Some(snapshot),
            ..batch_of_entries(n, 10 * n - 9, 10 * n)
        };
        data.save(&[batch_with_snapshot]).expect("saved");
    }
    // Simulates the file that remains after the disk ran full during the write of a snapshot.
    fs::write(path.join("capture-0000000000000040.new"), vec![0; 5000]).expect("written");
    data.recover().expect("usable again");
    let files = fs::read_dir(&path)
        .expect("a folder")
        .filter_map(Result::ok);
    let snapshots: Vec<String> = files
        .filter_map(|e| e.file_name().into_string().ok())
        .filter(|n| n.starts_with("capture-"))
        .collect();
    assert_eq!(snapshots, ["capture-0000000000000030.capture"]);
    data.save(&[batch_of_entries(4, 31, 35)]).expect("saved");
    drop(data);
    let (_, loaded) = DataFolder::open(&path, "c", 1 << 20, 7).expect("opened");
    assert!(!loaded.damaged);
    assert_eq!(loaded.snapshot.map(|snapshot| snapshot.index), Some(30));
    assert_eq!(loaded.entries.last().map(|e| e.index), Some(35));
}
