use super::error::{io_error_at, StorageError};
use super::frames::Frame;
use crate::sans_io::{HardState, Snapshot};
use crate::wire::{DurabilityWitness, Entry};
use std::fs;
use std::path::{Path, PathBuf};

/// The persisted state read from a data folder, and the condition of its files.
#[derive(Default)]
pub struct FolderContents {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
    pub witnesses: Vec<DurabilityWitness>,
    /// Whether confirmed data can't be read.
    pub damaged: bool,
    /// Whether the last write is incomplete, as after a crash.
    pub torn_tail: bool,
    /// The numbers of the segments, each with the last index of the log at its end.
    pub segments: Vec<(u64, u64)>,
}

/// The files of a folder whose names consist of `prefix`, a number and `suffix`, sorted by that number.
pub fn numbered_files(
    path: &Path,
    prefix: &str,
    suffix: &str,
) -> Result<Vec<(u64, PathBuf)>, StorageError> {
    let mut files: Vec<(u64, PathBuf)> = fs::read_dir(path)
        .map_err(io_error_at(path))?
        .filter_map(Result::ok)
        .filter_map(|e| {
            e.file_name()
                .into_string()
                .ok()
                .and_then(|n| {
                    n.strip_prefix(prefix)
                        .and_then(|n| n.strip_suffix(suffix))
                        .and_then(|n| n.parse().ok())
                })
                .map(|n| (n, e.path()))
        })
        .collect();
    files.sort();
    Ok(files)
}

/// Reads the newest intact snapshot and all segments. With `repair`, truncates an incomplete write at the end.
pub fn load(path: &Path, repair: bool) -> Result<FolderContents, StorageError> {
    let mut contents = FolderContents::default();
    for (_, file_path) in numbered_files(path, "capture-", ".capture")?.iter().rev() {
        let bytes = fs::read(file_path).map_err(io_error_at(file_path))?;
        match Frame::read(&bytes) {
            Some((Frame::Snapshot(snapshot), _)) => {
                contents.snapshot = Some(snapshot);
                break;
            }
            _ => contents.damaged = true,
        }
    }
    let base = contents
        .snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.index);
    let segments = numbered_files(path, "log-", ".segment")?;
    for (i, (number, file_path)) in segments.iter().enumerate() {
        let bytes = fs::read(file_path).map_err(io_error_at(file_path))?;
        let mut offset = 0;
        while offset < bytes.len() {
            match Frame::read(&bytes[offset..]) {
                Some((frame, len)) => {
                    contents.apply(frame, base);
                    offset += len;
                }
                // No intact frame follows: the last write was interrupted and never confirmed.
                None if i + 1 == segments.len() && Frame::find_next(&bytes[offset..]).is_none() => {
                    contents.torn_tail = true;
                    if repair {
                        fs::OpenOptions::new()
                            .write(true)
                            .open(file_path)
                            .and_then(|f| f.set_len(offset as u64).and_then(|()| f.sync_all()))
                            .map_err(io_error_at(file_path))?;
                    }
                    break;
                }
                None => {
                    // Damage: only the last segment can end with an interrupted write, since opening the folder
                    // truncates it.
                    contents.damaged = true;
                    match Frame::find_next(&bytes[offset..]) {
                        Some(skip) => offset += skip,
                        None => break,
                    }
                }
            }
        }
        let last = contents.entries.last().map_or(base, |e| e.index);
        contents.segments.push((*number, last));
    }
    contents.entries.retain(|e| e.index > base);
    Ok(contents)
}

impl FolderContents {
    fn apply(&mut self, frame: Frame, base: u64) {
        match frame {
            Frame::HardState(hard_state) => self.hard_state = hard_state,
            Frame::Truncate(index) => self.entries.retain(|entry| entry.index < index),
            Frame::Witnesses(witnesses) => self.witnesses = witnesses,
            Frame::Entry(entry) => match self.entries.last().map(|l| l.index) {
                Some(last) if entry.index == last + 1 => self.entries.push(entry),
                None if entry.index <= base + 1 => self.entries.push(entry),
                // After a gap: damage, unless the snapshot covers all entries before it; the log then restarts here.
                Some(last) if entry.index > last + 1 => {
                    if last >= base {
                        self.damaged = true;
                    } else {
                        self.entries = vec![entry];
                    }
                }
                None => self.damaged = true,
                Some(_) => {
                    self.entries.retain(|kept| kept.index < entry.index);
                    self.entries.push(entry);
                }
            },
            Frame::Snapshot(_) => {}
        }
    }
}
