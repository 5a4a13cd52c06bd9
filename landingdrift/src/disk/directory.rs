use super::error::{io_error_at, StorageError};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Operations that change directory entries. Until the folder is synced, a power failure may keep or lose each change
/// independently. Tests implement this trait to simulate that.
pub trait Directory: Send {
    /// Creates a file, or truncates an existing one.
    fn create(&self, path: &Path) -> io::Result<File>;
    /// Opens a file for appending, and creates it if it does not exist.
    fn append(&self, path: &Path) -> io::Result<File>;
    /// Renames a file, replacing any file of the new name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Makes all changes of directory entries in a folder durable.
    fn sync(&self, folder: &Path) -> io::Result<()>;
}

/// Directory operations of the operating system's file system.
pub struct FileSystem;

impl Directory for FileSystem {
    fn create(&self, path: &Path) -> io::Result<File> {
        File::create(path)
    }
    fn append(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(path)
    }
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }
    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }
    fn sync(&self, folder: &Path) -> io::Result<()> {
        File::open(folder).and_then(|folder| folder.sync_all())
    }
}

/// Creates a folder, with its missing parents, and makes its entry in its direct parent durable.
pub(super) fn create_durable_folder(
    directory_ops: &dyn Directory,
    path: &Path,
) -> Result<(), StorageError> {
    fs::create_dir_all(path).map_err(io_error_at(path))?;
    let parent = path.parent().filter(|p| !p.as_os_str().is_empty());
    let parent = parent.unwrap_or(Path::new("."));
    directory_ops.sync(parent).map_err(io_error_at(parent))
}

/// Replaces a file atomically and durably: after a failure it has either all the new bytes or its previous content.
pub(super) fn write_atomically(
    directory_ops: &dyn Directory,
    path: &Path,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let temporary_path = path.with_extension("new");
    directory_ops
        .create(&temporary_path)
        .and_then(|mut file| file.write_all(bytes).and_then(|()| file.sync_all()))
        .map_err(io_error_at(&temporary_path))?;
    directory_ops
        .rename(&temporary_path, path)
        .map_err(io_error_at(path))?;
    let folder = path.parent().unwrap_or(path);
    directory_ops.sync(folder).map_err(io_error_at(folder))
}
