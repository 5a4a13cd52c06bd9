//! The HTTP server for clients, workers and operators, based on `hyper`. It passes requests to a control thread and
//! returns the responses.

mod client_usage;
mod connection;
mod connections;
mod discard;
mod http_adapter;
mod listener;
mod memory_budget;
mod progress;
mod request_body;
mod request_handler;
mod responses;
mod serving;
mod tracked_stream;

pub use connection::CONNECTION_BYTES;
pub use http_adapter::{AdapterResult, HttpAdapter, HttpRequest, HttpResponse};
pub use serving::ServingState;

use crate::daemon::error::ProcessError;
use crate::daemon::input::Input;
use crate::daemon::pending_calls::PendingCalls;
use crate::settings::Limits;
use client_usage::ClientUsage;
use connections::Connections;
use memory_budget::MemoryBudget;
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

/// The limits on what the clients of all HTTP addresses of a process together make it hold.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// The memory for what clients send and for responses to them, in bytes.
    pub memory_bytes: u64,
    /// The maximum number of open connections.
    pub connections: u64,
}

impl ClientLimits {
    /// The limits that the settings state.
    pub fn from_settings(limits: &Limits) -> Self {
        Self {
            memory_bytes: limits.http_memory_bytes,
            connections: limits.http_connections,
        }
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self::from_settings(&Limits::default())
    }
}

/// Serves HTTP at the addresses of a process, which share the limits on what clients make the process hold.
pub struct HttpServer {
    handle: Handle,
    serving: ServingState,
    usage: ClientUsage,
    large_responses: Arc<Semaphore>,
}

/// The number of calls with large responses that a process executes at a time.
const LARGE_RESPONSES: usize = 2;

impl HttpServer {
    /// A server without addresses, whose tasks run on the given runtime.
    pub fn new(handle: Handle, limits: ClientLimits) -> Self {
        let usage = ClientUsage {
            memory: MemoryBudget::new(limits.memory_bytes),
            connections: Connections::new(limits.connections),
        };
        handle.spawn(usage.clone().supervise());
        Self {
            handle,
            serving: ServingState::default(),
            usage,
            large_responses: Arc::new(Semaphore::new(LARGE_RESPONSES)),
        }
    }

    /// The serving state that all addresses share.
    pub fn serving(&self) -> &ServingState {
        &self.serving
    }

    /// Starts serving at an address; returns the bound address.
    pub fn serve(
        &self,
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
            serving: self.serving.clone(),
            permits: Semaphore::new(permits),
            memory: self.usage.memory.add_address(),
            connections: self.usage.connections.add_address(),
            usage: self.usage.clone(),
            large_responses: self.large_responses.clone(),
        };
        let http_error = |error| ProcessError::Http { at: addr, error };
        let listener = listener::bind(&self.handle, addr).map_err(http_error)?;
        let bound = listener.local_addr().map_err(http_error)?;
        let accepting = listener::accept(listener, Arc::new(request_handler));
        let accepting = self.handle.spawn(accepting);
        self.serving.add(accepting.abort_handle());
        Ok(bound)
    }
}
