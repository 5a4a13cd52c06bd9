//! HTTP towards callers, workers and operators, by `rocket`: it reads the call, control gives the response.

mod http_adapter;
mod request_handler;
mod serving;

pub use http_adapter::{Asked, Handling, HttpAdapter, Reply};
pub use serving::ServingState;

use crate::daemon::calls::Calls;
use crate::daemon::error::ProcessError;
use crate::daemon::input::Input;
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

/// What one address may cost.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// How long a body may take to come, and then a response.
    pub patience: Duration,
    /// The longest body in bytes.
    pub bytes: u64,
    /// Calls in hand at once; more are told to come back.
    pub calls: u64,
}

/// Longer than any process takes to end.
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

/// Serves an address; says which it became.
pub fn serve(
    handle: &Handle,
    serving: &ServingState,
    addr: SocketAddr,
    limits: HttpLimits,
    http_adapter: HttpAdapter,
    calls: Calls,
    inputs: Sender<Input>,
) -> Result<SocketAddr, ProcessError> {
    let places = (limits.calls as usize).min(Semaphore::MAX_PERMITS);
    let request_handler = RequestHandler {
        limits,
        http_adapter,
        calls,
        inputs,
        serving: serving.clone(),
        places: Arc::new(Semaphore::new(places)),
    };
    let (tx, rx) = sync_channel(2);
    let cant = move |why: String| ProcessError::Http { at: addr, why };
    handle.spawn(launch(addr, request_handler, tx));
    let up = rx.recv().map_err(|e| cant(e.to_string()))?;
    up.map_err(cant)
}

/// The address that is served, or why none is.
type Up = Result<SocketAddr, String>;

async fn launch(addr: SocketAddr, request_handler: RequestHandler, up: SyncSender<Up>) {
    let lifted = up.clone();
    let serving = request_handler.serving.clone();
    let listening = serving.clone();
    let tell = AdHoc::on_liftoff("up", move |r| {
        listening.add(r.shutdown());
        let at = SocketAddr::new(r.config().address, r.config().port);
        let _ = lifted.try_send(Ok(at));
        Box::pin(async {})
    });
    let ended: Result<Rocket<Ignite>, rocket::Error> = rocket::custom(config(addr))
        .mount(
            "/",
            METHODS.map(|m| Route::ranked(0, m, "/<path..>", request_handler.clone())),
        )
        .register("/", vec![Catcher::new(None, request_handler)])
        .attach(tell)
        .launch()
        .await;
    let why = ended.map_or_else(|e| e.to_string(), |_| "it was shut down".into());
    if up.try_send(Err(why.clone())).is_err() && !serving.refuses() {
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
            // The process bounds its own end: no connection is cut before that.
            grace: SHUTDOWN_SECONDS,
            ..Default::default()
        },
        ..Config::release_default()
    }
}
