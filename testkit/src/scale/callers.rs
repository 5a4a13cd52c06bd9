use crate::fleet::call;
use landingdrift::sans_io::{Request, Response};
use reqwest::blocking::Client as Http;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const THREADS: usize = 32;

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
    of: impl Fn(K, Response) -> T + Clone + Send + 'static,
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
