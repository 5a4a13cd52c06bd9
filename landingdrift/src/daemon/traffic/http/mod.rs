//! The HTTP server for clients, workers and operators, based on `rocket`. It passes requests to a control thread and
//! returns the responses.

mod http_adapter;
mod request_handler;
mod serving;

pub use http_adapter::{AdapterResult, HttpAdapter, HttpRequest, HttpResponse};
pub use serving::ServingState;

use crate::daemon::error::ProcessError;
use crate::daemon::input::Input;
use crate::daemon::pending_calls::PendingCalls;
use request_handler::RequestHandler;
use rocket::config::{LogLevel, Shutdown};
use rocket::fairing::AdHoc;
use rocket::http::Method;
use rocket::tokio::runtime::Handle;
use rocket::tokio::sync::Semaphore;
use rocket::{Catcher, Config, Ignite, Rocket, Route};
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Sender, SyncSender};
use std::sync::Arc;
use std::time::Duration;

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

/// The grace period of `rocket` itself. It is longer than any process takes to shut down, so it never applies.
const SHUTDOWN_SECONDS: u32 = 600;

/// The methods that are passed to the adapter; others get an error response.
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Patch,
    Method::Options,
    Method::Head,
];

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
        permits: Arc::new(Semaphore::new(permits)),
    };
    // The channel holds two messages: one when the server listens, one when it has ended.
    let (result_sender, launch_result) = sync_channel(2);
    let http_error = move |error: String| ProcessError::Http { at: addr, error };
    handle.spawn(launch(addr, request_handler, result_sender));
    let bound = launch_result
        .recv()
        .map_err(|error| http_error(error.to_string()))?;
    bound.map_err(http_error)
}

/// The bound address, or the error that kept the server from starting or ended it.
type LaunchResult = Result<SocketAddr, String>;

async fn launch(
    addr: SocketAddr,
    request_handler: RequestHandler,
    result_sender: SyncSender<LaunchResult>,
) {
    let launch_sender = result_sender.clone();
    let serving = request_handler.serving.clone();
    let serving_state = serving.clone();
    let on_liftoff = AdHoc::on_liftoff("launched", move |rocket| {
        serving_state.add(rocket.shutdown());
        let bound = SocketAddr::new(rocket.config().address, rocket.config().port);
        let _ = launch_sender.try_send(Ok(bound));
        Box::pin(async {})
    });
    let ended: Result<Rocket<Ignite>, rocket::Error> = rocket::custom(config(addr))
        .mount(
            "/",
            METHODS.map(|method| Route::ranked(0, method, "/<path..>", request_handler.clone())),
        )
        .register("/", vec![Catcher::new(None, request_handler)])
        .attach(on_liftoff)
        .launch()
        .await;
    let error = ended.map_or_else(|error| error.to_string(), |_| "it was shut down".into());
    if result_sender.try_send(Err(error.clone())).is_err() && !serving.is_rejecting() {
        log::error!(
            "the HTTP server at {addr} ended unexpectedly: {error}; exiting, restart the process"
        );
        std::process::exit(1);
    }
}

fn config(addr: SocketAddr) -> Config {
    Config {
        address: addr.ip(),
        port: addr.port(),
        workers: 1,
        max_blocking: 1,
        log_level: LogLevel::Off,
        shutdown: Shutdown {
            ctrlc: false,
            signals: Default::default(),
            // The process bounds its own shutdown, and no connection may be closed before that.
            grace: SHUTDOWN_SECONDS,
            ..Default::default()
        },
        ..Config::release_default()
    }
}
