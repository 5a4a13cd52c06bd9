//! The data folder of a replica: log segments and snapshots. A write is confirmed only after it was synced.

mod directory;
mod error;
mod frames;
mod load;

pub use directory::{Directory, FileSystem};
pub use error::StorageError;

use crate::consensus::PersistedState;
use crate::sans_io::{HardState, Snapshot, WriteBatch};
use crate::wire::DurabilityWitness;
use directory::{create_durable_folder, write_atomically};
use error::io_error_at;
use frames::Frame;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// The version of the folder's format; folders of other versions are rejected.
pub const FOLDER_VERSION: u16 = 1;

/// The file that identifies a data folder.
const MARKER_FILE: &str = "landingdrift.json";

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct FolderMarker {
    format: u16,
    cluster: String,
    disk: u64,
}

/// The state as of the last synced write. It is written at the start of each segment, so that older ones can be
/// removed.
#[derive(Clone, Debug)]
struct SyncedState {
    hard_state: HardState,
    witnesses: Vec<DurabilityWitness>,
    /// The last index of the log; entries after it in older segments are ignored.
    last: u64,
}

impl SyncedState {
    /// Applies a write batch to the state, and appends the frames of the batch to `bytes`.
    fn apply_and_encode(&mut self, batch: &WriteBatch, bytes: &mut Vec<u8>) {
        batch.hard_state.iter().for_each(|hard_state| {
            self.hard_state = hard_state.clone();
            Frame::HardState(hard_state.clone()).write(bytes);
        });
        batch.truncate_from.iter().for_each(|first_removed| {
            self.last = self.last.min(first_removed.saturating_sub(1));
            Frame::Truncate(*first_removed).write(bytes);
        });
        batch.entries.iter().for_each(|entry| {
            self.last = entry.index;
            Frame::Entry(entry.clone()).write(bytes);
        });
        if !batch.witnesses.is_empty() {
            self.witnesses = batch.witnesses.clone();
            Frame::Witnesses(batch.witnesses.clone()).write(bytes);
        }
    }
}

/// A data folder opened and locked for writing.
pub struct DataFolder {
    directory_ops: Box<dyn Directory>,
    path: PathBuf,
    segment: File,
    number: u64,
    size: u64,
    segment_bytes: u64,
    synced_state: SyncedState,
    /// The number of each closed segment, and the last index of the log at its end.
    closed: Vec<(u64, u64)>,
    _lock: File,
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("log-{number:016}.segment"))
}

/// The result of verifying a data folder while no replica uses it.
#[derive(Debug, Serialize)]
pub struct FolderReport {
    /// The cluster to which it belongs.
    pub cluster: String,
    /// The identity of the disk.
    pub disk: u64,
    /// The last index covered by the newest snapshot; 0 for none.
    #[serde(rename = "capture_index")]
    pub snapshot_index: u64,
    /// The index of the first entry of the log; 0 for none.
    pub first: u64,
    /// The index of the last entry of the log, or of the snapshot if the log is empty.
    pub last: u64,
    /// The current term.
    pub term: u64,
    /// Whether confirmed data can't be read.
    pub damaged: bool,
    /// Whether the last write is incomplete, as after a crash.
    pub torn_tail: bool,
}

impl DataFolder {
    /// Opens or creates a data folder and loads its contents. A new folder gets `new_disk` as the identity of its disk.
    pub fn open(
        path: &Path,
        cluster: &str,
        segment_bytes: u64,
        new_disk: u64,
    ) -> Result<(Self, PersistedState), StorageError> {
        Self::open_with(Box::new(FileSystem), path, cluster, segment_bytes, new_disk)
    }

    /// Like [`Self::open`], with the directory operations of the caller.
    pub fn open_with(
        directory_ops: Box<dyn Directory>,
        path: &Path,
        cluster: &str,
        segment_bytes: u64,
        new_disk: u64,
    ) -> Result<(Self, PersistedState), StorageError> {
        create_durable_folder(directory_ops.as_ref(), path)?;
        let marker = load_or_create_marker(directory_ops.as_ref(), path, cluster, new_disk)?;
        let lock = lock(path)?;
        let found = load::load(path, true)?;
        let loaded = PersistedState {
            disk: marker.disk,
            hard_state: found.hard_state,
            snapshot: found.snapshot,
            entries: found.entries,
            witnesses: found.witnesses,
            damaged: found.damaged,
        };
        let folder = Self::start_segment(
            directory_ops,
            path,
            segment_bytes,
            lock,
            &loaded,
            found.segments,
        )?;
        Ok((folder, loaded))
    }

