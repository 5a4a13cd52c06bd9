//! Threads and the sizes of their stacks.

use super::error::ProcessError;
use std::thread::{Builder, JoinHandle};

/// The stack of a control thread, in bytes.
pub const CONTROL: usize = 2 << 20;
/// The stack of any other thread, in bytes.
pub const SMALL: usize = 256 << 10;

/// Starts a thread with a name and a stack size.
pub fn spawn<T: Send + 'static>(
    name: &str,
    stack: usize,
    run: impl FnOnce() -> T + Send + 'static,
) -> Result<JoinHandle<T>, ProcessError> {
    Builder::new()
        .name(name.into())
        .stack_size(stack)
        .spawn(run)
        .map_err(ProcessError::Thread)
}
