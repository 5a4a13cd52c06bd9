//! Errors of a process.

use crate::disk::StorageError;
use std::io;
use std::net::SocketAddr;

/// Why a process can't start, or has ended without being asked to; each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A thread could not be started.
    #[error("no thread can be started ({0}): raise the limit on threads or on memory")]
    Thread(io::Error),
    /// Sockets could not be set up.
    #[error("no sockets can be had ({0}): raise the limit on open files")]
    Sockets(io::Error),
    /// Signals could not be listened for.
    #[error("can't listen for signals ({0}): raise the limit on open files")]
    Signals(io::Error),
    #[error("can't listen at {at} ({why}): free the address or name another with --listen")]
    /// An address can't be listened at.
    Listen {
        /// The address.
        at: String,
        /// Why it could not be listened at.
        why: io::Error,
    },
    #[error("can't serve HTTP at {at} ({why}): free the address or name another with --http")]
    /// HTTP can't be served.
    Http {
        /// The address.
        at: SocketAddr,
        /// Why HTTP could not be served at it.
        why: String,
    },
    /// The text is no address.
    #[error("'{0}' is no address: correct --http")]
    NoAddress(String),
    /// The data folder could not be opened.
    #[error("{0}")]
    Disk(StorageError),
    /// The replica can't start from the contents of the data folder.
    #[error("{0}")]
    Replica(String),
    /// A thread has panicked.
    #[error("a control thread panicked: start the process again")]
    Panicked,
    /// A part has ended by itself.
    #[error("a part ended by itself: start the process again")]
    PartEnded,
}

impl From<StorageError> for ProcessError {
    fn from(why: StorageError) -> Self {
        Self::Disk(why)
    }
}

/// For programs that only print the error.
impl From<ProcessError> for String {
    fn from(why: ProcessError) -> Self {
        why.to_string()
    }
}
