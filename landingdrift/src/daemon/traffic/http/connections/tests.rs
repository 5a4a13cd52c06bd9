//! The registry of HTTP connections. Guards against a crowd that takes the connections of others, and against connections
//! that are closed although their call waits for a response.

use super::{AddressConnections, Connections, OpenConnection, IDLE_TIMEOUT};
use std::time::{Duration, Instant};

const LIMIT: usize = 16;
/// The number of connections that one address may have.
const ADDRESS_LIMIT: usize = 12;

fn connections() -> (Connections, AddressConnections) {
    let connections = Connections::new(LIMIT as u64);
    let address = connections.add_address();
    (connections, address)
}

fn open(address: &AddressConnections, count: usize) -> Vec<OpenConnection> {
    let opened = (0..count).map(|_| address.open().expect("no connection"));
    opened.collect()
}

/// Whether the registry has closed a connection.
fn is_closed(connection: &OpenConnection) -> bool {
    let registry = connection.connections.registry();
    !registry.open.contains_key(&connection.number)
}

/// Lets a connection have made progress at the given time after it was opened.
fn progress_after(connection: &OpenConnection, time: Duration) {
    let progress = connection.progress();
    progress.record(progress.last() + time);
}

#[test]
fn the_connection_that_has_stood_still_for_the_longest_time_is_closed_for_a_new_one() {
    let (connections, address) = connections();
    let crowd = open(&address, ADDRESS_LIMIT);
    for (number, connection) in crowd.iter().enumerate() {
        let is_idle = number == 3;
        let time = Duration::from_millis(if is_idle { 1000 } else { 2000 });
        progress_after(connection, time);
    }
    let _newcomer = address.open().expect("no connection");
    let closed: Vec<usize> = (0..ADDRESS_LIMIT)
        .filter(|n| is_closed(&crowd[*n]))
        .collect();
    assert_eq!(closed, [3]);
    assert_eq!(connections.counts().open, ADDRESS_LIMIT as u64);
}

#[test]
fn a_crowd_at_one_address_does_not_close_the_connections_of_others() {
    let (connections, crowded) = connections();
    let quiet = connections.add_address();
    let ordinary = open(&quiet, 2);
    let crowd: Vec<_> = open(&crowded, 5 * LIMIT);
    assert!(!ordinary.iter().any(is_closed));
    let open_count = crowd.iter().filter(|c| !is_closed(c)).count();
    assert_eq!(open_count, ADDRESS_LIMIT);
}

#[test]
fn for_a_connection_beyond_the_total_one_of_the_address_with_the_most_is_closed() {
    let (connections, crowded) = connections();
    let other = connections.add_address();
    let crowd = open(&crowded, ADDRESS_LIMIT);
    let ordinary = open(&other, LIMIT - ADDRESS_LIMIT);
    let _newcomer = other.open().expect("no connection");
    assert!(!ordinary.iter().any(is_closed));
    assert_eq!(crowd.iter().filter(|c| is_closed(c)).count(), 1);
}

/// Guards against probes and heartbeats that find no connection while all calls of clients wait, as during an outage.
#[test]
fn calls_that_wait_at_one_address_leave_connections_for_others() {
    let (connections, crowded) = connections();
    let other = connections.add_address();
    let crowd: Vec<_> = (0..LIMIT).filter_map(|_| crowded.open()).collect();
    let _waiting: Vec<_> = crowd.iter().map(OpenConnection::wait_for_call).collect();
    assert!(crowded.open().is_none(), "the address is full");
    assert!(other.open().is_some(), "the other address is not");
}

#[test]
fn a_connection_that_waits_for_a_response_is_not_closed() {
    let (connections, address) = connections();
    let crowd = open(&address, ADDRESS_LIMIT);
    let mut waiting: Vec<_> = crowd.iter().map(OpenConnection::wait_for_call).collect();
    assert!(address.open().is_none(), "none may be closed");
    assert_eq!(connections.counts().refused, 1);
    waiting.pop();
    assert!(address.open().is_some(), "the last one may be closed");
    assert!(is_closed(&crowd[ADDRESS_LIMIT - 1]));
}

#[test]
fn a_connection_without_progress_is_closed_after_the_timeout() {
    let (connections, address) = connections();
    let crowd = open(&address, 3);
    let _waiting = crowd[1].wait_for_call();
    progress_after(&crowd[2], IDLE_TIMEOUT);
    let mut registry = connections.registry();
    registry.close_idle(Instant::now() + IDLE_TIMEOUT);
    assert_eq!(registry.counts.timed_out, 1);
}
