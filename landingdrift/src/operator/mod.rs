//! The operator's command line.

mod ask;
mod commands;
mod show;
mod verify;
