//! HTTP for callers, workers and operators, by `rocket`: requests are passed to a control thread, which responds.

mod http_adapter;
mod request_handler;
mod serving;

pub use http_adapter::{HandlerAction, HttpAdapter, HttpRequest, HttpResponse};
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

/// The limits of one address.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// How long reading a body may take, and then waiting for a response.
    pub timeout: Duration,
    /// The longest body in bytes.
    pub body_bytes: u64,
    /// The most calls at once; more are told to come back.
    pub calls: u64,
}

/// Longer than any process takes to shut down, in seconds.
const SHUTDOWN_SECONDS: u32 = 600;

const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Patch,
    Method::Options,
    Method::Head,
];

/// Serves an address; returns the one that was bound.
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
    // One message tells that it listens, one that it has ended.
    let (launched, launch_result) = sync_channel(2);
    let http_error = move |why: String| ProcessError::Http { at: addr, why };
    handle.spawn(launch(addr, request_handler, launched));
    let bound = launch_result
        .recv()
        .map_err(|why| http_error(why.to_string()))?;
    bound.map_err(http_error)
}

/// The address that was bound, or why none was.
type LaunchResult = Result<SocketAddr, String>;

async fn launch(
    addr: SocketAddr,
    request_handler: RequestHandler,
    launched: SyncSender<LaunchResult>,
) {
    let lifted_off = launched.clone();
    let serving = request_handler.serving.clone();
    let listening = serving.clone();
    let on_liftoff = AdHoc::on_liftoff("launched", move |rocket| {
        listening.add(rocket.shutdown());
        let bound = SocketAddr::new(rocket.config().address, rocket.config().port);
        let _ = lifted_off.try_send(Ok(bound));
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
    let why = ended.map_or_else(|why| why.to_string(), |_| "it was shut down".into());
    if launched.try_send(Err(why.clone())).is_err() && !serving.is_refusing() {
        log::error!("HTTP at {addr} ended ({why}): the process ends, start it again");
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
            // The process bounds its own shutdown: no connection is cut before that.
            grace: SHUTDOWN_SECONDS,
            ..Default::default()
        },
        ..Config::release_default()
    }
}
