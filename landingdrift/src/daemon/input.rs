//! What reaches the thread of control state. It lies below all modules that send to that thread or read for it.

use crate::sans_io::{Msg, Request};

/// What reaches the thread of control state.
pub enum Input {
    Msg(Msg),
    /// A call with the number under which its caller waits.
    Call(Request, u64),
}

impl From<Input> for Msg {
    fn from(input: Input) -> Self {
        match input {
            Input::Msg(msg) => msg,
            Input::Call(req, call) => Msg::Call(call, req),
        }
    }
}
