use super::error::{io, StorageError};
use std::fs::{self, File, OpenOptions};
use std::io::{self as std_io, Write};
use std::path::Path;

/// What changes the names in a folder. Each change may be kept or lost by itself when the power goes, until the folder
/// is synced; tests put a model of that in place of the file system.
pub trait Directory: Send {
    /// Makes a file, or empties the one that is there.
    fn create(&self, path: &Path) -> std_io::Result<File>;
    /// Opens a file to write at its end, and makes it if it is not there.
    fn append(&self, path: &Path) -> std_io::Result<File>;
    /// Gives a file another name, in place of the file that has it.
    fn rename(&self, from: &Path, to: &Path) -> std_io::Result<()>;
    /// Removes a file.
    fn remove(&self, path: &Path) -> std_io::Result<()>;
    /// Makes all changes of names in a folder durable.
    fn sync(&self, folder: &Path) -> std_io::Result<()>;
}

/// The file system.
pub struct FileSystem;

impl Directory for FileSystem {
    fn create(&self, path: &Path) -> std_io::Result<File> {
        File::create(path)
    }
    fn append(&self, path: &Path) -> std_io::Result<File> {
        OpenOptions::new().create(true).append(true).open(path)
    }
    fn rename(&self, from: &Path, to: &Path) -> std_io::Result<()> {
        fs::rename(from, to)
    }
    fn remove(&self, path: &Path) -> std_io::Result<()> {
        fs::remove_file(path)
    }
    fn sync(&self, folder: &Path) -> std_io::Result<()> {
        File::open(folder).and_then(|d| d.sync_all())
    }
}

/// Makes a folder, and makes sure that it is still there after a loss of power.
pub(super) fn create_durable_folder(
    directory: &dyn Directory,
    path: &Path,
) -> Result<(), StorageError> {
    fs::create_dir_all(path).map_err(io(path))?;
    let parent = path.parent().filter(|p| !p.as_os_str().is_empty());
    let parent = parent.unwrap_or(Path::new("."));
    directory.sync(parent).map_err(io(parent))
}

/// Writes a file whole: it is there with all its bytes, or as it was before.
pub(super) fn write_atomically(
    directory: &dyn Directory,
    path: &Path,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let new = path.with_extension("new");
    directory
        .create(&new)
        .and_then(|mut f| f.write_all(bytes).and_then(|()| f.sync_all()))
        .map_err(io(&new))?;
    directory.rename(&new, path).map_err(io(path))?;
    let folder = path.parent().unwrap_or(path);
    directory.sync(folder).map_err(io(folder))
}
