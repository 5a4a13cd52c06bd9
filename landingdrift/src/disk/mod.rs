//! The data folder: a log in segments with snapshots beside it; only what is synced counts.

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
use error::io;
use frames::Frame;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Version of the folder's format; another one is refused.
pub const FOLDER_VERSION: u16 = 1;

const MARKER_FILE: &str = "landingdrift.json";

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct FolderMarker {
    format: u16,
    cluster: String,
    disk: u64,
}

/// What each segment starts with, so that older ones can go: as of the last write that was synced.
#[derive(Clone, Debug)]
struct SegmentHeader {
    hard_state: HardState,
    witnesses: Vec<DurabilityWitness>,
    /// The last index of the log; entries after it are void, in whichever older segment they are found.
    last: u64,
}

impl SegmentHeader {
    /// Follows a save, and writes its frames.
    fn write(&mut self, s: &WriteBatch, bytes: &mut Vec<u8>) {
        s.hard_state.iter().for_each(|h| {
            self.hard_state = h.clone();
            Frame::HardState(h.clone()).write(bytes);
        });
        s.truncate_from.iter().for_each(|c| {
            self.last = self.last.min(c.saturating_sub(1));
            Frame::Truncate(*c).write(bytes);
        });
        s.entries.iter().for_each(|e| {
            self.last = e.index;
            Frame::Entry(e.clone()).write(bytes);
        });
        if !s.witnesses.is_empty() {
            self.witnesses = s.witnesses.clone();
            Frame::Witnesses(s.witnesses.clone()).write(bytes);
        }
    }
}

/// An open data folder.
pub struct DataFolder {
    directory: Box<dyn Directory>,
    path: PathBuf,
    segment: File,
    number: u64,
    size: u64,
    segment_bytes: u64,
    head: SegmentHeader,
    /// Last index in every closed segment, by its number.
    closed: Vec<(u64, u64)>,
    _lock: File,
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("log-{number:016}.segment"))
}

/// What an offline look at a data folder finds.
#[derive(Debug, Serialize)]
pub struct FolderReport {
    /// The cluster that it belongs to.
    pub cluster: String,
    /// The identity of the disk.
    pub disk: u64,
    /// The last entry that the newest snapshot covers; 0 for none.
    #[serde(rename = "capture_index")]
    pub snapshot_index: u64,
    /// The first entry of the log; 0 for none.
    pub first: u64,
    /// The last entry of the log or of the snapshot.
    pub last: u64,
    /// The current term.
    pub term: u64,
    /// Something that was confirmed can't be read.
    pub damaged: bool,
    /// The last write was cut short, as a crash does.
    pub torn_tail: bool,
}

impl DataFolder {
    /// Opens a folder, or makes one, and reads all it holds. `fresh` names a new disk.
    pub fn open(
        path: &Path,
        cluster: &str,
        segment_bytes: u64,
        fresh: u64,
    ) -> Result<(Self, PersistedState), StorageError> {
        Self::open_with(Box::new(FileSystem), path, cluster, segment_bytes, fresh)
    }

    /// The same, with a file system of the caller's.
    pub fn open_with(
        directory: Box<dyn Directory>,
        path: &Path,
        cluster: &str,
        segment_bytes: u64,
        fresh: u64,
    ) -> Result<(Self, PersistedState), StorageError> {
        create_durable_folder(directory.as_ref(), path)?;
        let mark = load_or_create_marker(directory.as_ref(), path, cluster, fresh)?;
        let lock = lock(path)?;
        let found = load::load(path, true)?;
        let loaded = PersistedState {
            disk: mark.disk,
            hard_state: found.hard_state,
            snapshot: found.snapshot,
            entries: found.entries,
            witnesses: found.witnesses,
            damaged: found.damaged,
        };
        let folder = Self::start_segment(
            directory,
            path,
            segment_bytes,
            lock,
            &loaded,
            found.segments,
        )?;
        Ok((folder, loaded))
    }

