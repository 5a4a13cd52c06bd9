//! Handling of Unix signals.

use super::error::ProcessError;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::{Handle, Signals};

/// Closes the signal iterator when it is dropped, which ends the main thread's wait for signals. Each control thread
/// owns one, so that the main thread notices the end of a control thread even if it panicked.
pub struct CloseSignalsOnDrop(pub Handle);

impl Drop for CloseSignalsOnDrop {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Registers for SIGTERM and SIGINT (stop), and SIGHUP (reload the settings).
pub fn register() -> Result<Signals, ProcessError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(ProcessError::Signals)
}
