//! What surrounds a part in a real process: threads, sockets, files, signals.

mod calls;
mod control;
mod disks;
mod ending;
mod logs;
mod opening;
mod process;
mod roles;
mod signals;
mod threads;
mod traffic;

pub use calls::Calls;
pub use control::{Clock, Control, Input};
pub use disks::{Disk, Pauses, Store};
pub use ending::{Ending, StopSpans};
pub use process::{Handle, Process};
pub use traffic::{Asked, Frames, Handling, HttpAdapter, HttpLimits, Reply, Traffic, Transport};
