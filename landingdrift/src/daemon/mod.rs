//! What surrounds a part in a real process: threads, sockets, files, signals.

mod control;
mod disks;
mod http;
mod logs;
mod roles;
mod transport;

pub use control::Input;
