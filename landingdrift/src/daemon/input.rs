//! Inputs of a control thread. The traffic, disk and control modules all import this module, so it must not depend on
//! them.

use crate::sans_io::{Msg, Request};
use std::any::Any;
use std::sync::Arc;

/// Keeps the memory of a call charged to its caller until the call is taken from the queue of inputs. `None` if nothing
/// is charged.
pub type MemoryGuard = Option<Arc<dyn Any + Send + Sync>>;

/// An input of a control thread.
pub enum Input {
    /// A message for the part that the thread runs.
    Msg(Msg),
    /// An HTTP call and its number in [`PendingCalls`](super::PendingCalls).
    Call(Request, u64, MemoryGuard),
}

impl From<Input> for Msg {
    fn from(input: Input) -> Self {
        match input {
            Input::Msg(msg) => msg,
            Input::Call(request, call, _) => Msg::Call(call, request),
        }
    }
}
