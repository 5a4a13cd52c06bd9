//! The HTTP server for clients, workers and operators, based on `hyper`. It passes requests to a control thread and
//! returns the responses.

mod connection;
mod http_adapter;
mod listener;
mod request_handler;
mod responses;
mod serving;

pub use http_adapter::{AdapterResult, HttpAdapter, HttpRequest, HttpResponse};
pub use serving::ServingState;

use crate::daemon::error::ProcessError;
use crate::daemon::input::Input;
use crate::daemon::pending_calls::PendingCalls;
use request_handler::RequestHandler;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;

/// The limits of one HTTP address.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// The timeout for reading a request body, and separately for waiting for the part's response.
    pub timeout: Duration,
    /// The maximum length of a request body, in bytes.
    pub body_bytes: u64,
    /// The maximum number of concurrent calls; further calls are rejected and may be retried.
    pub calls: u64,
}

/// Starts serving HTTP at an address; returns the bound address.
pub fn serve(
    handle: &Handle,
    serving: &ServingState,
    addr: SocketAddr,
    limits: HttpLimits,
    http_adapter: HttpAdapter,
    calls: PendingCalls,
    inputs: Sender<Input>,
) -> Result<SocketAddr, ProcessError> {
    let permits = (limits.calls as usize).min(Semaphore::MAX_PERMITS);
    let request_handler = RequestHandler {
        limits,
        http_adapter,
        calls,
        inputs,
        serving: serving.clone(),
        permits: Semaphore::new(permits),
    };
    let http_error = |error| ProcessError::Http { at: addr, error };
    let listener = listener::bind(handle, addr).map_err(http_error)?;
    let bound = listener.local_addr().map_err(http_error)?;
    let accepting = listener::accept(listener, Arc::new(request_handler));
    serving.add(handle.spawn(accepting).abort_handle());
    Ok(bound)
}
