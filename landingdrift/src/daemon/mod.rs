//! What surrounds a part in a real process: threads, sockets, files, signals.

mod calls;
mod control;
mod core_start;
mod disks;
mod error;
mod input;
mod logs;
mod opening;
mod process;
mod roles;
mod running_part;
mod shutdown_timer;
mod signals;
mod threads;
mod traffic;

pub use calls::Calls;
pub use control::{Clock, Control};
pub use disks::{Backoff, Disk, Store};
pub use error::ProcessError;
pub use input::Input;
pub use process::Process;
pub use running_part::Handle;
pub use shutdown_timer::{GracePeriods, ShutdownTimer};
pub use traffic::{Asked, Frames, Handling, HttpAdapter, HttpLimits, Reply, Traffic, Transport};
