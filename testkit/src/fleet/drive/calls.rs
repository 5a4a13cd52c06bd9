//! Calls of the stand-ins to the fleet's processes, made by a few threads.

use super::Ent;
use landingdrift::sans_io::{Request, Response};
use reqwest::blocking::Client as Http;
use serde_json::Value;
use std::sync::mpsc::{Receiver, RecvError, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Threads that call: enough that a process which does not answer holds up nobody else.
const CALLERS: usize = 24;
/// After this time a call is given up, and its answer counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// A call that is to be made.
pub(super) struct Outgoing {
    pub from: Ent,
    pub to: String,
    pub call: u64,
    pub request: Request,
}

/// What came back of a call.
pub(super) struct Answer {
    pub to: Ent,
    pub call: u64,
    pub response: Response,
}

/// Makes one call and gives what came back; a lost answer has status 0.
pub fn call(http: &Http, to: &str, req: &Request) -> Response {
    let method = reqwest::Method::from_bytes(req.method.as_bytes()).unwrap_or_default();
    let query = if req.query.is_empty() {
        String::new()
    } else {
        format!("?{}", req.query)
    };
    let sent = http
        .request(method, format!("http://{to}{}{query}", req.path))
        .body(req.body.clone())
        .send();
    let Ok(response) = sent else {
        return Response::default();
    };
    let status = response.status().as_u16();
    let body: Value = response.json().unwrap_or(Value::Null);
    Response {
        status,
        retry_ms: body["retryMs"].as_u64().unwrap_or(0),
        body,
        ..Response::default()
    }
}

/// A client that gives a call up after a time.
pub(super) fn http_client(timeout: Duration) -> Http {
    Http::builder()
        .timeout(timeout)
        .no_proxy()
        .build()
        .unwrap_or_default()
}

/// Starts the threads that call; they end when nobody hands them calls or takes their answers any more.
pub(super) fn callers(rx: Receiver<Outgoing>, back: Sender<Answer>) {
    let rx = Arc::new(Mutex::new(rx));
    for _ in 0..CALLERS {
        let (rx, back) = (rx.clone(), back.clone());
        thread::spawn(move || make_calls(&rx, &back));
    }
}

fn make_calls(rx: &Mutex<Receiver<Outgoing>>, back: &Sender<Answer>) {
    let http = http_client(CALL_TIMEOUT);
    loop {
        let received = rx.lock().map_or(Err(RecvError), |r| r.recv());
        let Ok(out) = received else {
            return;
        };
        let answer = Answer {
            to: out.from,
            call: out.call,
            response: call(&http, &out.to, &out.request),
        };
        if back.send(answer).is_err() {
            return;
        }
    }
}
