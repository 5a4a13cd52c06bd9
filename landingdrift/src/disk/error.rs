use super::FOLDER_VERSION;
use std::fmt;
use std::path::{Path, PathBuf};

/// An error while opening, reading or writing a data folder.
#[derive(Debug)]
pub enum StorageError {
    /// A file system operation failed.
    Io {
        /// The file or folder concerned.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The folder contains other files and no marker of a data folder.
    NotADataFolder(PathBuf),
    /// The folder has a format that this build does not read.
    Version {
        /// The format version of the folder.
        found: u16,
    },
    /// The folder belongs to another cluster.
    Cluster {
        /// The cluster to which the folder belongs.
        found: String,
        /// The cluster named in the settings.
        wanted: String,
    },
    /// Another process has locked the folder.
    InUse(PathBuf),
}

impl StorageError {
    /// Whether the folder may become usable without a change of the settings.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Io { .. })
    }
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Io { path, source } if source.kind() == std::io::ErrorKind::StorageFull => write!(f, "{}: the disk is full: free some disk space", path.display()),
            Self::Io { path, source } => write!(f, "{}: {source}: check the folder's permissions and its disk", path.display()),
            Self::NotADataFolder(path) => write!(f, "{} is not a landingdrift data folder: specify an empty folder or the one that this core used before", path.display()),
            Self::Version { found } => write!(f, "the data folder has format {found}, but this build reads format {FOLDER_VERSION}: run the build that wrote it"),
            Self::Cluster { found, wanted } => write!(f, "the data folder belongs to cluster '{found}', not '{wanted}': correct 'cluster' or 'data' in the settings"),
            Self::InUse(path) => write!(f, "{} is in use by another process: stop that process first", path.display()),
        }
    }
}

/// Returns a function that adds `path` to an error of the file system.
pub(super) fn io_error_at(path: &Path) -> impl Fn(std::io::Error) -> StorageError + '_ {
    move |source| StorageError::Io {
        path: path.to_path_buf(),
        source,
    }
}
