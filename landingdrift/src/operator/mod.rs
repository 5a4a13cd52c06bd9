//! The operator's command line.

mod client;
mod commands;
mod rollout;
mod show;
mod verify;

pub use client::{ClientError, ControlClient};
