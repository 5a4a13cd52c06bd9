//! The source of a process's settings, with detection of changes of the settings file.

use crate::settings::Settings;
use std::path::PathBuf;

/// Loads the settings of all parts of a process, in the order in which the parts were started.
pub type LoadSettings<'a> = &'a dyn Fn() -> Result<Vec<Settings>, String>;

/// Loads the settings again while the process runs, and notices when their file changes.
pub struct SettingsSource<'a> {
    load: LoadSettings<'a>,
    file: Option<PathBuf>,
    /// The content of the file at the last check.
    last_read: Vec<u8>,
    /// The content of the file when the settings were last loaded.
    last_loaded: Vec<u8>,
}

impl<'a> SettingsSource<'a> {
    /// Settings from a file, or from flags alone if there is none.
    pub fn new(file: Option<PathBuf>, load: LoadSettings<'a>) -> Self {
        Self {
            load,
            file,
            last_read: Vec::new(),
            last_loaded: Vec::new(),
        }
    }

    /// Loads the settings.
    pub fn load(&mut self) -> Result<Vec<Settings>, String> {
        if let Some(content) = self.read_file() {
            self.last_loaded = content;
        }
        (self.load)()
    }

    /// Whether the file has a new content that was the same at the last check: one that is being written is not complete
    /// yet. Also true for the first content, since the file may have changed after the process read its settings. A file
    /// that can't be read counts as unchanged.
    pub fn has_changed(&mut self) -> bool {
        let Some(content) = self.read_file() else {
            return false;
        };
        let is_stable = content == self.last_read;
        self.last_read = content;
        is_stable && self.last_read != self.last_loaded
    }

    fn read_file(&self) -> Option<Vec<u8>> {
        std::fs::read(self.file.as_ref()?).ok()
    }
}
