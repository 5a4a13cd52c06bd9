//! Errors of a process.

use crate::disk::StorageError;
use std::io;
use std::net::SocketAddr;

/// Why a process can't start, or has ended without being asked to; each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    #[error("no thread can be started ({0}): raise the limit on threads or on memory")]
    Thread(io::Error),
    #[error("no sockets can be had ({0}): raise the limit on open files")]
    Sockets(io::Error),
    #[error("can't listen for signals ({0}): raise the limit on open files")]
    Signals(io::Error),
    #[error("can't listen at {at} ({why}): free the address or name another with --listen")]
    Listen { at: String, why: io::Error },
    #[error("can't serve HTTP at {at} ({why}): free the address or name another with --http")]
    Http { at: SocketAddr, why: String },
    #[error("'{0}' is no address: correct --http")]
    NoAddress(String),
    #[error("{0}")]
    Disk(StorageError),
    /// The replica can't start from the contents of the data folder.
    #[error("{0}")]
    Replica(String),
    #[error("a control thread panicked: start the process again")]
    Panicked,
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
