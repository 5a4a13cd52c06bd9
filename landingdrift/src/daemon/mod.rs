//! Runs parts in a real process: threads, sockets, files and signals.
//!
//! - `process` starts and stops the parts; `roles` has the subcommands that run one of them.
//! - `control` is the thread that steps a part; `disk_writer` is the one that writes a replica's data folder.
//! - `traffic` is the thread that serves all sockets; `pending_calls` matches its HTTP calls with responses.

mod body_limits;
mod control;
mod disk_writer;
mod error;
mod input;
mod logs;
mod open_folder;
mod pending_calls;
mod process;
mod replica_start;
mod roles;
mod running_part;
mod settings_file;
mod shutdown_timer;
mod signals;
mod threads;
mod traffic;

pub use control::{Clock, ControlThread};
pub use disk_writer::{Backoff, DiskWriter, Store};
pub use error::ProcessError;
pub use input::Input;
pub use pending_calls::PendingCalls;
pub use process::Process;
pub use running_part::PartHandle;
pub use settings_file::{LoadSettings, SettingsSource};
pub use shutdown_timer::{GracePeriod, ShutdownTimer};
pub use traffic::{
    AdapterResult, ClientLimits, FrameOptions, HttpAdapter, HttpLimits, HttpRequest, HttpResponse,
    Traffic, Transport, CONNECTION_BYTES,
};
