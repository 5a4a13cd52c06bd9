//! HTTP of a process, on the thread that carries its frames too.

mod traffic_common;

use landingdrift::daemon::{
    HandlerAction, HttpAdapter, HttpLimits, HttpRequest, HttpResponse, Input, PendingCalls, Traffic,
};
use landingdrift::sans_io::{Request, Response};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;
use traffic_common::{limits, LONG};

struct Served {
    at: SocketAddr,
    calls: PendingCalls,
    inputs: Receiver<Input>,
}

fn serve(traffic: &Traffic, limits: HttpLimits, http_adapter: HttpAdapter) -> Served {
    let (tx, inputs) = channel();
    let calls = PendingCalls::default();
    let any = "127.0.0.1:0".parse().expect("an address");
    let at = traffic
        .serve_http(any, limits, http_adapter, calls.clone(), tx)
        .expect("serves");
    Served { at, calls, inputs }
}

impl Served {
    fn next(&self) -> (Request, u64) {
        match self.inputs.recv_timeout(LONG) {
            Ok(Input::Call(req, call)) => (req, call),
            _ => panic!("no call came"),
        }
    }
}

/// Calls from a thread of its own; status, a header's value and the text come back.
fn call(
    at: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> std::thread::JoinHandle<(u16, Option<String>, String)> {
    let url = format!("http://{at}{path}");
    std::thread::spawn(move || {
        let got = reqwest::blocking::Client::new()
            .post(url)
            .header("X-Asks", "tests")
            .body(body)
            .send()
            .expect("answered");
        let header = got
            .headers()
            .get("X-Answers")
            .and_then(|h| h.to_str().ok())
            .map(str::to_string);
        (got.status().as_u16(), header, got.text().expect("text"))
    })
}

#[test]
fn two_addresses_have_handlers_of_their_own() {
    let traffic = Traffic::start().expect("starts");
    let own = serve(&traffic, limits(), HttpAdapter::default());
    let other = serve(
        &traffic,
        limits(),
        HttpAdapter::new(Arc::new(|asked: HttpRequest| {
            let header = asked
                .headers
                .iter()
                .find(|(k, _)| k == "x-asks" || k == "X-Asks");
            let path = header.map_or(String::new(), |(_, v)| v.clone());
            let req = Request {
                path,
                ..Request::default()
            };
            HandlerAction::Call(
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
    let want = Request {
        method: "POST".into(),
        path: "/a b".into(),
        query: "c=d".into(),
        body: b"body".to_vec(),
    };
    assert_eq!(req, want);
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
fn calls_beyond_the_bound_are_told_to_come_back() {
    let traffic = Traffic::start().expect("starts");
    let one = HttpLimits {
        calls: 1,
        ..limits()
    };
    let s = serve(&traffic, one, HttpAdapter::default());
    let first = call(s.at, "/first", Vec::new());
    let (_, n) = s.next();
    let (status, _, text) = call(s.at, "/second", Vec::new()).join().expect("called");
    assert!(status == 503 && text.contains("retryMs"), "{status} {text}");
    s.calls.answer(n, Response::new(200, json!("done")));
    assert_eq!(first.join().expect("called"), (200, None, "done".into()));
}

#[test]
fn a_body_that_is_too_long_or_no_http_is_refused_in_the_same_manner() {
    let traffic = Traffic::start().expect("starts");
    let s = serve(&traffic, limits(), HttpAdapter::default());
    let (status, _, text) = call(s.at, "/", vec![b'x'; 1001]).join().expect("called");
    assert!(
        status == 413 && text.contains("tooLarge"),
        "{status} {text}"
    );
    let mut c = TcpStream::connect(s.at).expect("connects");
    c.write_all(b"TRACE / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .expect("written");
    let mut said = String::new();
    c.read_to_string(&mut said).expect("read");
    assert!(said.contains("wrongRequest"), "{said}");
}

#[test]
fn nobody_who_decides_is_told_as_unsure() {
    let traffic = Traffic::start().expect("starts");
    let s = serve(&traffic, limits(), HttpAdapter::default());
    drop(s.inputs);
    let short = HttpLimits {
        timeout: Duration::from_millis(50),
        ..limits()
    };
    let silent = serve(&traffic, short, HttpAdapter::default());
    for at in [s.at, silent.at] {
        let (status, _, text) = call(at, "/", Vec::new()).join().expect("called");
        assert!(status == 503 && text.contains("unsure"), "{status} {text}");
    }
}