    /// Begins a new segment, with all that the older ones may be dropped for.
    fn start_segment(
        directory: Box<dyn Directory>,
        path: &Path,
        segment_bytes: u64,
        lock: File,
        loaded: &PersistedState,
        closed: Vec<(u64, u64)>,
    ) -> Result<Self, StorageError> {
        let captured = loaded.snapshot.as_ref().map_or(0, |c| c.index);
        let last = loaded.entries.last().map_or(captured, |e| e.index);
        let number = closed.last().map_or(0, |(n, _)| *n) + 1;
        let segment = create_segment(directory.as_ref(), path, number)?;
        let mut folder = Self {
            directory,
            path: path.into(),
            segment,
            number,
            size: 0,
            segment_bytes,
            head: SegmentHeader {
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

    /// Writes a batch of saves and syncs once for all of them. Where this fails, nothing of the batch counts: it is to
    /// be written again after [`DataFolder::recover`].
    pub fn save(&mut self, batch: &[WriteBatch]) -> Result<(), StorageError> {
        let mut head = self.head.clone();
        let mut bytes = Vec::new();
        batch.iter().for_each(|s| head.write(s, &mut bytes));
        // A snapshot goes first: a cut that relies on it must not be seen without it.
        for c in batch.iter().filter_map(|s| s.snapshot.as_ref()) {
            self.write_snapshot(c)?;
        }
        let path = self.path.clone();
        self.segment
            .write_all(&bytes)
            .and_then(|()| self.segment.sync_data())
            .map_err(io(&path))?;
        self.head = head;
        self.size += bytes.len() as u64;
        if let Some(c) = batch.iter().rev().find_map(|s| s.snapshot.as_ref()) {
            self.remove_obsolete(c.index)?;
        }
        if self.size >= self.segment_bytes {
            self.roll()?;
        }
        Ok(())
    }

    fn roll(&mut self) -> Result<(), StorageError> {
        let number = self.number + 1;
        self.segment = create_segment(self.directory.as_ref(), &self.path, number)?;
        self.closed.push((self.number, self.head.last));
        self.number = number;
        self.size = 0;
        let first = WriteBatch {
            hard_state: Some(self.head.hard_state.clone()),
            witnesses: self.head.witnesses.clone(),
            truncate_from: Some(self.head.last + 1),
            ..WriteBatch::default()
        };
        self.save(&[first])
    }

    /// Makes the folder usable after a write that failed: what was not confirmed is cut off, and a new segment begun.
    /// A sync that failed may have lost what it was to write, so nothing of that batch is believed; the caller writes
    /// the whole batch again.
    pub fn recover(&mut self) -> Result<(), StorageError> {
        self.free_space()?;
        let path = segment_path(&self.path, self.number);
        OpenOptions::new()
            .write(true)
            .open(&path)
            .and_then(|f| f.set_len(self.size).and_then(|()| f.sync_all()))
            .map_err(io(&path))?;
        self.roll()
    }

    /// Removes what a full disk can do without: snapshots that were not written whole, and all whole ones but the newest.
    fn free_space(&self) -> Result<(), StorageError> {
        let halves = load::numbered(&self.path, "capture-", ".new")?;
        let whole = load::numbered(&self.path, "capture-", ".capture")?;
        let older = whole.iter().rev().skip(1);
        halves.iter().chain(older).for_each(|(_, p)| {
            let _ = self.directory.remove(p);
        });
        Ok(())
    }

    fn write_snapshot(&mut self, c: &Snapshot) -> Result<(), StorageError> {
        let mut bytes = Vec::new();
        Frame::Snapshot(c.clone()).write(&mut bytes);
        let path = self.path.join(format!("capture-{:016}.capture", c.index));
        write_atomically(self.directory.as_ref(), &path, &bytes)
    }

    /// Segments that end before the snapshot, and all but the two newest snapshots, are not needed any more.
    fn remove_obsolete(&mut self, index: u64) -> Result<(), StorageError> {
        self.roll()?;
        let (old, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.closed)
            .into_iter()
            .partition(|(_, last)| *last <= index);
        self.closed = kept;
        old.iter().for_each(|(n, _)| {
            let _ = self.directory.remove(&segment_path(&self.path, *n));
        });
        let snapshots = load::numbered(&self.path, "capture-", ".capture")?;
        snapshots.iter().rev().skip(2).for_each(|(_, p)| {
            let _ = self.directory.remove(p);
        });
        Ok(())
    }
}

/// Makes a segment, which is durable before anything in it counts.
fn create_segment(
    directory: &dyn Directory,
    folder: &Path,
    number: u64,
) -> Result<File, StorageError> {
    let path = segment_path(folder, number);
    let segment = directory.append(&path).map_err(io(&path))?;
    directory.sync(folder).map_err(io(folder))?;
    Ok(segment)
}

/// Reads the mark of a folder, and makes one where the folder is new.
fn load_or_create_marker(
    directory: &dyn Directory,
    path: &Path,
    cluster: &str,
    fresh: u64,
) -> Result<FolderMarker, StorageError> {
    let mark_path = path.join(MARKER_FILE);
    if !mark_path.exists() {
        let names = fs::read_dir(path).map_err(io(path))?;
        let strange = names
            .filter_map(|e| e.ok().and_then(|e| e.file_name().into_string().ok()))
            .any(|n| !n.ends_with(".new") && n != "lock");
        (!strange)
            .then_some(())
            .ok_or_else(|| StorageError::NotADataFolder(path.to_path_buf()))?;
        let mark = FolderMarker {
            format: FOLDER_VERSION,
            cluster: cluster.into(),
            disk: fresh,
        };
        let bytes = serde_json::to_vec(&mark).unwrap_or_default();
        write_atomically(directory, &mark_path, &bytes)?;
    }
    let mark = read_marker(path)?;
    (mark.cluster == cluster)
        .then_some(())
        .ok_or_else(|| StorageError::Cluster {
            found: mark.cluster.clone(),
            wanted: cluster.into(),
        })?;
    Ok(mark)
}

/// Keeps other processes away for as long as the file is open.
fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join("lock");
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(io(&path))?;
    lock.try_lock()
        .map_err(|_| StorageError::InUse(folder.to_path_buf()))?;
    Ok(lock)
}

fn read_marker(path: &Path) -> Result<FolderMarker, StorageError> {
    let p = path.join(MARKER_FILE);
    let bytes = fs::read(&p).map_err(io(&p))?;
    let mark: FolderMarker = serde_json::from_slice(&bytes)
        .map_err(|_| StorageError::NotADataFolder(path.to_path_buf()))?;
    (mark.format == FOLDER_VERSION)
        .then_some(())
        .ok_or(StorageError::Version { found: mark.format })?;
    Ok(mark)
}

/// Reads a data folder without changing it.
fn read_contents(path: &Path) -> Result<(FolderMarker, load::FolderContents), StorageError> {
    path.join(MARKER_FILE)
        .exists()
        .then_some(())
        .ok_or_else(|| StorageError::NotADataFolder(path.to_path_buf()))?;
    Ok((read_marker(path)?, load::load(path, false)?))
}

/// All that a data folder holds, with its cluster, without changing it.
pub fn read_folder(path: &Path) -> Result<(String, PersistedState), StorageError> {
    let (mark, f) = read_contents(path)?;
    Ok((
        mark.cluster,
        PersistedState {
            disk: mark.disk,
            hard_state: f.hard_state,
            snapshot: f.snapshot,
            entries: f.entries,
            witnesses: f.witnesses,
            damaged: f.damaged,
        },
    ))
}

/// Looks through a data folder without changing it.
pub fn verify(path: &Path) -> Result<FolderReport, StorageError> {
    let (mark, found) = read_contents(path)?;
    Ok(FolderReport {
        cluster: mark.cluster,
        disk: mark.disk,
        snapshot_index: found.snapshot.as_ref().map_or(0, |c| c.index),
        first: found.entries.first().map_or(0, |e| e.index),
        last: found
            .entries
            .last()
            .map_or(found.snapshot.as_ref().map_or(0, |c| c.index), |e| e.index),
        term: found.hard_state.term,
        damaged: found.damaged,
        torn_tail: found.torn_tail,
    })
}
