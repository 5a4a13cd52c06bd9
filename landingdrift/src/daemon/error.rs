//! Errors that prevent a process from starting or make it exit.

use crate::disk::StorageError;
use std::io;
use std::net::SocketAddr;

/// An error that prevents a process from starting or makes it exit. Messages name the remedy.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A thread could not be started.
    #[error("failed to start a thread: {0}; raise the limit on threads or on memory")]
    Thread(io::Error),
    /// Sockets could not be set up.
    #[error("failed to set up sockets: {0}; raise the limit on open files")]
    Sockets(io::Error),
    /// Signal handlers could not be registered.
    #[error("failed to register signal handlers: {0}; raise the limit on open files")]
    Signals(io::Error),
    /// The address for other processes could not be bound.
    #[error("failed to listen at {at}: {error}; free the address or choose another with --listen")]
    Listen {
        /// The address to bind.
        at: String,
        /// The error of the bind.
        error: io::Error,
    },
    /// The HTTP server could not be started.
    #[error(
        "failed to serve HTTP at {at}: {error}; free the address or choose another with --http"
    )]
    Http {
        /// The address to serve.
        at: SocketAddr,
        /// The error of the bind.
        error: io::Error,
    },
    /// The HTTP address in the settings can't be parsed.
    #[error("'{0}' is not an address (IP:PORT): correct --http")]
    InvalidAddress(String),
    /// The data folder could not be opened.
    #[error("{0}")]
    Disk(StorageError),
    /// The replica can't start from the contents of the data folder.
    #[error("{0}")]
    Replica(String),
    /// A control thread has panicked.
    #[error("a control thread panicked; restart the process")]
    Panicked,
    /// A part has ended without a request to stop.
    #[error("the replica, node or worker proxy ended unexpectedly; restart the process")]
    PartEnded,
}

impl From<StorageError> for ProcessError {
    fn from(error: StorageError) -> Self {
        Self::Disk(error)
    }
}

/// For programs that use `String` as their error type because they only print errors.
impl From<ProcessError> for String {
    fn from(error: ProcessError) -> Self {
        error.to_string()
    }
}
