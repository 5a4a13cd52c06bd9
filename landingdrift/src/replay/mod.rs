//! Recorded days, and what another build, configuration or other settings would have made of them.

mod command;
mod day;
mod rerun;

pub use day::{Day, Line, RecordingError};
pub use rerun::{rerun, Summary};
