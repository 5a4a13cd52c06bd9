//! Calls whose callers hang up. Guards against an order that is executed although its caller had gone before the process read
//! it: the caller may have given a later one elsewhere.

mod traffic_common;

use landingdrift::daemon::{
    AdapterResult, ClientLimits, HttpAdapter, HttpRequest, HttpResponse, Input, PendingCalls,
    Traffic,
};
use landingdrift::sans_io::{Request, Response};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use traffic_common::{limits, TEST_TIMEOUT};

/// The path of the request that holds up the traffic thread.
const HOLD_UP: &str = "/hold-up";

/// A server whose traffic thread stands still while it translates a request for [`HOLD_UP`], as in a frozen process.
struct HeldUpServer {
    _traffic: Traffic,
    address: SocketAddr,
    inputs: Receiver<Input>,
    calls: PendingCalls,
    /// Receives a message when the thread is held up.
    held_up: Receiver<()>,
    release: Sender<()>,
}

impl HeldUpServer {
    fn start() -> Self {
        let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
        let (held_up_sender, held_up) = channel();
        let (release, release_receiver) = channel();
        let hold = Mutex::new((held_up_sender, release_receiver));
        let adapter = HttpAdapter::new(Arc::new(move |request: HttpRequest| {
            if request.path == HOLD_UP {
                let (held_up, release) = &*hold.lock().expect("not poisoned");
                held_up.send(()).expect("the test waits");
                release.recv().expect("the test releases the thread");
                return AdapterResult::Respond(HttpResponse::default());
            }
            let request = Request {
                method: request.method,
                path: request.path,
                query: request.query,
                body: request.body,
            };
            AdapterResult::Call(request, Box::new(|_| HttpResponse::default()))
        }));
        let (input_sender, inputs) = channel();
        let calls = PendingCalls::default();
        let any = "127.0.0.1:0".parse().expect("an address");
        let address = traffic
            .serve_http(any, limits(), adapter, calls.clone(), input_sender)
            .expect("failed to serve HTTP");
        Self {
            _traffic: traffic,
            address,
            inputs,
            calls,
            held_up,
            release,
        }
    }

    /// Opens a connection and sends a request without a body.
    fn send(&self, path: &str) -> TcpStream {
        self.send_with_body(path, "")
    }

    /// Opens a connection and sends a request.
    fn send_with_body(&self, path: &str, body: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).expect("connected");
        let length = body.len();
        let request =
            format!("PUT {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.write_all(request.as_bytes()).expect("sent");
        stream
    }

    /// The paths of the calls that reach the control thread until the one with path `last`.
    fn paths_until(&self, last: &str) -> Vec<String> {
        let mut paths = Vec::new();
        while paths.last().is_none_or(|path| path != last) {
            match self.inputs.recv_timeout(TEST_TIMEOUT) {
                Ok(Input::Call(request, call, _)) => {
                    self.calls.answer(call, Response::default());
                    paths.push(request.path);
                }
                _ => panic!("no call was received after {paths:?}"),
            }
        }
        paths
    }
}

/// Guards against an order that lay in the socket of a frozen process, or that the network delivered late, and that is
/// executed after its caller has hung up.
#[test]
fn a_call_whose_caller_hung_up_before_it_was_read_is_not_executed() {
    let server = HeldUpServer::start();
    let holding = server.send(HOLD_UP);
    server.held_up.recv_timeout(TEST_TIMEOUT).expect("held up");
    for number in 0..5 {
        drop(server.send(&format!("/abandoned-{number}")));
    }
    let waiting = server.send("/waiting");
    server.release.send(()).expect("the thread waits");
    assert_eq!(server.paths_until("/waiting"), ["/waiting"]);
    drop((holding, waiting));
}

/// Guards against a submission that is lost with its caller's connection: the caller sends it again under the same id, and
/// is answered sooner if the first one was executed.
#[test]
fn a_call_with_a_body_is_executed_though_its_caller_hung_up() {
    let server = HeldUpServer::start();
    let holding = server.send(HOLD_UP);
    server.held_up.recv_timeout(TEST_TIMEOUT).expect("held up");
    drop(server.send_with_body("/submission", "{}"));
    server.release.send(()).expect("the thread waits");
    assert_eq!(server.paths_until("/submission"), ["/submission"]);
    drop(holding);
}
