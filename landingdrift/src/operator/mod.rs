//! The operator's command line.

mod ask;
mod commands;
mod rollout;
mod show;
mod verify;

pub use ask::{ClientError, ControlClient};
