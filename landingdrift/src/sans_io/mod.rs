//! The sans-IO core: the system consists of state machines that take messages and return effects.

mod outbox;
pub mod roles;

pub use outbox::Outbox;

use crate::settings::Settings;
use crate::wire::{Body, DurabilityWitness, Entry};
use serde_json::Value;

/// The time of a step, by two clocks: `mono` measures durations, `wall` tells the time of day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Milliseconds by a monotonic clock.
    pub mono: u64,
    /// Milliseconds since 1970 by this machine's wall clock, which may jump.
    pub wall: u64,
}

/// A parsed HTTP request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The method, for example `GET`.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query string, without the question mark.
    pub query: String,
    /// The body.
    pub body: Vec<u8>,
}

/// The response to an HTTP request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// When the client should retry, in milliseconds from now; 0 for no such hint.
    pub retry_ms: u64,
    /// The body.
    pub body: Value,
    /// Node that produced the response, if another node forwarded it; in the error `notHolder`, the node that holds the
    /// zone's lease.
    pub answered_by: String,
    /// Target of a redirect (status 307), as `ADDRESS/PATH`; empty otherwise.
    pub location: String,
}

impl Response {
    /// Creates a response with a status and a body.
    pub fn new(status: u16, body: Value) -> Self {
        Self {
            status,
            body,
            ..Self::default()
        }
    }
    /// Creates an error response of a kind; the message should name the remedy.
    pub fn error(status: u16, kind: &str, message: impl Into<String>) -> Self {
        Self::new(
            status,
            serde_json::json!({"error": kind, "message": message.into()}),
        )
    }
    /// Creates a redirect to the same path at another address.
    pub fn redirect(address: &str, path: &str) -> Self {
        Self {
            status: 307,
            body: serde_json::json!({"at": address}),
            location: format!("{address}{path}"),
            ..Self::default()
        }
    }
    /// Sets when the client should retry, in milliseconds from now.
    pub fn retry(mut self, ms: u64) -> Self {
        self.retry_ms = ms;
        self
    }
}

/// The inputs of a state machine.
#[derive(Clone, Debug)]
pub enum Msg {
    /// Periodic timer.
    Tick,
    /// A message from the process at an address.
    Received(String, Body),
    /// Every batch up to this [`WriteBatch::write_id`] is durable.
    Persisted(u64),
    /// An attempt to write to the disk failed, with the reason; it is repeated until it succeeds.
    WriteFailed(String),
    /// An HTTP request, with the call number that its response must carry.
    Call(u64, Request),
    /// Settings that can change at run time have changed.
    SettingsChanged(Box<Settings>),
    /// The process has been asked to shut down gracefully.
    Stop,
}

/// A batch of changes that is written to the disk atomically.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriteBatch {
    /// Number of the batch, by which [`Msg::Persisted`] confirms it.
    pub write_id: u64,
    /// The term and the vote, if they have changed.
    pub hard_state: Option<HardState>,
    /// Log index from which on existing entries are discarded.
    pub truncate_from: Option<u64>,
    /// Entries to append, after the truncation.
    pub entries: Vec<Entry>,
    /// Durability witnesses: how far the logs of other replicas' disks are known to reach.
    pub witnesses: Vec<DurabilityWitness>,
    /// A snapshot to store beside the log.
    pub snapshot: Option<Snapshot>,
}

/// The Raft hard state: the current term and the vote in it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// Candidate that got this replica's vote in the term; empty for none.
    pub vote: String,
    /// This replica must not vote in terms up to this one: it may have voted in them and lost the record.
    #[serde(rename = "silent_to")]
    pub no_vote_through: u64,
    /// Initial members of the cluster, if this replica was started as one of them.
    #[serde(default)]
    pub founders: Vec<String>,
}

/// The cluster state as of a log index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Index of the last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The packed state.
    pub bytes: Vec<u8>,
}

/// The outputs of a state machine, which its runtime carries out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a message to the process at an address.
    Send(String, Body),
    /// Writes a batch to the disk and syncs it.
    Persist(WriteBatch),
    /// Sends the response to a call.
    Respond(u64, Response),
    /// Writes a line to the process's log.
    Log(String),
    /// Reports that the state machine has finished, so that the process may end.
    Exit,
}

/// A state machine that processes one message per step and returns effects. It has no access to clocks, sockets or
/// files.
pub trait StateMachine: Send {
    /// Processes one message.
    fn step(&mut self, now: Now, msg: Msg) -> Vec<Effect>;
    /// Current values of the counters, by name.
    fn counters(&self) -> Vec<(String, u64)>;
    /// The counters as a text response for `/metrics`.
    fn metrics(&self) -> Response {
        let text = self
            .counters()
            .iter()
            .map(|(k, v)| format!("landingdrift_{k} {v}\n"))
            .collect::<String>();
        Response::new(200, Value::String(text))
    }
}

/// A deterministic pseudo-random number generator (SplitMix64).
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed ^ 0x9e37_79b9_7f4a_7c15)
    }
    /// Returns the next 64-bit number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    /// Returns a number below `n`, or 0 if `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.next_u64().checked_rem(n).unwrap_or(0)
    }
    /// Returns a number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// Returns a random item of a slice; `None` if it is empty.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        items.get(self.below(items.len() as u64) as usize)
    }
}

/// Assumed minimum bandwidth of a link, in bytes per millisecond; slower links cause needless retransmissions.
pub const MIN_LINK_BYTES_PER_MS: u64 = 128;

/// Maximum transfer time of a number of bytes on the slowest assumed link, in milliseconds. A message isn't considered
/// lost before this time has passed.
pub fn transfer_ms(bytes: u64) -> u64 {
    bytes / MIN_LINK_BYTES_PER_MS
}

/// The 64-bit FNV-1a hash of bytes; the same on every machine.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    })
}
