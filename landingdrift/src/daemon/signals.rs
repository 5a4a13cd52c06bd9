//! Handling of Unix signals.

use super::error::ProcessError;
use super::threads;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::{Handle, Signals};
use std::sync::mpsc::{channel, Receiver};

/// Closes the signal iterator when it is dropped, which disconnects the receiver of signals. Each control thread owns
/// one, so that the main thread notices the end of a control thread even if it panicked.
pub struct CloseSignalsOnDrop(pub Handle);

impl Drop for CloseSignalsOnDrop {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Registers for SIGTERM and SIGINT (stop), and SIGHUP (reload the settings), and receives them in a thread of its own.
/// The receiver is disconnected once the handle is closed.
pub fn receive() -> Result<(Receiver<i32>, Handle), ProcessError> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(ProcessError::Signals)?;
    let handle = signals.handle();
    let (sender, receiver) = channel();
    threads::spawn("signals", threads::DEFAULT_STACK_BYTES, move || {
        for signal in signals.forever() {
            if sender.send(signal).is_err() {
                return;
            }
        }
    })?;
    Ok((receiver, handle))
}
