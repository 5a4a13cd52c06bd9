//! The operator's client when connections break. Guards against a request that is sent twice but must not be repeated:
//! a fake node breaks the connection after each possible number of bytes.

use landingdrift::operator::{ClientError, ControlClient};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n{\"done\": 1}";

/// The place at which the fake node breaks the connection of the second request. It answers all others.
#[derive(Clone, Copy)]
enum Break {
    /// After reading this number of bytes of the request.
    Request(usize),
    /// After writing this number of bytes of the response.
    Response(usize),
}

/// A fake node. It counts a request per connection, and one per further request on it, complete or not.
struct FakeNode {
    address: String,
    requests: Arc<AtomicUsize>,
}

/// Makes the connection end with a reset when it is dropped.
fn reset(connection: &TcpStream) {
    let linger = Some(Duration::ZERO);
    socket2::SockRef::from(connection)
        .set_linger(linger)
        .expect("failed to set the socket option");
}

/// Reads up to `max_bytes`, or to the end of the request's head; empty at the end of the connection.
fn read_head(connection: &mut TcpStream, max_bytes: usize) -> Vec<u8> {
    let mut head = Vec::new();
    let mut byte = [0];
    while head.len() < max_bytes && !head.ends_with(b"\r\n\r\n") {
        match connection.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => break,
        }
    }
    head
}

/// Serves a connection until it ends. A new connection counts as a request, and so does every further request on it.
fn serve(mut connection: TcpStream, broken: Break, requests: &AtomicUsize) {
    let mut head = Vec::new();
    loop {
        let is_second = requests.fetch_add(1, Ordering::SeqCst) == 1;
        let max_bytes = match broken {
            Break::Request(max_bytes) if is_second => max_bytes,
            _ => usize::MAX,
        };
        // Waits for the first byte: a reset before it would count as a failure to connect, after which any request may
        // be sent to another node.
        connection.peek(&mut [0]).expect("no request began");
        head.extend(read_head(
            &mut connection,
            max_bytes.saturating_sub(head.len()),
        ));
        match broken {
            Break::Request(_) if is_second => return reset(&connection),
            Break::Response(bytes) if is_second => {
                let _ = connection.write_all(&RESPONSE.as_bytes()[..bytes]);
                return reset(&connection);
            }
            _ => connection
                .write_all(RESPONSE.as_bytes())
                .expect("failed to write"),
        }
        head = read_head(&mut connection, 1);
        if head.is_empty() {
            return;
        }
    }
}

fn start_fake_node(broken: Break) -> FakeNode {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind");
    let address = listener
        .local_addr()
        .expect("failed to get the address")
        .to_string();
    let requests = Arc::new(AtomicUsize::new(0));
    let request_count = requests.clone();
    std::thread::spawn(move || {
        for connection in listener.incoming().flatten() {
            let request_count = request_count.clone();
            std::thread::spawn(move || serve(connection, broken, &request_count));
        }
    });
    FakeNode { address, requests }
}

/// Sends a GET, so that a client that pools connections would have one open, then the call. Returns the result of the
/// call and the number of times that it arrived.
fn call(broken: Break, method: &str, path: &str) -> (Result<Value, ClientError>, usize) {
    let node = start_fake_node(broken);
    let client = ControlClient::new(vec![node.address.clone()], Duration::from_secs(5))
        .expect("failed to create");
    client
        .call("GET", "/v1/status", None)
        .expect("the call failed");
    let result = client.call(method, path, None);
    (result, node.requests.load(Ordering::SeqCst) - 1)
}

/// Every place at which the connection may break, in the request and in the response.
fn breaks() -> Vec<Break> {
    let request_breaks = (0..80).map(Break::Request);
    request_breaks
        .chain((0..RESPONSE.len()).map(Break::Response))
        .collect()
}

#[test]
fn a_non_repeatable_call_arrives_once_whatever_byte_its_connection_breaks_at() {
    for (number, broken) in breaks().into_iter().enumerate() {
        let (result, arrived) = call(broken, "DELETE", "/v1/jobs/j");
        assert_eq!(arrived, 1, "break {number}: the request was sent again");
        assert!(
            matches!(result, Err(ClientError::OutcomeUnknown { .. })),
            "break {number}: {result:?}"
        );
    }
}

#[test]
fn a_change_with_an_id_is_sent_again_until_it_is_answered() {
    let path = "/v1/desired?base=1&change=c";
    for broken in [
        Break::Request(20),
        Break::Response(5),
        Break::Response(RESPONSE.len() - 1),
    ] {
        let (result, arrived) = call(broken, "PUT", path);
        assert_eq!(result.expect("the call failed"), json!({"done": 1}));
        assert_eq!(arrived, 2);
    }
}

/// Starts a server that gives the same response to every request; returns its address.
fn server_that_answers(response: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind");
    let address = listener
        .local_addr()
        .expect("failed to get the address")
        .to_string();
    std::thread::spawn(move || {
        for mut connection in listener.incoming().flatten() {
            read_head(&mut connection, usize::MAX);
            connection
                .write_all(response.as_bytes())
                .expect("failed to write");
        }
    });
    address
}

fn server_that_redirects(to: &str) -> String {
    let head =
        "HTTP/1.1 307 Temporary Redirect\r\nContent-Type: application/json\r\nContent-Length: 2";
    server_that_answers(format!(
        "{head}\r\nLocation: http://{to}/v1/desired\r\n\r\n{{}}"
    ))
}

#[test]
fn only_a_call_that_may_be_repeated_follows_a_redirect() {
    let target = server_that_answers(RESPONSE.into());
    let redirecting = server_that_redirects(&target);
    let client =
        ControlClient::new(vec![redirecting], Duration::from_secs(5)).expect("failed to create");
    let read = client.call("GET", "/v1/desired", None);
    assert_eq!(read.expect("the call failed"), json!({"done": 1}));
    let change = client.call("PUT", "/v1/desired?base=1&change=c", None);
    assert_eq!(change.expect("the call failed"), json!({"done": 1}));
    for (method, path) in [("DELETE", "/v1/jobs/j"), ("PUT", "/v1/desired?base=1")] {
        let result = client.call(method, path, None);
        let is_rejected = matches!(result, Err(ClientError::Rejected { status: 307, .. }));
        assert!(is_rejected, "{method} {path}: {result:?}");
    }
}

/// Starts a server that answers one PUT request if it has this body; returns its address.
fn server_that_expects(body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind");
    let address = listener
        .local_addr()
        .expect("failed to get the address")
        .to_string();
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("failed to accept a connection");
        let head = read_head(&mut connection, usize::MAX);
        assert!(head.starts_with(b"PUT "), "{head:?}");
        let mut received = vec![0; body.len()];
        connection
            .read_exact(&mut received)
            .expect("failed to read the body");
        if received == body.as_bytes() {
            connection
                .write_all(RESPONSE.as_bytes())
                .expect("failed to write");
        }
    });
    address
}

#[test]
fn a_redirected_change_keeps_its_method_and_body() {
    let target = server_that_expects("{\"zones\":{}}");
    let redirecting = server_that_redirects(&target);
    let client =
        ControlClient::new(vec![redirecting], Duration::from_secs(1)).expect("failed to create");
    let body = json!({"zones": {}});
    let change = client.call("PUT", "/v1/desired?base=1&change=c", Some(&body));
    assert_eq!(change.expect("the call failed"), json!({"done": 1}));
}
