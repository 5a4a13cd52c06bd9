//! HTTP on the traffic thread. Guards against requests that reach the wrong part, and limits and failures that are not
//! answered in the API's form.

mod traffic_common;

use landingdrift::daemon::{
    AdapterResult, HttpAdapter, HttpLimits, HttpRequest, HttpResponse, Input, PendingCalls, Traffic,
};
use landingdrift::sans_io::{Request, Response};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;
use traffic_common::{limits, TEST_TIMEOUT};

/// An HTTP address, with the calls and inputs of the part behind it.
struct Server {
    at: SocketAddr,
    calls: PendingCalls,
    inputs: Receiver<Input>,
}

fn serve(traffic: &Traffic, limits: HttpLimits, http_adapter: HttpAdapter) -> Server {
    let (tx, inputs) = channel();
    let calls = PendingCalls::default();
    let any = "127.0.0.1:0".parse().expect("an address");
    let at = traffic
        .serve_http(any, limits, http_adapter, calls.clone(), tx)
        .expect("serves");
    Server { at, calls, inputs }
}

impl Server {
    /// Waits for the next call; returns the request and the call's number.
    fn next(&self) -> (Request, u64) {
        match self.inputs.recv_timeout(TEST_TIMEOUT) {
            Ok(Input::Call(req, call)) => (req, call),
            _ => panic!("no call was received"),
        }
    }
}

/// Sends a request from another thread, which returns the status, the value of the `X-Answers` header and the body.
fn call(
    at: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> std::thread::JoinHandle<(u16, Option<String>, String)> {
    let url = format!("http://{at}{path}");
    std::thread::spawn(move || {
        let response = reqwest::blocking::Client::new()
            .post(url)
            .header("X-Asks", "tests")
            .body(body)
            .send()
            .expect("answered");
        let header = response
            .headers()
            .get("X-Answers")
            .and_then(|h| h.to_str().ok())
            .map(str::to_string);
        (
            response.status().as_u16(),
            header,
            response.text().expect("text"),
        )
    })
}

#[test]
fn two_addresses_have_separate_adapters_and_parts() {
    let traffic = Traffic::start().expect("starts");
    let own = serve(&traffic, limits(), HttpAdapter::default());
    let other = serve(
        &traffic,
        limits(),
        HttpAdapter::new(Arc::new(|request: HttpRequest| {
            let header = request
                .headers
                .iter()
                .find(|(k, _)| k == "x-asks" || k == "X-Asks");
            let path = header.map_or(String::new(), |(_, v)| v.clone());
            let req = Request {
                path,
                ..Request::default()
            };
            AdapterResult::Call(
                req,
                Box::new(|v| HttpResponse {
                    status: v.status + 1,
                    headers: vec![("X-Answers".into(), "other".into())],
                    body: b"other".to_vec(),
                }),
            )
        })),
    );
    let (to_own, to_other) = (
        call(own.at, "/a%20b?c=d", b"body".to_vec()),
        call(other.at, "/x", Vec::new()),
    );
    let (req, n) = own.next();
    let expected = Request {
        method: "POST".into(),
        path: "/a b".into(),
        query: "c=d".into(),
        body: b"body".to_vec(),
    };
    assert_eq!(req, expected);
    own.calls
        .answer(n, Response::new(200, json!({"own": true})));
    let (req, n) = other.next();
    assert_eq!(req.path, "tests");
    other.calls.answer(n, Response::new(200, json!(null)));
    assert_eq!(
        to_own.join().expect("called"),
        (200, None, "{\"own\":true}\n".into())
    );
    assert_eq!(
        to_other.join().expect("called"),
        (201, Some("other".into()), "other".into())
    );
}

#[test]
fn calls_beyond_the_limit_are_rejected_with_a_retry_time() {
    let traffic = Traffic::start().expect("starts");
    let one = HttpLimits {
        calls: 1,
        ..limits()
    };
    let server = serve(&traffic, one, HttpAdapter::default());
    let first = call(server.at, "/first", Vec::new());
    let (_, n) = server.next();
    let (status, _, text) = call(server.at, "/second", Vec::new())
        .join()
        .expect("called");
    assert!(status == 503 && text.contains("retryMs"), "{status} {text}");
    server.calls.answer(n, Response::new(200, json!("done")));
    assert_eq!(first.join().expect("called"), (200, None, "done".into()));
}

#[test]
fn bodies_that_are_too_long_and_invalid_requests_get_errors_of_the_api() {
    let traffic = Traffic::start().expect("starts");
    let server = serve(&traffic, limits(), HttpAdapter::default());
    let (status, _, text) = call(server.at, "/", vec![b'x'; 1001])
        .join()
        .expect("called");
    assert!(
        status == 413 && text.contains("tooLarge"),
        "{status} {text}"
    );
    let mut c = TcpStream::connect(server.at).expect("connects");
    c.write_all(b"TRACE / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .expect("written");
    let mut text = String::new();
    c.read_to_string(&mut text).expect("read");
    assert!(text.contains("wrongRequest"), "{text}");
}

#[test]
fn a_call_that_is_not_answered_is_reported_as_unsure() {
    let traffic = Traffic::start().expect("starts");
    let server = serve(&traffic, limits(), HttpAdapter::default());
    drop(server.inputs);
    let short = HttpLimits {
        timeout: Duration::from_millis(50),
        ..limits()
    };
    let silent = serve(&traffic, short, HttpAdapter::default());
    for at in [server.at, silent.at] {
        let (status, _, text) = call(at, "/", Vec::new()).join().expect("called");
        assert!(status == 503 && text.contains("unsure"), "{status} {text}");
    }
}
