//! Recordings: the log of a cluster with the result of each entry, as a text file with one JSON object per line.

use crate::disk::{read_folder, StorageError};
use crate::state::{pack_apply_result, ClusterState, Command};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::fmt;
use std::path::Path;

/// The version of the file format; recordings of other versions are rejected.
pub const FORMAT_VERSION: u16 = 1;

/// The key of the order sequence of the first state, in the first line; left out if the sequence is empty.
const ORDER_SEQUENCE_KEY: &str = "orderSequence";

/// An error that prevents a recording from being read or made.
#[derive(Debug)]
pub enum RecordingError {
    /// The file can't be read.
    Read {
        /// The path of the file.
        file: String,
        /// The error of the file system.
        error: String,
    },
    /// The file is not a recording.
    NotARecording {
        /// The path of the file.
        file: String,
    },
    /// The recording has a format that this build does not support.
    UnsupportedVersion {
        /// The format version of the recording.
        found: u64,
    },
    /// A line can't be parsed.
    InvalidLine {
        /// The 1-based line number, or the log index of the entry if the recording is made from a data folder.
        line: usize,
        /// The parser's error.
        error: String,
    },
    /// The file ends before the end line, which has the number of entries.
    Truncated {
        /// The number of lines in the file.
        lines: usize,
    },
    /// The data folder can't be read.
    Disk(StorageError),
    /// The log or the snapshot in the data folder is damaged.
    Damaged,
}

impl fmt::Display for RecordingError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Read { file, error } => write!(formatter, "failed to read '{file}': {error}; pass a recording made with 'landingdrift replay record'"),
            Self::NotARecording { file } => write!(formatter, "'{file}' is not a recording, as line 1 has no 'landingdriftDay'; make one with 'landingdrift replay record'"),
            Self::UnsupportedVersion { found } => write!(formatter, "the recording has format version {found}, but this build supports only {FORMAT_VERSION}; use the build that made it"),
            Self::InvalidLine { line, error } => write!(formatter, "line {line} is invalid: {error}; make the recording again"),
            Self::Truncated { lines } => write!(formatter, "the recording ends after line {lines} without its end line; copy the whole file again"),
            Self::Disk(error) => write!(formatter, "{error}"),
            Self::Damaged => write!(formatter, "the data folder is damaged; record from the folder of another core"),
        }
    }
}

/// An entry of the log with its result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedEntry {
    /// The log index of the entry.
    #[serde(rename = "place")]
    pub log_index: u64,
    /// The time of the entry by the cluster clock, in milliseconds since 1970.
    pub at: u64,
    /// The command of the entry.
    pub entry: Command,
    /// The result of applying the entry, as JSON.
    #[serde(rename = "ruled")]
    pub result: Value,
}

/// An entry whose result in this build differs from the recorded one.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The log index of the entry.
    pub log_index: u64,
    /// The recorded result.
    pub recorded: Value,
    /// The result that this build gives.
    pub now: Value,
}

/// A recording: the cluster state at its beginning, and all log entries since.
#[derive(Clone, Debug)]
pub struct Recording {
    /// The state before the first entry.
    pub start: ClusterState,
    /// The entries, the oldest first.
    pub entries: Vec<RecordedEntry>,
}

impl Recording {
    /// Makes a recording from the data folder of a stopped replica: its snapshot and all entries after it.
    pub fn from_data_folder(folder: &Path) -> Result<Self, RecordingError> {
        let (cluster, loaded) = read_folder(folder).map_err(RecordingError::Disk)?;
        if loaded.damaged {
            return Err(RecordingError::Damaged);
        }
        let start = match loaded.snapshot {
            Some(snapshot) => {
                ClusterState::unpack(&snapshot.bytes).map_err(|_| RecordingError::Damaged)?
            }
            None => ClusterState::new(&cluster),
        };
        let mut state = start.clone();
        let mut entries = Vec::new();
        for log_entry in loaded.entries {
            let entry = Command::unpack(&log_entry.command).map_err(|error| {
                RecordingError::InvalidLine {
                    line: log_entry.index as usize,
                    error,
                }
            })?;
            let result = apply(&mut state, log_entry.index, log_entry.at, &entry);
            entries.push(RecordedEntry {
                log_index: log_entry.index,
                at: log_entry.at,
                entry,
                result,
            });
        }
        Ok(Self { start, entries })
    }

