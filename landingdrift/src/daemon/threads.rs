//! Starts threads with names and stack sizes.

use super::error::ProcessError;
use std::thread::{Builder, JoinHandle};

/// The stack size of a control thread.
pub const CONTROL_STACK_BYTES: usize = 2 << 20;
/// The stack size of all other threads.
pub const DEFAULT_STACK_BYTES: usize = 256 << 10;

/// Starts a thread with the given name and stack size.
pub fn spawn<T: Send + 'static>(
    name: &str,
    stack_bytes: usize,
    run: impl FnOnce() -> T + Send + 'static,
) -> Result<JoinHandle<T>, ProcessError> {
    Builder::new()
        .name(name.into())
        .stack_size(stack_bytes)
        .spawn(run)
        .map_err(ProcessError::Thread)
}
