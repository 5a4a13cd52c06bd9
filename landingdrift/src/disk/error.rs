use super::FOLDER_VERSION;
use std::fmt;
use std::path::{Path, PathBuf};

/// What is wrong with a data folder.
#[derive(Debug)]
pub enum StorageError {
    /// The file system refused.
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the file system said.
        source: std::io::Error,
    },
    /// The folder holds something else.
    NotADataFolder(PathBuf),
    /// Another build's folder.
    Version {
        /// The format of the folder.
        found: u16,
    },
    /// Another cluster's folder.
    Cluster {
        /// The cluster that the folder belongs to.
        found: String,
        /// The cluster of the settings.
        wanted: String,
    },
    /// Another process uses it.
    InUse(PathBuf),
}

impl StorageError {
    /// Whether the folder may become usable without anybody changing the settings.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Io { .. })
    }
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Io { path, source: why } if why.kind() == std::io::ErrorKind::StorageFull => write!(f, "{}: the disk is full: free some of it", path.display()),
            Self::Io { path, source: why } => write!(f, "{}: {why}: check the folder's rights and its disk", path.display()),
            Self::NotADataFolder(p) => write!(f, "{} holds files of something else: name an empty folder or the one this core used before", p.display()),
            Self::Version { found } => write!(f, "the data folder has format {found}, this build reads {FOLDER_VERSION}: run the build that wrote it"),
            Self::Cluster { found, wanted } => write!(f, "the data folder belongs to cluster '{found}', not '{wanted}': correct 'cluster' or 'data'"),
            Self::InUse(p) => write!(f, "{} is in use by another process: stop that one first", p.display()),
        }
    }
}

/// An error of the file system, with the file that it concerns.
pub(super) fn io(path: &Path) -> impl Fn(std::io::Error) -> StorageError + '_ {
    move |why| StorageError::Io {
        path: path.to_path_buf(),
        source: why,
    }
}
