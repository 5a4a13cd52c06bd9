//! HTTP on the traffic thread. Guards against requests that reach the wrong part, and against limit violations and
//! failures without an error response of the API.

mod traffic_common;

use landingdrift::daemon::{
    AdapterResult, ClientLimits, HttpAdapter, HttpLimits, HttpRequest, HttpResponse, Input,
    PendingCalls, Traffic,
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
    address: SocketAddr,
    calls: PendingCalls,
    inputs: Receiver<Input>,
}

fn serve(traffic: &Traffic, limits: HttpLimits, http_adapter: HttpAdapter) -> Server {
    let (input_sender, inputs) = channel();
    let calls = PendingCalls::default();
    let any = "127.0.0.1:0".parse().expect("invalid address");
    let address = traffic
        .serve_http(any, limits, http_adapter, calls.clone(), input_sender)
        .expect("failed to serve HTTP");
    Server {
        address,
        calls,
        inputs,
    }
}

impl Server {
    /// Waits for the next call; returns the request and the call's number.
    fn next(&self) -> (Request, u64) {
        match self.inputs.recv_timeout(TEST_TIMEOUT) {
            Ok(Input::Call(request, call, _)) => (request, call),
            _ => panic!("no call was received"),
        }
    }
}

/// Sends a request on a new thread. The thread returns the status, the value of the `X-Test-Response` header and the
/// body.
fn call(
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> std::thread::JoinHandle<(u16, Option<String>, String)> {
    let url = format!("http://{address}{path}");
    std::thread::spawn(move || {
        let response = reqwest::blocking::Client::new()
            .post(url)
            .header("X-Test-Request", "tests")
            .body(body)
            .send()
            .expect("the call failed");
        let header = response
            .headers()
            .get("X-Test-Response")
            .and_then(|value| value.to_str().ok())
            .map(str::to_string);
        (
            response.status().as_u16(),
            header,
            response.text().expect("failed to read the body"),
        )
    })
}

#[test]
fn two_addresses_have_separate_adapters_and_parts() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let default_server = serve(&traffic, limits(), HttpAdapter::default());
    let custom_server = serve(
        &traffic,
        limits(),
        HttpAdapter::new(Arc::new(|request: HttpRequest| {
            let header = request
                .headers
                .iter()
                .find(|(name, _)| name == "x-test-request" || name == "X-Test-Request");
            let path = header.map_or(String::new(), |(_, value)| value.clone());
            let request = Request {
                path,
                ..Request::default()
            };
            AdapterResult::Call(
                request,
                Box::new(|response| HttpResponse {
                    status: response.status + 1,
                    headers: vec![("X-Test-Response".into(), "other".into())],
                    body: b"other".to_vec(),
                }),
            )
        })),
    );
    let (default_call, custom_call) = (
        call(default_server.address, "/a%20b?c=d", b"body".to_vec()),
        call(custom_server.address, "/x", Vec::new()),
    );
    let (request, number) = default_server.next();
    let expected = Request {
        method: "POST".into(),
        path: "/a b".into(),
        query: "c=d".into(),
        body: b"body".to_vec(),
    };
    assert_eq!(request, expected);
    default_server
        .calls
        .answer(number, Response::new(200, json!({"own": true})));
    let (request, number) = custom_server.next();
    assert_eq!(request.path, "tests");
    custom_server
        .calls
        .answer(number, Response::new(200, json!(null)));
    assert_eq!(
        default_call.join().expect("the caller panicked"),
        (200, None, "{\"own\":true}\n".into())
    );
    assert_eq!(
        custom_call.join().expect("the caller panicked"),
        (201, Some("other".into()), "other".into())
    );
}

#[test]
fn calls_beyond_the_limit_are_rejected_with_a_retry_time() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let one_call_limit = HttpLimits {
        calls: 1,
        ..limits()
    };
    let server = serve(&traffic, one_call_limit, HttpAdapter::default());
    let first = call(server.address, "/first", Vec::new());
    let (_, number) = server.next();
    let (status, _, text) = call(server.address, "/second", Vec::new())
        .join()
        .expect("the caller panicked");
    assert!(status == 503 && text.contains("retryMs"), "{status} {text}");
    server
        .calls
        .answer(number, Response::new(200, json!("done")));
    assert_eq!(
        first.join().expect("the caller panicked"),
        (200, None, "done".into())
    );
}

#[test]
fn oversized_bodies_and_invalid_requests_get_api_errors() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let server = serve(&traffic, limits(), HttpAdapter::default());
    let (status, _, text) = call(server.address, "/", vec![b'x'; 1001])
        .join()
        .expect("the caller panicked");
    assert!(
        status == 413 && text.contains("tooLarge"),
        "{status} {text}"
    );
    let mut connection = TcpStream::connect(server.address).expect("failed to connect");
    connection
        .write_all(b"TRACE / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .expect("failed to write");
    let mut text = String::new();
    connection
        .read_to_string(&mut text)
        .expect("failed to read");
    assert!(text.contains("wrongRequest"), "{text}");
}

