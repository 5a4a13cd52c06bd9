//! Frames between processes, all carried by one traffic thread. Guards against lost, repeated or reordered frames, and
//! against a stalled or faulty peer that affects others.

mod traffic_common;

use landingdrift::daemon::{
    ClientLimits, FrameOptions, HttpAdapter, Input, PendingCalls, Traffic, Transport,
};
use landingdrift::sans_io::Msg;
use landingdrift::settings::Limits;
use landingdrift::wire::{pack, unpack, Body, ForwardResponse, ReadIndexRequest, RequestToken};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;
use traffic_common::{limits, TEST_TIMEOUT};

/// The longest frame in these tests, in bytes.
const MAX_FRAME_BYTES: u32 = 1 << 20;

fn options(own_address: &str) -> FrameOptions {
    FrameOptions {
        cluster: "tests".into(),
        own_address: own_address.into(),
        timeout: Duration::from_secs(2),
        max_frame_bytes: MAX_FRAME_BYTES,
    }
}

fn listen(traffic: &Traffic) -> (Transport, Receiver<Input>) {
    let (input_sender, input_receiver) = channel();
    let transport = traffic
        .listen(options("127.0.0.1:0"), input_sender)
        .expect("failed to listen");
    (transport, input_receiver)
}

fn token(number: u64) -> RequestToken {
    RequestToken {
        number,
        ..RequestToken::default()
    }
}

/// The body of a small message.
fn read_index_request(number: u64) -> Body {
    let token = token(number);
    Body::ReadIndexRequest(Box::new(ReadIndexRequest { token }))
}

/// The body of a message of about the given size.
fn forward_response(number: u64, bytes: usize) -> Body {
    Body::ForwardResponse(Box::new(ForwardResponse {
        token: token(number),
        status: 200,
        retry_ms: 0,
        body: vec![7; bytes],
        by: String::new(),
        config_version: 0,
    }))
}

/// Waits for the next frame; returns its sender and body.
fn next(input_receiver: &Receiver<Input>) -> (String, Body) {
    match input_receiver.recv_timeout(TEST_TIMEOUT) {
        Ok(Input::Msg(Msg::Received(from, body))) => (from, body),
        _ => panic!("no frame was received"),
    }
}

fn with_length_prefix(bytes: &[u8]) -> Vec<u8> {
    let mut out = (bytes.len() as u32).to_le_bytes().to_vec();
    out.extend(bytes);
    out
}

/// Whether the peer closes the connection without sending anything.
fn is_closed(mut connection: TcpStream) -> bool {
    connection
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("failed to set the socket option");
    connection.read(&mut [0; 8]).map_or_else(
        |error| error.kind() == ErrorKind::ConnectionReset,
        |bytes| bytes == 0,
    )
}

#[test]
fn two_processes_exchange_frames() {
    let (traffic_a, traffic_b) = (
        Traffic::start(ClientLimits::default()).expect("failed to start"),
        Traffic::start(ClientLimits::default()).expect("failed to start"),
    );
    let ((mut transport_a, inputs_a), (mut transport_b, inputs_b)) =
        (listen(&traffic_a), listen(&traffic_b));
    transport_a.send(transport_b.own_address(), &read_index_request(1));
    assert_eq!(
        next(&inputs_b),
        (transport_a.own_address().to_string(), read_index_request(1))
    );
    transport_b.send(transport_a.own_address(), &read_index_request(2));
    assert_eq!(
        next(&inputs_a),
        (transport_b.own_address().to_string(), read_index_request(2))
    );
}

#[test]
fn parts_of_one_process_share_a_traffic_thread_and_use_separate_addresses() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let ((mut replica, replica_inputs), (mut node, node_inputs)) =
        (listen(&traffic), listen(&traffic));
    let (replica_address, node_address) = (
        replica.own_address().to_string(),
        node.own_address().to_string(),
    );
    node.send(&replica_address, &read_index_request(1));
    replica.send(&node_address, &read_index_request(2));
    node.send(&node_address, &read_index_request(3));
    assert_eq!(
        next(&replica_inputs),
        (node_address.clone(), read_index_request(1))
    );
    let mut received = [next(&node_inputs), next(&node_inputs)];
    received.sort_by_key(|(from, _)| *from == node_address);
    assert_eq!(
        received,
        [
            (replica_address, read_index_request(2)),
            (node_address, read_index_request(3))
        ]
    );
}