    /// Starts a new segment with the loaded state, so that older segments can be removed.
    fn start_segment(
        directory_ops: Box<dyn Directory>,
        path: &Path,
        segment_bytes: u64,
        lock: File,
        loaded: &PersistedState,
        closed: Vec<(u64, u64)>,
    ) -> Result<Self, StorageError> {
        let snapshot_index = loaded.snapshot.as_ref().map_or(0, |s| s.index);
        let last = loaded.entries.last().map_or(snapshot_index, |e| e.index);
        let number = closed.last().map_or(0, |(n, _)| *n) + 1;
        let segment = create_segment(directory_ops.as_ref(), path, number)?;
        let mut folder = Self {
            directory_ops,
            path: path.into(),
            segment,
            number,
            size: 0,
            segment_bytes,
            synced_state: SyncedState {
                hard_state: loaded.hard_state.clone(),
                witnesses: loaded.witnesses.clone(),
                last,
            },
            closed,
            _lock: lock,
        };
        let mut first = WriteBatch {
            hard_state: Some(loaded.hard_state.clone()),
            witnesses: loaded.witnesses.clone(),
            truncate_from: Some(last + 1),
            ..WriteBatch::default()
        };
        if loaded.damaged {
            first.truncate_from = Some(1);
            first.entries = loaded.entries.clone();
        }
        folder.save(&[first])?;
        Ok(folder)
    }

    /// Writes several batches and syncs once for all of them. If this fails, none of them is confirmed: all must be
    /// written again after [`DataFolder::recover`].
    pub fn save(&mut self, batches: &[WriteBatch]) -> Result<(), StorageError> {
        let mut state = self.synced_state.clone();
        let mut bytes = Vec::new();
        batches
            .iter()
            .for_each(|batch| state.apply_and_encode(batch, &mut bytes));
        // Snapshots are written first: a truncation of entries that one replaces must not become durable without it.
        for snapshot in batches.iter().filter_map(|b| b.snapshot.as_ref()) {
            self.write_snapshot(snapshot)?;
        }
        let path = self.path.clone();
        self.segment
            .write_all(&bytes)
            .and_then(|()| self.segment.sync_data())
            .map_err(io_error_at(&path))?;
        self.synced_state = state;
        self.size += bytes.len() as u64;
        if let Some(snapshot) = batches.iter().rev().find_map(|b| b.snapshot.as_ref()) {
            self.remove_obsolete(snapshot.index)?;
        }
        if self.size >= self.segment_bytes {
            self.roll()?;
        }
        Ok(())
    }

    fn roll(&mut self) -> Result<(), StorageError> {
        let number = self.number + 1;
        self.segment = create_segment(self.directory_ops.as_ref(), &self.path, number)?;
        self.closed.push((self.number, self.synced_state.last));
        self.number = number;
        self.size = 0;
        let first = WriteBatch {
            hard_state: Some(self.synced_state.hard_state.clone()),
            witnesses: self.synced_state.witnesses.clone(),
            truncate_from: Some(self.synced_state.last + 1),
            ..WriteBatch::default()
        };
        self.save(&[first])
    }

    /// Frees space after a failed write, truncates unconfirmed data and starts a new segment. A failed sync may have
    /// lost any of the data, so none of the batch is kept; the caller writes the complete batch again.
    pub fn recover(&mut self) -> Result<(), StorageError> {
        self.reclaim_space()?;
        let path = segment_path(&self.path, self.number);
        OpenOptions::new()
            .write(true)
            .open(&path)
            .and_then(|f| f.set_len(self.size).and_then(|()| f.sync_all()))
            .map_err(io_error_at(&path))?;
        self.roll()
    }

    /// Frees space on a full disk: removes incomplete snapshots and all complete ones but the newest.
    fn reclaim_space(&self) -> Result<(), StorageError> {
        let incomplete = load::numbered_files(&self.path, "capture-", ".new")?;
        let complete = load::numbered_files(&self.path, "capture-", ".capture")?;
        let older = complete.iter().rev().skip(1);
        incomplete.iter().chain(older).for_each(|(_, p)| {
            let _ = self.directory_ops.remove(p);
        });
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let mut bytes = Vec::new();
        Frame::Snapshot(snapshot.clone()).write(&mut bytes);
        let path = self
            .path
            .join(format!("capture-{:016}.capture", snapshot.index));
        write_atomically(self.directory_ops.as_ref(), &path, &bytes)
    }

