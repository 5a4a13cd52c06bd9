//! Recordings: the log of a cluster with the results, as a text file with a JSON object per line.

use crate::disk::{read_folder, StorageError};
use crate::state::{pack_apply_result, ClusterState, Command};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::fmt;
use std::path::Path;

/// The version of the recording's format.
pub const FORMAT_VERSION: u16 = 1;

/// What is wrong with a recording.
#[derive(Debug)]
pub enum RecordingError {
    /// The file can't be read.
    Read {
        /// The file.
        file: String,
        /// What the file system said.
        why: String,
    },
    /// The file is no recording.
    Foreign {
        /// The file.
        file: String,
    },
    /// Another build's recording.
    Version {
        /// The version of the recording.
        found: u64,
    },
    /// A line can't be read.
    Line {
        /// The number of the line, counted from 1.
        line: usize,
        /// What is wrong with it.
        why: String,
    },
    /// The file ends early.
    Truncated {
        /// The lines that are there.
        lines: usize,
    },
    /// The data folder can't be read.
    Disk(StorageError),
    /// The folder has no readable state from which its log could be applied.
    Damaged,
}

impl fmt::Display for RecordingError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Read { file, why } => write!(formatter, "'{file}' can't be read ({why}): name a recording made with 'landingdrift replay record'"),
            Self::Foreign { file } => write!(formatter, "'{file}' is no recording (line 1 has no 'landingdriftDay'): make one with 'landingdrift replay record'"),
            Self::Version { found } => write!(formatter, "the recording has format {found}, this build reads {FORMAT_VERSION}: use the build that made it"),
            Self::Line { line, why } => write!(formatter, "line {line} is wrong ({why}): make the recording again"),
            Self::Truncated { lines } => write!(formatter, "the recording ends after line {lines} without its closing line: copy it again, whole"),
            Self::Disk(why) => write!(formatter, "{why}"),
            Self::Damaged => write!(formatter, "the folder is damaged: record from another core's folder"),
        }
    }
}

/// An entry of the log with its result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedEntry {
    /// The index of the entry.
    #[serde(rename = "place")]
    pub log_index: u64,
    /// Its time, in milliseconds since 1970 by the cluster clock.
    pub at: u64,
    /// The command.
    pub entry: Command,
    /// The result when it was applied.
    #[serde(rename = "ruled")]
    pub result: Value,
}

/// An entry whose result by this build differs from the recorded one.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The index of the entry.
    pub log_index: u64,
    /// The result that was recorded.
    pub recorded: Value,
    /// The result that this build gives.
    pub now: Value,
}

/// A recording: the cluster state at its beginning, and every entry since.
#[derive(Clone, Debug)]
pub struct Recording {
    /// The state before the first entry.
    pub start: ClusterState,
    /// The entries, the oldest first.
    pub entries: Vec<RecordedEntry>,
}

impl Recording {
    /// Records the contents of the data folder of a stopped replica.
    pub fn of_folder(folder: &Path) -> Result<Self, RecordingError> {
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
        for logged in loaded.entries {
            let entry = Command::unpack(&logged.command).map_err(|why| RecordingError::Line {
                line: logged.index as usize,
                why,
            })?;
            let result = apply(&mut state, logged.index, logged.at, &entry);
            entries.push(RecordedEntry {
                log_index: logged.index,
                at: logged.at,
                entry,
                result,
            });
        }
        Ok(Self { start, entries })
    }

    /// The recording as text.
    pub fn text(&self) -> String {
        let mut text = json!({"landingdriftDay": FORMAT_VERSION, "start": self.start}).to_string();
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
        let text = std::fs::read_to_string(file).map_err(|why| RecordingError::Read {
            file: file.into(),
            why: why.to_string(),
        })?;
        let mut lines = text.lines().enumerate();
        let start = match lines.next() {
            Some((_, head)) => read_start(file, head)?,
            None => return Err(RecordingError::Foreign { file: file.into() }),
        };
        let mut entries: Vec<RecordedEntry> = Vec::new();
        for (index, line) in lines {
            let wrong = |why: String| RecordingError::Line {
                line: index + 1,
                why,
            };
            let value: Value = serde_json::from_str(line).map_err(|why| wrong(why.to_string()))?;
            if let Some(number) = value.get("end") {
                if number.as_u64() != Some(entries.len() as u64) {
                    return Err(wrong("entries are missing".into()));
                }
                return Ok(Self { start, entries });
            }
            let entry = serde_json::from_value(value).map_err(|why| wrong(why.to_string()))?;
            entries.push(entry);
        }
        Err(RecordingError::Truncated {
            lines: entries.len() + 1,
        })
    }

    /// The entries whose result by this build differs from the recorded one.
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

    /// The cluster state at the end of the recording.
    pub fn end(&self) -> ClusterState {
        let mut state = self.start.clone();
        for recorded in &self.entries {
            let _ = state.apply(recorded.log_index, recorded.at, &recorded.entry);
        }
        state
    }
}

/// The cluster state in the first line of a recording.
fn read_start(file: &str, head: &str) -> Result<ClusterState, RecordingError> {
    let foreign = || RecordingError::Foreign { file: file.into() };
    let head: Value = serde_json::from_str(head).map_err(|_| foreign())?;
    let version = head["landingdriftDay"].as_u64().ok_or_else(foreign)?;
    if version != u64::from(FORMAT_VERSION) {
        return Err(RecordingError::Version { found: version });
    }
    serde_json::from_value(head["start"].clone()).map_err(|why| RecordingError::Line {
        line: 1,
        why: why.to_string(),
    })
}

/// Applies an entry; returns its result as JSON.
fn apply(state: &mut ClusterState, log_index: u64, at: u64, entry: &Command) -> Value {
    let result = pack_apply_result(&state.apply(log_index, at, entry));
    serde_json::from_slice(&result).unwrap_or_default()
}
