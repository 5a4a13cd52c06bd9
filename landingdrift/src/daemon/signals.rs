use super::error::ProcessError;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::{Handle, Signals};

/// Ends the wait for signals when a control thread ends, however it does.
pub struct Ended(pub Handle);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Takes the process's signals over.
pub fn take() -> Result<Signals, ProcessError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(ProcessError::Signals)
}
