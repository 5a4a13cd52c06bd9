//! What surrounds a part in a real process: threads, sockets, files, signals.

mod calls;
mod control;
mod disks;
mod logs;
mod opening;
mod process;
mod roles;
mod shutdown_timer;
mod signals;
mod threads;
mod traffic;

pub use calls::Calls;
pub use control::{Clock, Control, Input};
pub use disks::{Backoff, Disk, Store};
pub use process::{Handle, Process};
pub use shutdown_timer::{GracePeriods, ShutdownTimer};
pub use traffic::{Asked, Frames, Handling, HttpAdapter, HttpLimits, Reply, Traffic, Transport};
