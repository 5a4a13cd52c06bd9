//! The operator's command line.

mod apply;
mod change;
mod client;
mod command_line;
mod commands;
mod rollout;
mod show;
mod steer;
mod verify;

pub use client::{ClientError, ControlClient};
