//! The signals of the process.

use super::error::ProcessError;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::{Handle, Signals};

/// Ends the wait for signals when it is dropped: a control thread owns one, so that the process learns of its end even
/// if it panics.
pub struct CloseSignalsOnDrop(pub Handle);

impl Drop for CloseSignalsOnDrop {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Registers for the signals to stop and to reread the settings.
pub fn register() -> Result<Signals, ProcessError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(ProcessError::Signals)
}
