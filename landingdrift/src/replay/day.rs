use crate::disk::{read_whole, StorageError};
use crate::state::{pack_apply_result, ClusterState, Command};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::fmt;
use std::path::Path;

/// Version of the recording's format.
pub const DAY_VERSION: u16 = 1;

/// What is wrong with a recording.
#[derive(Debug)]
pub enum RecordingError {
    Read {
        file: String,
        why: String,
    },
    Foreign {
        file: String,
    },
    Version {
        found: u64,
    },
    Line {
        line: usize,
        why: String,
    },
    Truncated {
        lines: usize,
    },
    Disk(StorageError),
    /// The folder's log no longer reaches back to a state that can be read.
    Damaged,
}

impl fmt::Display for RecordingError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Read { file, why } => write!(f, "'{file}' can't be read ({why}): name a recording made with 'landingdrift replay record'"),
            Self::Foreign { file } => write!(f, "'{file}' is no recording (line 1 has no 'landingdriftDay'): make one with 'landingdrift replay record'"),
            Self::Version { found } => write!(f, "the recording has format {found}, this build reads {DAY_VERSION}: use the build that made it"),
            Self::Line { line, why } => write!(f, "line {line} is wrong ({why}): make the recording again"),
            Self::Truncated { lines } => write!(f, "the recording ends after line {lines} without its closing line: copy it again, whole"),
            Self::Disk(d) => write!(f, "{d}"),
            Self::Damaged => write!(f, "the folder is damaged: record from another core's folder"),
        }
    }
}

/// One entry of a day, with the response it got.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    #[serde(rename = "place")]
    pub log_index: u64,
    pub at: u64,
    pub entry: Command,
    #[serde(rename = "ruled")]
    pub result: Value,
}

/// A recorded day: the cluster state at its beginning, and every entry since.
#[derive(Clone, Debug)]
pub struct Day {
    pub start: ClusterState,
    pub lines: Vec<Line>,
}

impl Day {
    /// Records what the data folder of a stopped replica holds.
    pub fn state(folder: &Path) -> Result<Self, RecordingError> {
        let (cluster, loaded) = read_whole(folder).map_err(RecordingError::Disk)?;
        (!loaded.damaged)
            .then_some(())
            .ok_or(RecordingError::Damaged)?;
        let start = loaded
            .snapshot
            .map_or_else(
                || Ok(ClusterState::new(&cluster)),
                |c| ClusterState::unpack(&c.bytes),
            )
            .map_err(|_| RecordingError::Damaged)?;
        let mut r = start.clone();
        let mut lines = Vec::new();
        for e in loaded.entries {
            let entry: Command =
                Command::unpack(&e.command).map_err(|why| RecordingError::Line {
                    line: e.index as usize,
                    why,
                })?;
            let result = result(&mut r, e.index, e.at, &entry);
            lines.push(Line {
                log_index: e.index,
                at: e.at,
                entry,
                result,
            });
        }
        Ok(Self { start, lines })
    }

    /// The recording as text.
    pub fn text(&self) -> String {
        let head = json!({"landingdriftDay": DAY_VERSION, "start": self.start});
        let lines: String = self
            .lines
            .iter()
            .map(|l| serde_json::to_string(l).unwrap_or_default() + "\n")
            .collect();
        format!("{head}\n{lines}{}\n", json!({"end": self.lines.len()}))
    }

    /// Reads a recording.
    pub fn read(file: &str) -> Result<Self, RecordingError> {
        let text = std::fs::read_to_string(file).map_err(|e| RecordingError::Read {
            file: file.into(),
            why: e.to_string(),
        })?;
        let mut of = text.lines().enumerate();
        let head: Value = of
            .next()
            .and_then(|(_, l)| serde_json::from_str(l).ok())
            .ok_or_else(|| RecordingError::Foreign { file: file.into() })?;
        let version = head["landingdriftDay"]
            .as_u64()
            .ok_or_else(|| RecordingError::Foreign { file: file.into() })?;
        (version == u64::from(DAY_VERSION))
            .then_some(())
            .ok_or(RecordingError::Version { found: version })?;
        let start: ClusterState =
            serde_json::from_value(head["start"].clone()).map_err(|e| RecordingError::Line {
                line: 1,
                why: e.to_string(),
            })?;
        let mut lines: Vec<Line> = Vec::new();
        for (i, l) in of {
            let v: Value = serde_json::from_str(l).map_err(|e| RecordingError::Line {
                line: i + 1,
                why: e.to_string(),
            })?;
            if let Some(n) = v.get("end") {
                return (n.as_u64() == Some(lines.len() as u64))
                    .then_some(Self { start, lines })
                    .ok_or(RecordingError::Line {
                        line: i + 1,
                        why: "entries are missing".into(),
                    });
            }
            lines.push(serde_json::from_value(v).map_err(|e| RecordingError::Line {
                line: i + 1,
                why: e.to_string(),
            })?);
        }
        Err(RecordingError::Truncated {
            lines: lines.len() + 1,
        })
    }

    /// The entries whose response by this build is another than the recorded one.
    pub fn differences(&self) -> Vec<(u64, Value, Value)> {
        let mut r = self.start.clone();
        self.lines
            .iter()
            .filter_map(|l| {
                let now = result(&mut r, l.log_index, l.at, &l.entry);
                (now != l.result).then(|| (l.log_index, l.result.clone(), now))
            })
            .collect()
    }

    /// The cluster state at the end of the day.
    pub fn end(&self) -> ClusterState {
        let mut r = self.start.clone();
        self.lines.iter().for_each(|l| {
            let _ = r.apply(l.log_index, l.at, &l.entry);
        });
        r
    }
}

fn result(r: &mut ClusterState, log_index: u64, at: u64, entry: &Command) -> Value {
    serde_json::from_slice(&pack_apply_result(&r.apply(log_index, at, entry))).unwrap_or_default()
}
