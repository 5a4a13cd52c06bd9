//! What the operator's client sends when connections break: a stand-in for a node breaks them at every byte.

use landingdrift::operator::{ClientError, ControlClient};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const ANSWER: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n{\"done\": 1}";

/// Where the stand-in breaks the connection of the second request; all others are answered.
#[derive(Clone, Copy)]
enum Break {
    /// After so many bytes of the request were read.
    Request(usize),
    /// After so many bytes of the answer were written.
    Answer(usize),
}

/// A node whose requests are counted as they begin.
struct StandIn {
    at: String,
    requests: Arc<AtomicUsize>,
}

fn reset(connection: &TcpStream) {
    let linger = Some(Duration::ZERO);
    socket2::SockRef::from(connection)
        .set_linger(linger)
        .expect("set");
}

/// Reads up to so many bytes, or to the end of the request's head; empty at the end of the connection.
fn read_head(connection: &mut TcpStream, most: usize) -> Vec<u8> {
    let mut head = Vec::new();
    let mut byte = [0];
    while head.len() < most && !head.ends_with(b"\r\n\r\n") {
        match connection.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => break,
        }
    }
    head
}

/// Serves a connection until it ends; a new one begins a request, and so does whatever comes on one that was kept.
fn serve(mut connection: TcpStream, broken: Break, requests: &AtomicUsize) {
    let mut head = Vec::new();
    loop {
        let second = requests.fetch_add(1, Ordering::SeqCst) == 1;
        let most = match broken {
            Break::Request(most) if second => most,
            _ => usize::MAX,
        };
        // A reset before anything was sent would be a failure to connect, after which any call may go elsewhere.
        connection.peek(&mut [0]).expect("a request begins");
        head.extend(read_head(&mut connection, most.saturating_sub(head.len())));
        match broken {
            Break::Request(_) if second => return reset(&connection),
            Break::Answer(most) if second => {
                let _ = connection.write_all(&ANSWER.as_bytes()[..most]);
                return reset(&connection);
            }
            _ => connection.write_all(ANSWER.as_bytes()).expect("written"),
        }
        head = read_head(&mut connection, 1);
        if head.is_empty() {
            return;
        }
    }
}

fn stand_in(broken: Break) -> StandIn {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let at = listener.local_addr().expect("bound").to_string();
    let requests = Arc::new(AtomicUsize::new(0));
    let counted = requests.clone();
    std::thread::spawn(move || {
        for connection in listener.incoming().flatten() {
            let counted = counted.clone();
            std::thread::spawn(move || serve(connection, broken, &counted));
        }
    });
    StandIn { at, requests }
}

/// A GET, so that a connection could be kept, then the call; what came of it, and how often it arrived.
fn call(broken: Break, method: &str, path: &str) -> (Result<Value, ClientError>, usize) {
    let stand_in = stand_in(broken);
    let client =
        ControlClient::new(vec![stand_in.at.clone()], Duration::from_secs(5)).expect("made");
    client.call("GET", "/v1/status", None).expect("answered");
    let done = client.call(method, path, None);
    (done, stand_in.requests.load(Ordering::SeqCst) - 1)
}

/// Every place at which a connection may break, before the request is whole and after.
fn breaks() -> Vec<Break> {
    let of_request = (0..80).map(Break::Request);
    of_request
        .chain((0..ANSWER.len()).map(Break::Answer))
        .collect()
}

#[test]
fn a_call_that_may_not_be_repeated_arrives_once_wherever_its_connection_breaks() {
    for (number, broken) in breaks().into_iter().enumerate() {
        let (done, arrived) = call(broken, "DELETE", "/v1/jobs/j");
        assert_eq!(arrived, 1, "break {number}: it was sent again");
        assert!(
            matches!(done, Err(ClientError::OutcomeUnknown { .. })),
            "break {number}: {done:?}"
        );
    }
}

#[test]
fn a_change_with_an_identity_is_sent_again_until_it_is_answered() {
    let path = "/v1/desired?base=1&change=c";
    for broken in [
        Break::Request(20),
        Break::Answer(5),
        Break::Answer(ANSWER.len() - 1),
    ] {
        let (done, arrived) = call(broken, "PUT", path);
        assert_eq!(done.expect("answered"), json!({"done": 1}));
        assert_eq!(arrived, 2);
    }
}

/// A server that gives one answer to every request.
fn server_that_answers(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let at = listener.local_addr().expect("bound").to_string();
    std::thread::spawn(move || {
        for mut connection in listener.incoming().flatten() {
            read_head(&mut connection, usize::MAX);
            connection.write_all(answer.as_bytes()).expect("written");
        }
    });
    at
}

fn server_that_redirects(to: &str) -> String {
    let head =
        "HTTP/1.1 307 Temporary Redirect\r\nContent-Type: application/json\r\nContent-Length: 2";
    server_that_answers(format!(
        "{head}\r\nLocation: http://{to}/v1/desired\r\n\r\n{{}}"
    ))
}

#[test]
fn a_call_that_may_be_repeated_follows_a_redirect_and_another_one_does_not() {
    let answering = server_that_answers(ANSWER.into());
    let redirecting = server_that_redirects(&answering);
    let client = ControlClient::new(vec![redirecting], Duration::from_secs(5)).expect("made");
    let read = client.call("GET", "/v1/desired", None);
    assert_eq!(read.expect("answered"), json!({"done": 1}));
    let change = client.call("PUT", "/v1/desired?base=1&change=c", None);
    assert_eq!(change.expect("answered"), json!({"done": 1}));
    for (method, path) in [("DELETE", "/v1/jobs/j"), ("PUT", "/v1/desired?base=1")] {
        let order = client.call(method, path, None);
        let is_refused = matches!(order, Err(ClientError::Refused { status: 307, .. }));
        assert!(is_refused, "{method} {path}: {order:?}");
    }
}

/// Serves one request that is to have this body, and answers it.
fn server_that_wants(body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let at = listener.local_addr().expect("bound").to_string();
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        let head = read_head(&mut connection, usize::MAX);
        assert!(head.starts_with(b"PUT "), "{head:?}");
        let mut received = vec![0; body.len()];
        connection.read_exact(&mut received).expect("a body");
        if received == body.as_bytes() {
            connection.write_all(ANSWER.as_bytes()).expect("written");
        }
    });
    at
}

#[test]
fn a_redirected_change_is_sent_with_its_method_and_body() {
    let answering = server_that_wants("{\"zones\":{}}");
    let redirecting = server_that_redirects(&answering);
    let client = ControlClient::new(vec![redirecting], Duration::from_secs(1)).expect("made");
    let body = json!({"zones": {}});
    let change = client.call("PUT", "/v1/desired?base=1&change=c", Some(&body));
    assert_eq!(change.expect("answered"), json!({"done": 1}));
}
