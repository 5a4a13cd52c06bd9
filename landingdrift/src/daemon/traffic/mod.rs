//! The traffic thread, which serves all sockets of a process.

mod frames;
mod http;

pub use frames::{FrameOptions, Transport};
pub use http::{
    AdapterResult, ClientLimits, HttpAdapter, HttpLimits, HttpRequest, HttpResponse, ServingState,
    CONNECTION_BYTES,
};

use super::error::ProcessError;
use super::input::Input;
use super::pending_calls::PendingCalls;
use super::threads;
use http::HttpServer;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// A handle to the traffic thread. Dropping it ends the thread and closes all its sockets.
pub struct Traffic {
    handle: Handle,
    http: HttpServer,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Traffic {
    /// Starts the traffic thread. The limits hold for all HTTP addresses together.
    pub fn start(limits: ClientLimits) -> Result<Self, ProcessError> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(1)
            .thread_stack_size(threads::DEFAULT_STACK_BYTES)
            .build()
            .map_err(ProcessError::Sockets)?;
        let handle = runtime.handle().clone();
        let (stop, stop_receiver) = oneshot::channel::<()>();
        let thread = threads::spawn("traffic", threads::DEFAULT_STACK_BYTES, move || {
            let _ = runtime.block_on(stop_receiver);
            runtime.shutdown_background();
        })?;
        Ok(Self {
            http: HttpServer::new(handle.clone(), limits),
            handle,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Listens for frames and passes their messages to `inputs`. Returns the transport that sends frames from the same
    /// address.
    pub fn listen(
        &self,
        options: FrameOptions,
        inputs: Sender<Input>,
    ) -> Result<Transport, ProcessError> {
        frames::listen(&self.handle, options, inputs)
    }

    /// The serving state that all HTTP addresses of the process share.
    pub fn serving(&self) -> &ServingState {
        self.http.serving()
    }

    /// Serves HTTP at an address until the thread ends; returns the bound address.
    pub fn serve_http(
        &self,
        addr: SocketAddr,
        limits: HttpLimits,
        http_adapter: HttpAdapter,
        calls: PendingCalls,
        inputs: Sender<Input>,
    ) -> Result<SocketAddr, ProcessError> {
        self.http.serve(addr, limits, http_adapter, calls, inputs)
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
