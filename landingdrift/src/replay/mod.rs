//! Replay: makes recordings of a cluster's log, and shows what another build, configuration or settings would have
//! decided.

mod command;
mod recording;
mod rerun;

pub use recording::{Difference, RecordedEntry, Recording, RecordingError};
pub use rerun::{rerun, Summary};