/// Sends the head of a request that announces a body, but no body; returns the text of the response.
fn send_head(address: SocketAddr, path: &str, announced_bytes: u64) -> String {
    let mut connection = TcpStream::connect(address).expect("failed to connect");
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {announced_bytes}\r\n\r\n");
    connection
        .write_all(head.as_bytes())
        .expect("failed to write");
    connection
        .set_read_timeout(Some(TEST_TIMEOUT / 2))
        .expect("failed to set the timeout");
    let mut text = vec![0; 4096];
    let length = connection.read(&mut text).expect("no response");
    text.truncate(length);
    String::from_utf8(text).expect("not a text")
}

/// Guards against clients that make a process wait for bodies, or hold them, that it does not need.
#[test]
fn a_body_that_is_not_needed_or_too_long_is_not_waited_for() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let adapter = HttpAdapter::new(Arc::new(|_| {
        AdapterResult::Respond(HttpResponse {
            status: 204,
            ..HttpResponse::default()
        })
    }));
    let limits_by_path =
        adapter.with_body_limit(|_, path| if path == "/unused" { 0 } else { u64::MAX });
    let server = serve(&traffic, limits(), limits_by_path);
    let unused = send_head(server.address, "/unused", 500);
    assert!(unused.starts_with("HTTP/1.1 204"), "{unused}");
    let too_long = send_head(server.address, "/used", 10_000_000_000);
    assert!(
        too_long.starts_with("HTTP/1.1 413") && too_long.contains("tooLarge"),
        "{too_long}"
    );
}

/// Guards against a refusal that says less than the API promises: a body that stops is surely not executed, and the call
/// may come again.
#[test]
fn a_body_that_stops_is_answered_with_503_and_a_retry_time() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let short = HttpLimits {
        timeout: Duration::from_millis(50),
        ..limits()
    };
    let server = serve(&traffic, short, HttpAdapter::default());
    let text = send_head(server.address, "/", 500);
    assert!(
        text.starts_with("HTTP/1.1 503") && text.contains("retryMs"),
        "{text}"
    );
}

/// Guards against a refusal that is lost because the connection is closed while the client still sends.
#[test]
fn a_refusal_reaches_a_client_that_is_still_sending() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let server = serve(&traffic, limits(), HttpAdapter::default());
    let body = vec![b'x'; 262_144];
    for _ in 0..20 {
        let mut connection = TcpStream::connect(server.address).expect("failed to connect");
        let head = format!(
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        connection
            .write_all(head.as_bytes())
            .expect("failed to write");
        for piece in body.chunks(4096) {
            connection
                .write_all(piece)
                .expect("the connection was closed");
        }
        let mut text = String::new();
        connection
            .read_to_string(&mut text)
            .expect("the response was lost");
        assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    }
}

/// Guards against responses that are cut off because the connection is closed before all of it is sent.
#[test]
fn a_client_that_reads_slowly_gets_the_whole_response_before_the_connection_is_closed() {
    const RESPONSE_BYTES: usize = 16 << 20;
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let adapter = HttpAdapter::new(Arc::new(|_| {
        AdapterResult::Respond(HttpResponse {
            status: 200,
            body: vec![b'x'; RESPONSE_BYTES],
            ..HttpResponse::default()
        })
    }));
    // The body is not read, so the connection is closed after the response.
    let server = serve(&traffic, limits(), adapter.with_body_limit(|_, _| 0));
    let mut connection = TcpStream::connect(server.address).expect("failed to connect");
    connection
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nxxx")
        .expect("failed to write");
    // The server fills the buffers of the connection and waits for the client.
    std::thread::sleep(Duration::from_millis(200));
    let mut response = Vec::new();
    connection
        .read_to_end(&mut response)
        .expect("failed to read");
    assert!(response.len() > RESPONSE_BYTES, "{} bytes", response.len());
}

/// Guards against operators who can't see that clients are refused.
#[test]
fn metrics_tell_what_clients_hold_and_what_they_were_refused() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let server = serve(&traffic, limits(), HttpAdapter::default());
    let asked = call(server.address, "/metrics", Vec::new());
    let (_, number) = server.next();
    let part_metrics = Response::new(200, json!("landingdrift_calls 7\n"));
    server.calls.answer(number, part_metrics);
    let (_, _, text) = asked.join().expect("the caller panicked");
    for line in [
        "landingdrift_calls 7",
        "landingdrift_http_connections_open 1",
        "landingdrift_http_requests_without_memory 0",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in {text}");
    }
}

#[test]
fn a_call_that_is_not_answered_is_reported_as_unsure() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let server = serve(&traffic, limits(), HttpAdapter::default());
    drop(server.inputs);
    let short = HttpLimits {
        timeout: Duration::from_millis(50),
        ..limits()
    };
    let silent = serve(&traffic, short, HttpAdapter::default());
    for address in [server.address, silent.address] {
        let (status, _, text) = call(address, "/", Vec::new())
            .join()
            .expect("the caller panicked");
        assert!(status == 503 && text.contains("unsure"), "{status} {text}");
    }
}
