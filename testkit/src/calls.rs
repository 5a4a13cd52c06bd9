//! HTTP calls to real processes, made by a pool of threads.

use landingdrift::sans_io::{Request, Response};
use reqwest::blocking::Client as Http;
use serde_json::Value;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The time after which an answer counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// A call, with the key that identifies its answer.
pub struct OutgoingCall<K> {
    /// Identifies the call to the receiver of the answer.
    pub key: K,
    /// The address of the process.
    pub to: String,
    pub request: Request,
}

/// Makes a call and waits for the response; status 0 stands for a lost response.
pub fn call(http: &Http, to: &str, request: &Request) -> Response {
    let method = reqwest::Method::from_bytes(request.method.as_bytes()).unwrap_or_default();
    let mut url = format!("http://{to}{}", request.path);
    if !request.query.is_empty() {
        url.push('?');
        url.push_str(&request.query);
    }
    let sent = http.request(method, url).body(request.body.clone()).send();
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

/// An HTTP client with a timeout for each call.
pub fn http_client(timeout: Duration) -> Http {
    Http::builder()
        .timeout(timeout)
        .no_proxy()
        .build()
        .unwrap_or_default()
}

/// Starts threads that receive calls through the returned sender, make one call at a time each, convert the response
/// with `convert`, and send the result to `results`.
/// The threads end when either channel is closed.
pub fn start_callers<K: Send + 'static, T: Send + 'static>(
    threads: usize,
    results: &Sender<T>,
    convert: impl Fn(K, Response) -> T + Clone + Send + 'static,
) -> Sender<OutgoingCall<K>> {
    let (sender, calls) = channel();
    let calls = Arc::new(Mutex::new(calls));
    for _ in 0..threads {
        let calls = calls.clone();
        let results = results.clone();
        let convert = convert.clone();
        thread::spawn(move || make_calls(&calls, &results, convert));
    }
    sender
}

fn make_calls<K, T>(
    calls: &Mutex<Receiver<OutgoingCall<K>>>,
    results: &Sender<T>,
    convert: impl Fn(K, Response) -> T,
) {
    let http = http_client(CALL_TIMEOUT);
    loop {
        let next = calls.lock().ok().and_then(|calls| calls.recv().ok());
        let Some(outgoing) = next else { return };
        let response = call(&http, &outgoing.to, &outgoing.request);
        if results.send(convert(outgoing.key, response)).is_err() {
            return;
        }
    }
}