#[test]
fn frames_of_any_size_keep_their_order() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let ((mut transport_a, _inputs_a), (transport_b, inputs_b)) =
        (listen(&traffic), listen(&traffic));
    let sizes = [0, 10, 900_000, 20, 16 << 10, 40_000, 1];
    for (i, bytes) in sizes.into_iter().enumerate() {
        transport_a.send(
            transport_b.own_address(),
            &forward_response(i as u64, bytes),
        );
    }
    for (i, bytes) in sizes.into_iter().enumerate() {
        assert_eq!(next(&inputs_b).1, forward_response(i as u64, bytes));
    }
    assert_eq!(transport_a.dropped, 0);
}

#[test]
fn a_stalled_receiver_does_not_delay_others() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let ((mut transport_a, _inputs_a), (transport_b, inputs_b)) =
        (listen(&traffic), listen(&traffic));
    let stalled = TcpListener::bind("127.0.0.1:0").expect("failed to bind");
    let stalled_address = stalled
        .local_addr()
        .expect("failed to get the address")
        .to_string();
    let queued = (0..50_000)
        .take_while(|i| {
            transport_a.send(&stalled_address, &forward_response(*i, 8 << 10));
            transport_a.dropped == 0
        })
        .count();
    assert!(queued < 50_000, "the queue is bounded");
    transport_a.send(transport_b.own_address(), &read_index_request(1));
    assert_eq!(next(&inputs_b).1, read_index_request(1));
}

#[test]
fn the_queue_for_one_receiver_is_bounded_in_bytes() {
    const MAX_QUEUED_BYTES: usize = 4 << 20;
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let ((mut transport_a, _inputs_a), (transport_b, inputs_b)) =
        (listen(&traffic), listen(&traffic));
    let stalled = TcpListener::bind("127.0.0.1:0").expect("failed to bind");
    let stalled_address = stalled
        .local_addr()
        .expect("failed to get the address")
        .to_string();
    for i in 0..200 {
        transport_a.send(&stalled_address, &forward_response(i, 500_000));
        assert!(
            transport_a.queued_bytes() <= MAX_QUEUED_BYTES,
            "{} bytes",
            transport_a.queued_bytes()
        );
    }
    assert!(transport_a.dropped > 0);
    transport_a.send(transport_b.own_address(), &read_index_request(1));
    assert_eq!(next(&inputs_b).1, read_index_request(1));
}

#[test]
fn a_frame_that_is_too_long_closes_only_its_connection() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let ((mut transport_a, _inputs_a), (transport_b, inputs_b)) =
        (listen(&traffic), listen(&traffic));
    let mut connection = TcpStream::connect(transport_b.own_address()).expect("failed to connect");
    connection
        .write_all(&(MAX_FRAME_BYTES + 1).to_le_bytes())
        .expect("failed to write");
    assert!(is_closed(connection));
    transport_a.send(transport_b.own_address(), &read_index_request(1));
    assert_eq!(next(&inputs_b).1, read_index_request(1));
    transport_a.send(
        transport_b.own_address(),
        &forward_response(2, MAX_FRAME_BYTES as usize + 1),
    );
    assert_eq!(
        transport_a.dropped, 1,
        "a frame that is too long is not sent either"
    );
}

#[test]
fn invalid_frames_and_frames_of_other_clusters_are_skipped() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let (transport_b, inputs_b) = listen(&traffic);
    let mut connection = TcpStream::connect(transport_b.own_address()).expect("failed to connect");
    for bytes in [
        vec![1, 2, 3],
        pack("others", "127.0.0.1:1", &read_index_request(1)),
        pack("tests", "127.0.0.1:1", &read_index_request(2)),
    ] {
        connection
            .write_all(&with_length_prefix(&bytes))
            .expect("failed to write");
    }
    assert_eq!(
        next(&inputs_b),
        ("127.0.0.1:1".into(), read_index_request(2))
    );
}

