//! The responses of the HTTP server itself, to calls that do not reach the part or that it does not answer.

use crate::sans_io::Response;

/// The time after which a caller should retry a call that the part did not answer, in milliseconds.
const RETRY_MS: u64 = 1000;

/// The response to a call that exceeds the limit of concurrent calls.
pub fn busy() -> Response {
    let message = "this process has reached its limit of concurrent calls and did not execute this one: retry later, or call another node";
    Response::error(503, "busy", message).retry(RETRY_MS)
}

/// The response to a call that was not executed because its caller hung up first. It reaches nobody.
pub fn abandoned() -> Response {
    let message = "the caller hung up before the call was executed: send it again";
    Response::error(503, "abandoned", message)
}

/// The response to a request for whose body the process has no memory.
pub fn out_of_memory() -> Response {
    let message = "this process has no memory for the request body and did not execute the call: retry later, or call another node";
    Response::error(503, "busy", message).retry(RETRY_MS)
}

/// The response to a call whose large response the process has no memory for. Large responses are those to reads, which
/// have no effect, and to heartbeats, whose next one reports the same again.
pub fn no_memory_for_response() -> Response {
    let message = "this process has no memory for the response: retry later, or call another node";
    Response::error(503, "busy", message).retry(RETRY_MS)
}

/// The response to a call that was not passed to the part because the process is shutting down.
pub fn shutting_down() -> Response {
    let message =
        "this process is shutting down and did not execute this call: call another process";
    Response::error(503, "leaving", message).retry(RETRY_MS)
}

/// The response to a call that was not answered in time, or not before the control thread ended, so that its outcome is
/// unknown.
pub fn outcome_unknown() -> Response {
    let message =
        "the call was not answered, so its outcome is unknown: ask again, here or at another node";
    Response::error(503, "unsure", message).retry(RETRY_MS)
}

/// The response to a request whose body is longer than the limit.
pub fn body_too_long(max_bytes: u64) -> Response {
    let message = format!(
        "the request body is longer than the limit of {max_bytes} bytes: send a shorter one"
    );
    Response::error(413, "tooLarge", message)
}

/// The response to a request whose body is not encoded correctly.
pub fn invalid_body(error: &str) -> Response {
    let message = format!("failed to read the request body: {error}; send it again");
    Response::error(400, "noBody", message)
}

/// The response to a request whose body did not arrive in time.
pub fn body_timed_out() -> Response {
    let message =
        "the request body did not arrive in time and the call was not executed: send it again";
    Response::error(503, "noBody", message).retry(RETRY_MS)
}

/// The response to a request with a method that the server does not pass on.
pub fn unknown_method(method: &str) -> Response {
    let message = format!(
        "the method {method} can't be served: docs/operators/api.md lists the methods and routes"
    );
    Response::error(404, "wrongRequest", message)
}
