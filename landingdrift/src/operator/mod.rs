//! The operator's command-line client. Each command makes one or a few calls to the HTTP API of the nodes.

mod apply;
mod change;
mod client;
mod command_line;
mod commands;
mod rollout;
mod show;
mod verify;
mod zones;

pub use client::{ClientError, ControlClient};
