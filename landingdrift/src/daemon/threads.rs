use super::error::ProcessError;
use std::thread::{Builder, JoinHandle};

/// Stack of the thread that steps a part.
pub const CONTROL: usize = 2 << 20;
/// Stack of any other thread.
pub const SMALL: usize = 256 << 10;

/// Starts a thread whose stack is as large as it needs to be.
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
