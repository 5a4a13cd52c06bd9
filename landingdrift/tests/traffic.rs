//! One thread carries all frames of a process.

mod traffic_common;

use landingdrift::daemon::{FrameOptions, HttpAdapter, Input, PendingCalls, Traffic, Transport};
use landingdrift::sans_io::Msg;
use landingdrift::settings::Limits;
use landingdrift::wire::{pack, unpack, Body, ForwardResponse, ReadIndexRequest, RequestToken};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;
use traffic_common::{limits, LONG};

const LONGEST: u32 = 1 << 20;

fn frames(me: &str) -> FrameOptions {
    FrameOptions {
        cluster: "tests".into(),
        own_address: me.into(),
        timeout: Duration::from_secs(2),
        max_frame_bytes: LONGEST,
    }
}

fn listen(traffic: &Traffic) -> (Transport, Receiver<Input>) {
    let (tx, rx) = channel();
    let transport = traffic.listen(frames("127.0.0.1:0"), tx).expect("listens");
    (transport, rx)
}

fn token(number: u64) -> RequestToken {
    RequestToken {
        number,
        ..RequestToken::default()
    }
}

fn ask(number: u64) -> Body {
    let token = token(number);
    Body::ReadIndexRequest(Box::new(ReadIndexRequest { token }))
}

fn forwarded(number: u64, bytes: usize) -> Body {
    Body::ForwardResponse(Box::new(ForwardResponse {
        token: token(number),
        status: 200,
        retry_ms: 0,
        body: vec![7; bytes],
        by: String::new(),
        config_version: 0,
    }))
}

fn next(rx: &Receiver<Input>) -> (String, Body) {
    match rx.recv_timeout(LONG) {
        Ok(Input::Msg(Msg::Wire(from, body))) => (from, body),
        _ => panic!("no frame came"),
    }
}

fn framed(bytes: &[u8]) -> Vec<u8> {
    let mut out = (bytes.len() as u32).to_le_bytes().to_vec();
    out.extend(bytes);
    out
}

/// Whether the other side ends the connection without a word.
fn ends(mut c: TcpStream) -> bool {
    c.set_read_timeout(Some(LONG)).expect("set");
    c.read(&mut [0; 8])
        .map_or_else(|e| e.kind() == ErrorKind::ConnectionReset, |n| n == 0)
}

#[test]
fn two_processes_exchange_frames() {
    let (one, two) = (
        Traffic::start().expect("starts"),
        Traffic::start().expect("starts"),
    );
    let ((mut a, at_a), (mut b, at_b)) = (listen(&one), listen(&two));
    a.send(b.own_address(), &ask(1));
    assert_eq!(next(&at_b), (a.own_address().to_string(), ask(1)));
    b.send(a.own_address(), &ask(2));
    assert_eq!(next(&at_a), (b.own_address().to_string(), ask(2)));
}

#[test]
fn parts_in_one_process_share_the_thread_and_keep_their_names() {
    let traffic = Traffic::start().expect("starts");
    let ((mut replica, at_core), (mut node, at_node)) = (listen(&traffic), listen(&traffic));
    let (c, n) = (
        replica.own_address().to_string(),
        node.own_address().to_string(),
    );
    node.send(&c, &ask(1));
    replica.send(&n, &ask(2));
    node.send(&n, &ask(3));
    assert_eq!(next(&at_core), (n.clone(), ask(1)));
    let mut got = [next(&at_node), next(&at_node)];
    got.sort_by_key(|(from, _)| *from == n);
    assert_eq!(got, [(c, ask(2)), (n, ask(3))]);
}

#[test]
fn frames_of_any_size_keep_their_order() {
    let traffic = Traffic::start().expect("starts");
    let ((mut a, _at_a), (b, at_b)) = (listen(&traffic), listen(&traffic));
    let sizes = [0, 10, 900_000, 20, 16 << 10, 40_000, 1];
    for (i, bytes) in sizes.into_iter().enumerate() {
        a.send(b.own_address(), &forwarded(i as u64, bytes));
    }
    for (i, bytes) in sizes.into_iter().enumerate() {
        assert_eq!(next(&at_b).1, forwarded(i as u64, bytes));
    }
    assert_eq!(a.dropped, 0);
}

#[test]
fn a_receiver_that_does_not_read_holds_up_nobody_else() {
    let traffic = Traffic::start().expect("starts");
    let ((mut a, _at_a), (b, at_b)) = (listen(&traffic), listen(&traffic));
    let deaf = TcpListener::bind("127.0.0.1:0").expect("bound");
    let deaf_at = deaf.local_addr().expect("an address").to_string();
    let max_attempts = (0..50_000)
        .take_while(|i| {
            a.send(&deaf_at, &forwarded(*i, 8 << 10));
            a.dropped == 0
        })
        .count();
    assert!(max_attempts < 50_000, "its queue is bounded");
    a.send(b.own_address(), &ask(1));
    assert_eq!(next(&at_b).1, ask(1));
}