    /// Starts a segment; removes those that the snapshot at `index` covers, and all but the two newest snapshots.
    fn remove_obsolete(&mut self, index: u64) -> Result<(), StorageError> {
        self.roll()?;
        let (old, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.closed)
            .into_iter()
            .partition(|(_, last)| *last <= index);
        self.closed = kept;
        old.iter().for_each(|(n, _)| {
            let _ = self.directory_ops.remove(&segment_path(&self.path, *n));
        });
        let snapshots = load::numbered_files(&self.path, "capture-", ".capture")?;
        snapshots.iter().rev().skip(2).for_each(|(_, p)| {
            let _ = self.directory_ops.remove(p);
        });
        Ok(())
    }
}

/// Creates a segment file and makes its directory entry durable before anything is written to it.
fn create_segment(
    directory_ops: &dyn Directory,
    folder: &Path,
    number: u64,
) -> Result<File, StorageError> {
    let path = segment_path(folder, number);
    let segment = directory_ops.append(&path).map_err(io_error_at(&path))?;
    directory_ops.sync(folder).map_err(io_error_at(folder))?;
    Ok(segment)
}

/// Reads the folder's marker, or creates it in a folder without other files; fails if it names another cluster.
fn load_or_create_marker(
    directory_ops: &dyn Directory,
    path: &Path,
    cluster: &str,
    new_disk: u64,
) -> Result<FolderMarker, StorageError> {
    let marker_path = path.join(MARKER_FILE);
    if !marker_path.exists() {
        let names = fs::read_dir(path).map_err(io_error_at(path))?;
        let has_other_files = names
            .filter_map(|e| e.ok().and_then(|e| e.file_name().into_string().ok()))
            .any(|n| !n.ends_with(".new") && n != "lock");
        (!has_other_files)
            .then_some(())
            .ok_or_else(|| StorageError::NotADataFolder(path.to_path_buf()))?;
        let marker = FolderMarker {
            format: FOLDER_VERSION,
            cluster: cluster.into(),
            disk: new_disk,
        };
        let bytes = serde_json::to_vec(&marker).unwrap_or_default();
        write_atomically(directory_ops, &marker_path, &bytes)?;
    }
    let marker = read_marker(path)?;
    (marker.cluster == cluster)
        .then_some(())
        .ok_or_else(|| StorageError::Cluster {
            found: marker.cluster.clone(),
            wanted: cluster.into(),
        })?;
    Ok(marker)
}

/// Locks the folder against other processes for as long as the returned file is open.
fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join("lock");
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(io_error_at(&path))?;
    lock.try_lock()
        .map_err(|_| StorageError::InUse(folder.to_path_buf()))?;
    Ok(lock)
}

fn read_marker(path: &Path) -> Result<FolderMarker, StorageError> {
    let p = path.join(MARKER_FILE);
    let bytes = fs::read(&p).map_err(io_error_at(&p))?;
    let marker: FolderMarker = serde_json::from_slice(&bytes)
        .map_err(|_| StorageError::NotADataFolder(path.to_path_buf()))?;
    (marker.format == FOLDER_VERSION)
        .then_some(())
        .ok_or(StorageError::Version {
            found: marker.format,
        })?;
    Ok(marker)
}

/// Reads the marker and contents of a data folder without changing it.
fn read_contents(path: &Path) -> Result<(FolderMarker, load::FolderContents), StorageError> {
    path.join(MARKER_FILE)
        .exists()
        .then_some(())
        .ok_or_else(|| StorageError::NotADataFolder(path.to_path_buf()))?;
    Ok((read_marker(path)?, load::load(path, false)?))
}

/// Loads the cluster and the persisted state from a data folder without changing it.
pub fn read_folder(path: &Path) -> Result<(String, PersistedState), StorageError> {
    let (marker, contents) = read_contents(path)?;
    Ok((
        marker.cluster,
        PersistedState {
            disk: marker.disk,
            hard_state: contents.hard_state,
            snapshot: contents.snapshot,
            entries: contents.entries,
            witnesses: contents.witnesses,
            damaged: contents.damaged,
        },
    ))
}

/// Reads a whole data folder without changing it, and reports its contents and any damage.
pub fn verify(path: &Path) -> Result<FolderReport, StorageError> {
    let (marker, found) = read_contents(path)?;
    Ok(FolderReport {
        cluster: marker.cluster,
        disk: marker.disk,
        snapshot_index: found.snapshot.as_ref().map_or(0, |s| s.index),
        first: found.entries.first().map_or(0, |e| e.index),
        last: found
            .entries
            .last()
            .map_or(found.snapshot.as_ref().map_or(0, |s| s.index), |e| e.index),
        term: found.hard_state.term,
        damaged: found.damaged,
        torn_tail: found.torn_tail,
    })
}
