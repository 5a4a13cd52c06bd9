use landingdrift::kernel::{Request, Verdict};
use reqwest::blocking::Client as Http;
use serde_json::Value;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const THREADS: usize = 32;

/// Makes one call and gives what came back; a lost answer has status 0.
pub fn call(http: &Http, to: &str, req: &Request) -> Verdict {
    let method = reqwest::Method::from_bytes(req.method.as_bytes()).unwrap_or_default();
    let query = if req.query.is_empty() {
        String::new()
    } else {
        format!("?{}", req.query)
    };
    http.request(method, format!("http://{to}{}{query}", req.path))
        .body(req.body.clone())
        .send()
        .map_or_else(
            |_| Verdict::default(),
            |r| {
                let status = r.status().as_u16();
                let body: Value = r.json().unwrap_or(Value::Null);
                Verdict {
                    status,
                    retry_ms: body["retryMs"].as_u64().unwrap_or(0),
                    body,
                    ..Verdict::default()
                }
            },
        )
}

/// A caller of real processes.
pub fn http(patience: u64) -> Http {
    Http::builder()
        .timeout(Duration::from_millis(patience))
        .no_proxy()
        .build()
        .unwrap_or_default()
}

/// Threads that make calls and send back what came of them.
pub fn start<K: Send + 'static, T: Send + 'static>(
    back: &Sender<T>,
    of: impl Fn(K, Verdict) -> T + Clone + Send + 'static,
) -> Sender<(K, String, Request)> {
    let (tx, rx) = channel::<(K, String, Request)>();
    let rx = Arc::new(Mutex::new(rx));
    for _ in 0..THREADS {
        let (rx, back, of) = (rx.clone(), back.clone(), of.clone());
        thread::spawn(move || {
            let http = http(2500);
            loop {
                let next = rx.lock().ok().and_then(|r| r.recv().ok());
                let Some((key, to, req)) = next else { return };
                let v = call(&http, &to, &req);
                if back.send(of(key, v)).is_err() {
                    return;
                }
            }
        });
    }
    tx
}
