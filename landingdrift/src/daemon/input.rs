//! Inputs of a control thread. This module has no dependency on those that send or receive them.

use crate::sans_io::{Msg, Request};

/// An input of a control thread.
pub enum Input {
    /// A message for the part.
    Msg(Msg),
    /// A call with its number among the pending calls.
    Call(Request, u64),
}

impl From<Input> for Msg {
    fn from(input: Input) -> Self {
        match input {
            Input::Msg(msg) => msg,
            Input::Call(request, call) => Msg::Call(call, request),
        }
    }
}