#[test]
fn a_restarted_receiver_gets_frames_again() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let (mut transport_a, _inputs_a) = listen(&traffic);
    let first = Traffic::start(ClientLimits::default()).expect("failed to start");
    let (transport_b, inputs_b) = listen(&first);
    let receiver_address = transport_b.own_address().to_string();
    transport_a.send(&receiver_address, &read_index_request(1));
    assert_eq!(next(&inputs_b).1, read_index_request(1));
    drop((transport_b, first));
    let second = Traffic::start(ClientLimits::default()).expect("failed to start");
    let (input_sender, input_receiver) = channel();
    let _transport_b = second
        .listen(options(&receiver_address), input_sender)
        .expect("failed to listen at the same address");
    let received = (2..200).any(|i| {
        transport_a.send(&receiver_address, &read_index_request(i));
        input_receiver
            .recv_timeout(Duration::from_millis(100))
            .is_ok()
    });
    assert!(received);
}

/// Accepts a connection, reads the given number of bytes, then resets it.
fn read_and_reset(listener: &TcpListener, bytes: usize) {
    let (mut connection, _) = listener.accept().expect("failed to accept a connection");
    connection
        .read_exact(&mut vec![0; bytes])
        .expect("failed to read");
    let linger = Some(Duration::ZERO);
    socket2::SockRef::from(&connection)
        .set_linger(linger)
        .expect("failed to set the socket option");
}

#[test]
fn a_frame_is_not_sent_again_after_any_number_of_bytes_before_a_reset() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let frame_bytes =
        with_length_prefix(&pack("tests", "127.0.0.1:65535", &read_index_request(1))).len();
    for bytes in 0..frame_bytes {
        let (mut transport_a, _inputs_a) = listen(&traffic);
        let peer = TcpListener::bind("127.0.0.1:0").expect("failed to bind");
        let peer_at = peer
            .local_addr()
            .expect("failed to get the address")
            .to_string();
        transport_a.send(&peer_at, &read_index_request(1));
        read_and_reset(&peer, bytes);
        // Later frames may be lost with the connection. The first one must not arrive on the new connection.
        peer.set_nonblocking(true)
            .expect("failed to set the socket option");
        let reconnected = (0..200).find_map(|_| {
            transport_a.send(&peer_at, &read_index_request(2));
            std::thread::sleep(Duration::from_millis(2));
            peer.accept().ok()
        });
        let (mut connection, _) = reconnected.expect("the sender did not connect again");
        connection
            .set_nonblocking(false)
            .expect("failed to set the socket option");
        connection
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("failed to set the socket option");
        let mut len = [0; 4];
        connection.read_exact(&mut len).expect("failed to read");
        let mut body = vec![0; u32::from_le_bytes(len) as usize];
        connection.read_exact(&mut body).expect("failed to read");
        let body = unpack("tests", &body).expect("invalid frame").body;
        assert_eq!(body, read_index_request(2), "after {bytes} bytes");
    }
}

#[test]
fn an_error_about_an_address_in_use_names_the_flag_to_change() {
    let traffic = Traffic::start(ClientLimits::default()).expect("failed to start");
    let (transport_a, _inputs_a) = listen(&traffic);
    let (input_sender, _input_receiver) = channel();
    let error = traffic
        .listen(options(transport_a.own_address()), input_sender.clone())
        .map(|_| ())
        .expect_err("listened at an address that is in use");
    assert!(error.to_string().contains("--listen"), "{error}");
    let in_use = transport_a.own_address().parse().expect("invalid address");
    let error = traffic
        .serve_http(
            in_use,
            limits(),
            HttpAdapter::default(),
            PendingCalls::default(),
            input_sender,
        )
        .expect_err("listened at an address that is in use");
    assert!(error.to_string().contains("--http"), "{error}");
}

#[test]
fn the_longest_frame_follows_from_the_limits_up_to_a_cap() {
    assert_eq!(FrameOptions::max_frame_bytes(&Limits::default()), 256 << 20);
    let small = Limits {
        open_jobs: 10,
        job_bytes: 1 << 20,
        config_bytes: 4 << 20,
        ..Limits::default()
    };
    assert_eq!(FrameOptions::max_frame_bytes(&small), 30 << 20);
}
