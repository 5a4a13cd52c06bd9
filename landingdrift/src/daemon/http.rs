//! HTTP towards callers, workers and operators, by `rocket`: it reads the call, control gives the verdict.

use super::control::{Input, Waiting};
use crate::kernel::{Request, Verdict};
use rocket::data::{Data, ToByteUnit};
use rocket::http::{ContentType, Header, Method, Status};
use rocket::response::Response;
use rocket::route::{Handler, Outcome, Route};
use rocket::tokio;
use std::io::Cursor;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone)]
struct Door {
    inputs: Arc<Mutex<Sender<Input>>>,
    waiting: Waiting,
    next: Arc<AtomicU64>,
    patience: Duration,
    most: u64,
}

impl Door {
    async fn ask(&self, req: Request) -> Verdict {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = tokio::sync::oneshot::channel();
        self.waiting.insert(call, tx);
        let sent = self
            .inputs
            .lock()
            .is_ok_and(|i| i.send(Input::Call(req, call)).is_ok());
        let answered = tokio::time::timeout(self.patience, rx).await;
        self.waiting.remove(&call);
        match answered {
            Ok(Ok(v)) if sent => v,
            _ => Verdict::error(
                503,
                "unsure",
                "this process gave no verdict: ask again, here or at another node",
            )
            .retry(1000),
        }
    }
}

fn respond<'r>(v: Verdict) -> Response<'r> {
    let mut b = Response::build();
    b.status(Status::new(v.status));
    if v.retry_ms > 0 {
        b.header(Header::new(
            "Retry-After",
            v.retry_ms.div_ceil(1000).to_string(),
        ));
    }
    let (kind, text) = match v.body {
        serde_json::Value::String(s) => (ContentType::Plain, s),
        mut other => {
            if v.retry_ms > 0 && other.is_object() {
                other["retryMs"] = v.retry_ms.into();
            }
            (ContentType::JSON, other.to_string() + "\n")
        }
    };
    b.header(kind)
        .sized_body(text.len(), Cursor::new(text))
        .finalize()
}

#[rocket::async_trait]
impl Handler for Door {
    async fn handle<'r>(&self, req: &'r rocket::Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let body = data.open(self.most.bytes()).into_bytes().await;
        let verdict = match body {
            Ok(b) if b.is_complete() => {
                let uri = req.uri();
                let request = Request {
                    method: req.method().as_str().into(),
                    path: uri
                        .path()
                        .percent_decode()
                        .map_or_else(|_| uri.path().to_string(), |p| p.to_string()),
                    query: uri.query().map_or(String::new(), |q| q.to_string()),
                    body: b.into_inner(),
                };
                self.ask(request).await
            }
            Ok(_) => Verdict::error(
                413,
                "tooLarge",
                format!("no body may have more than {} bytes: send less", self.most),
            ),
            Err(e) => Verdict::error(
                400,
                "noBody",
                format!("the body could not be read ({e}): send it again"),
            ),
        };
        Outcome::Success(respond(verdict))
    }
}

/// What the library refuses before it reaches us is told as JSON, too.
fn refused<'r>(status: Status, _: &'r rocket::Request<'_>) -> rocket::catcher::BoxFuture<'r> {
    let message = format!("the request is no HTTP that is served here ({}): docs/operators/api.md lists methods and routes", status.reason_lossy());
    let v = Verdict::error(status.code, "wrongRequest", message);
    Box::pin(async move { Ok(respond(v)) })
}

/// Serves HTTP at an address, on threads of its own, until the process ends.
pub fn start(
    addr: SocketAddr,
    inputs: Sender<Input>,
    waiting: Waiting,
    patience: Duration,
    most: u64,
) -> Result<(), String> {
    let door = Door {
        inputs: Arc::new(Mutex::new(inputs)),
        waiting,
        next: Arc::new(AtomicU64::new(1)),
        patience,
        most,
    };
    // The port is tried first, so that a wrong one is told before anything else starts.
    std::net::TcpListener::bind(addr)
        .map(drop)
        .map_err(|e| e.to_string())?;
    let config = rocket::Config {
        address: addr.ip(),
        port: addr.port(),
        workers: 2,
        log_level: rocket::config::LogLevel::Off,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            ..Default::default()
        },
        ..rocket::Config::default()
    };
    std::thread::spawn(move || {
        let methods = [
            Method::Get,
            Method::Put,
            Method::Post,
            Method::Delete,
            Method::Patch,
            Method::Options,
            Method::Head,
        ];
        let routes: Vec<Route> = methods
            .into_iter()
            .map(|m| Route::ranked(0, m, "/<path..>", door.clone()))
            .collect();
        let result = rocket::execute(
            rocket::custom(config)
                .mount("/", routes)
                .register("/", vec![rocket::Catcher::new(None, refused)])
                .launch(),
        );
        if let Err(e) = result {
            log::error!("HTTP at {addr} ended: {e}");
            std::process::exit(1);
        }
    });
    Ok(())
}
