//! The open HTTP connections of a process. Their number is bounded; where there are too many, the one that has stood still
//! for the longest time is closed for a new one.

#[cfg(test)]
mod tests;

use super::progress::Progress;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A connection without progress for this time is closed, unless it waits for the response to a call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// One address may have this fraction of the connections, so that calls that wait at one address leave some for others.
const ADDRESS_NUMERATOR: u64 = 3;
const ADDRESS_DENOMINATOR: u64 = 4;

/// The open connections of all addresses of a process.
#[derive(Clone)]
pub struct Connections(Arc<Mutex<Registry>>);

/// The connections of one address of the process.
#[derive(Clone)]
pub struct AddressConnections {
    connections: Connections,
    address: usize,
}

/// An open connection. Dropping it removes the connection from the registry.
pub struct OpenConnection {
    connections: Connections,
    number: u64,
    entry: Arc<Entry>,
}

/// A guard that keeps a connection from being closed while it waits for the response to a call.
pub struct BusyGuard(Arc<Entry>);

/// Counts of connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections that are open now.
    pub open: u64,
    /// Connections that were closed because there were too many.
    pub evicted: u64,
    /// New connections that were closed because no other one could be.
    pub refused: u64,
    /// Connections that were closed because they made no progress for long.
    pub timed_out: u64,
}

struct Registry {
    limit: u64,
    /// The number of open connections by address.
    addresses: Vec<u64>,
    open: BTreeMap<u64, Arc<Entry>>,
    next_number: u64,
    counts: ConnectionCounts,
}

/// A connection in the registry.
struct Entry {
    address: usize,
    progress: Arc<Progress>,
    /// The number of calls of the connection that wait for a response.
    waiting_calls: AtomicU64,
    /// Whether a response was sent to a request whose body was not read to its end.
    has_unread_body: AtomicBool,
    /// Whether the client has ended its direction of the connection.
    has_hung_up: AtomicBool,
    close: Arc<Notify>,
}

impl Entry {
    fn new(address: usize, now: Instant) -> Self {
        Self {
            address,
            progress: Arc::new(Progress::starting_at(now)),
            waiting_calls: AtomicU64::new(0),
            has_unread_body: AtomicBool::new(false),
            has_hung_up: AtomicBool::new(false),
            close: Arc::default(),
        }
    }

    /// Whether the connection may be closed: no call of it waits for a response.
    fn is_closable(&self) -> bool {
        self.waiting_calls.load(Ordering::Relaxed) == 0
    }
}

impl Connections {
    /// A registry that holds up to the given number of connections.
    pub fn new(limit: u64) -> Self {
        let registry = Registry {
            limit,
            addresses: Vec::new(),
            open: BTreeMap::new(),
            next_number: 0,
            counts: ConnectionCounts::default(),
        };
        Self(Arc::new(Mutex::new(registry)))
    }

    /// Adds an address.
    pub fn add_address(&self) -> AddressConnections {
        let mut registry = self.registry();
        let address = registry.addresses.len();
        registry.addresses.push(0);
        AddressConnections {
            connections: self.clone(),
            address,
        }
    }

    /// Closes connections that made no progress for [`IDLE_TIMEOUT`].
    pub fn close_idle(&self) {
        self.registry().close_idle(Instant::now());
    }

    /// Counts of connections.
    pub fn counts(&self) -> ConnectionCounts {
        let registry = self.registry();
        ConnectionCounts {
            open: registry.open.len() as u64,
            ..registry.counts
        }
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AddressConnections {
    /// Registers a new connection. `None` if there are too many and none of them may be closed for it.
    pub fn open(&self) -> Option<OpenConnection> {
        let mut registry = self.connections.registry();
        let (number, entry) = registry.open(self.address, Instant::now())?;
        Some(OpenConnection {
            connections: self.connections.clone(),
            number,
            entry,
        })
    }
}

impl OpenConnection {
    /// Completes once the connection has to be closed.
    pub async fn must_close(&self) {
        self.entry.close.notified().await;
    }

    /// When the connection last received or sent bytes.
    pub fn progress(&self) -> &Arc<Progress> {
        &self.entry.progress
    }

    /// Closes the connection when it is notified.
    pub fn close(&self) -> &Arc<Notify> {
        &self.entry.close
    }

    /// Records that a response is sent to a request whose body was not read to its end.
    pub fn leave_body_unread(&self) {
        self.entry.has_unread_body.store(true, Ordering::Relaxed);
    }

    /// Whether a response was sent to a request whose body was not read to its end.
    pub fn has_unread_body(&self) -> bool {
        self.entry.has_unread_body.load(Ordering::Relaxed)
    }

    /// Records that the client has hung up.
    pub fn record_hang_up(&self) {
        self.entry.has_hung_up.store(true, Ordering::Relaxed);
    }

    /// Whether the client is known to have hung up, so that no response can reach it.
    pub fn has_hung_up(&self) -> bool {
        self.entry.has_hung_up.load(Ordering::Relaxed)
    }

    /// Keeps the connection from being closed until the guard is dropped.
    pub fn wait_for_call(&self) -> BusyGuard {
        self.entry.waiting_calls.fetch_add(1, Ordering::Relaxed);
        BusyGuard(self.entry.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.registry().remove(self.number);
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.progress.record(Instant::now());
        self.0.waiting_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Registry {
    fn open(&mut self, address: usize, now: Instant) -> Option<(u64, Arc<Entry>)> {
        if !self.make_room(address) {
            self.counts.refused += 1;
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        let entry = Arc::new(Entry::new(address, now));
        self.open.insert(number, entry.clone());
        self.addresses[address] += 1;
        Some((number, entry))
    }

    /// Whether there is room for a connection at an address, after another one was closed if needed.
    fn make_room(&mut self, address: usize) -> bool {
        let address_limit = self.limit / ADDRESS_DENOMINATOR * ADDRESS_NUMERATOR;
        if self.addresses[address] >= address_limit {
            return self.evict_one(|entry| entry.address == address);
        }
        if (self.open.len() as u64) < self.limit {
            return true;
        }
        let addresses = self.addresses.clone();
        let most = addresses.iter().max().copied().unwrap_or(0);
        self.evict_one(|entry| addresses[entry.address] == most) || self.evict_one(|_| true)
    }

    /// Closes the connection whose last progress is the longest ago, among those that match. Returns whether there was
    /// one that may be closed.
    fn evict_one(&mut self, matches: impl Fn(&Entry) -> bool) -> bool {
        let is_candidate = |entry: &Entry| entry.is_closable() && matches(entry);
        let candidates = self.open.iter().filter(|(_, entry)| is_candidate(entry));
        let victim = candidates.min_by_key(|(number, entry)| (entry.progress.last(), **number));
        let Some((number, entry)) = victim else {
            return false;
        };
        entry.close.notify_one();
        let number = *number;
        self.remove(number);
        self.counts.evicted += 1;
        true
    }

    fn close_idle(&mut self, now: Instant) {
        let is_idle = |entry: &Entry| {
            let idle = now.saturating_duration_since(entry.progress.last());
            entry.is_closable() && idle >= IDLE_TIMEOUT
        };
        for entry in self.open.values().filter(|entry| is_idle(entry)) {
            entry.close.notify_one();
            self.counts.timed_out += 1;
        }
    }

    fn remove(&mut self, number: u64) {
        if let Some(entry) = self.open.remove(&number) {
            self.addresses[entry.address] -= 1;
        }
    }
}