#[test]
fn what_waits_for_one_receiver_is_bounded_in_bytes() {
    const MOST_BYTES: usize = 4 << 20;
    let traffic = Traffic::start().expect("starts");
    let ((mut a, _at_a), (b, at_b)) = (listen(&traffic), listen(&traffic));
    let deaf = TcpListener::bind("127.0.0.1:0").expect("bound");
    let deaf_at = deaf.local_addr().expect("an address").to_string();
    for i in 0..200 {
        a.send(&deaf_at, &forwarded(i, 500_000));
        assert!(a.queued_bytes() <= MOST_BYTES, "{} bytes", a.queued_bytes());
    }
    assert!(a.dropped > 0);
    a.send(b.own_address(), &ask(1));
    assert_eq!(next(&at_b).1, ask(1));
}

#[test]
fn a_frame_that_is_too_long_ends_its_connection_and_nothing_else() {
    let traffic = Traffic::start().expect("starts");
    let ((mut a, _at_a), (b, at_b)) = (listen(&traffic), listen(&traffic));
    let mut c = TcpStream::connect(b.own_address()).expect("connects");
    c.write_all(&(LONGEST + 1).to_le_bytes()).expect("written");
    assert!(ends(c));
    a.send(b.own_address(), &ask(1));
    assert_eq!(next(&at_b).1, ask(1));
    a.send(b.own_address(), &forwarded(2, LONGEST as usize + 1));
    assert_eq!(a.dropped, 1, "nor is one sent");
}

#[test]
fn a_frame_of_another_kind_is_passed_over() {
    let traffic = Traffic::start().expect("starts");
    let (b, at_b) = listen(&traffic);
    let mut c = TcpStream::connect(b.own_address()).expect("connects");
    for bytes in [
        vec![1, 2, 3],
        pack("others", "127.0.0.1:1", &ask(1)),
        pack("tests", "127.0.0.1:1", &ask(2)),
    ] {
        c.write_all(&framed(&bytes)).expect("written");
    }
    assert_eq!(next(&at_b), ("127.0.0.1:1".into(), ask(2)));
}

#[test]
fn a_receiver_that_was_started_again_is_found_again() {
    let traffic = Traffic::start().expect("starts");
    let (mut a, _at_a) = listen(&traffic);
    let first = Traffic::start().expect("starts");
    let (b, at_b) = listen(&first);
    let me = b.own_address().to_string();
    a.send(&me, &ask(1));
    assert_eq!(next(&at_b).1, ask(1));
    drop((b, first));
    let second = Traffic::start().expect("starts");
    let (tx, rx) = channel();
    let _b = second.listen(frames(&me), tx).expect("the address is free");
    let found = (2..200).any(|i| {
        a.send(&me, &ask(i));
        rx.recv_timeout(Duration::from_millis(100)).is_ok()
    });
    assert!(found);
}

/// Takes so many bytes of a connection, then resets it.
fn take_and_reset(listener: &TcpListener, bytes: usize) {
    let (mut c, _) = listener.accept().expect("a connection");
    c.read_exact(&mut vec![0; bytes]).expect("read");
    let linger = Some(Duration::ZERO);
    socket2::SockRef::from(&c).set_linger(linger).expect("set");
}

#[test]
fn a_frame_goes_over_one_connection_only_wherever_that_is_reset() {
    let traffic = Traffic::start().expect("starts");
    let whole = framed(&pack("tests", "127.0.0.1:65535", &ask(1))).len();
    for bytes in 0..whole {
        let (mut a, _at_a) = listen(&traffic);
        let peer = TcpListener::bind("127.0.0.1:0").expect("bound");
        let peer_at = peer.local_addr().expect("an address").to_string();
        a.send(&peer_at, &ask(1));
        take_and_reset(&peer, bytes);
        // The next frame may be lost with the connection, or comes on a new one; the first comes nowhere again.
        peer.set_nonblocking(true).expect("set");
        let late = (0..200).find_map(|_| {
            a.send(&peer_at, &ask(2));
            std::thread::sleep(Duration::from_millis(2));
            peer.accept().ok()
        });
        let (mut c, _) = late.expect("a new connection");
        c.set_nonblocking(false).expect("set");
        c.set_read_timeout(Some(LONG)).expect("set");
        let mut len = [0; 4];
        c.read_exact(&mut len).expect("read");
        let mut body = vec![0; u32::from_le_bytes(len) as usize];
        c.read_exact(&mut body).expect("read");
        let body = unpack("tests", &body).expect("a frame").body;
        assert_eq!(body, ask(2), "after {bytes} bytes");
    }
}

#[test]
fn an_address_that_is_taken_is_told_with_its_remedy() {
    let traffic = Traffic::start().expect("starts");
    let (a, _at_a) = listen(&traffic);
    let (tx, _rx) = channel();
    let why = traffic
        .listen(frames(a.own_address()), tx.clone())
        .map(|_| ())
        .expect_err("taken");
    assert!(why.to_string().contains("--listen"), "{why}");
    let taken = a.own_address().parse().expect("an address");
    let why = traffic
        .serve_http(
            taken,
            limits(),
            HttpAdapter::default(),
            PendingCalls::default(),
            tx,
        )
        .expect_err("taken");
    assert!(why.to_string().contains("--http"), "{why}");
}

#[test]
fn the_longest_frame_follows_the_limits_up_to_a_top() {
    assert_eq!(FrameOptions::max_frame_bytes(&Limits::default()), 256 << 20);
    let small = Limits {
        open_jobs: 10,
        job_bytes: 1 << 20,
        config_bytes: 4 << 20,
        ..Limits::default()
    };
    assert_eq!(FrameOptions::max_frame_bytes(&small), 30 << 20);
}