    /// The recording in the file format.
    pub fn text(&self) -> String {
        let mut head = json!({"landingdriftDay": FORMAT_VERSION, "start": self.start});
        if !self.start.order_sequence.is_empty() {
            head[ORDER_SEQUENCE_KEY] = json!(self.start.order_sequence);
        }
        let mut text = head.to_string();
        text.push('\n');
        for entry in &self.entries {
            text += &serde_json::to_string(entry).unwrap_or_default();
            text.push('\n');
        }
        text += &json!({"end": self.entries.len()}).to_string();
        text.push('\n');
        text
    }

    /// Reads a recording from a file.
    pub fn read(file: &str) -> Result<Self, RecordingError> {
        let text = std::fs::read_to_string(file).map_err(|error| RecordingError::Read {
            file: file.into(),
            error: error.to_string(),
        })?;
        let mut lines = text.lines().enumerate();
        let start = match lines.next() {
            Some((_, head)) => read_start(file, head)?,
            None => return Err(RecordingError::NotARecording { file: file.into() }),
        };
        let mut entries: Vec<RecordedEntry> = Vec::new();
        for (index, line) in lines {
            let invalid = |error: String| RecordingError::InvalidLine {
                line: index + 1,
                error,
            };
            let value: Value =
                serde_json::from_str(line).map_err(|error| invalid(error.to_string()))?;
            if let Some(number) = value.get("end") {
                if number.as_u64() != Some(entries.len() as u64) {
                    return Err(invalid(
                        "the end line gives another number of entries than the recording has"
                            .into(),
                    ));
                }
                return Ok(Self { start, entries });
            }
            let entry =
                serde_json::from_value(value).map_err(|error| invalid(error.to_string()))?;
            entries.push(entry);
        }
        Err(RecordingError::Truncated {
            lines: entries.len() + 1,
        })
    }

    /// Applies all entries; returns those whose result in this build differs from the recorded one.
    pub fn differences(&self) -> Vec<Difference> {
        let mut state = self.start.clone();
        let mut differences = Vec::new();
        for recorded in &self.entries {
            let now = apply(&mut state, recorded.log_index, recorded.at, &recorded.entry);
            if now != recorded.result {
                differences.push(Difference {
                    log_index: recorded.log_index,
                    recorded: recorded.result.clone(),
                    now,
                });
            }
        }
        differences
    }

    /// The cluster state at the end of the recording, as this build computes it.
    pub fn final_state(&self) -> ClusterState {
        let mut state = self.start.clone();
        for recorded in &self.entries {
            let _ = state.apply(recorded.log_index, recorded.at, &recorded.entry);
        }
        state
    }
}

/// The cluster state in the first line of a recording.
fn read_start(file: &str, head: &str) -> Result<ClusterState, RecordingError> {
    let not_a_recording = || RecordingError::NotARecording { file: file.into() };
    let head: Value = serde_json::from_str(head).map_err(|_| not_a_recording())?;
    let version = head["landingdriftDay"]
        .as_u64()
        .ok_or_else(not_a_recording)?;
    if version != u64::from(FORMAT_VERSION) {
        return Err(RecordingError::UnsupportedVersion { found: version });
    }
    let invalid = |error: serde_json::Error| RecordingError::InvalidLine {
        line: 1,
        error: error.to_string(),
    };
    let mut start: ClusterState = serde_json::from_value(head["start"].clone()).map_err(invalid)?;
    if let Some(sequence) = head.get(ORDER_SEQUENCE_KEY) {
        start.order_sequence = serde_json::from_value(sequence.clone()).map_err(invalid)?;
    }
    Ok(start)
}

/// Applies an entry; returns its result as JSON.
fn apply(state: &mut ClusterState, log_index: u64, at: u64, entry: &Command) -> Value {
    let result = pack_apply_result(&state.apply(log_index, at, entry));
    serde_json::from_slice(&result).unwrap_or_default()
}
