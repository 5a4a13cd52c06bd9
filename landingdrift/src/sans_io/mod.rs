//! The sans-IO core: what every part of the system is, and what it may ask for.

mod outbox;
pub mod roles;

pub use outbox::Outbox;

use crate::settings::Settings;
use crate::wire::{Body, DurabilityWitness, Entry};
use serde_json::Value;

/// The time a step is taken at: durations come from `mono`, appointed times from `wall`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Milliseconds of a clock that never jumps.
    pub mono: u64,
    /// Milliseconds since 1970 by this machine's clock, which may jump.
    pub wall: u64,
}

/// A call over HTTP, already read by the library.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The method, as `GET`.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// The body.
    pub body: Vec<u8>,
}

/// The response on a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// When the caller should come back, in milliseconds; 0 for never.
    pub retry_ms: u64,
    /// The body.
    pub body: Value,
    /// The node that gave it, where another passed it on.
    pub by: String,
    /// With status 307, where to call instead, as `ADDRESS/PATH`; empty otherwise.
    pub location: String,
}

impl Response {
    /// A response with a body.
    pub fn new(status: u16, body: Value) -> Self {
        Self {
            status,
            body,
            ..Self::default()
        }
    }
    /// A refusal or error whose message names the remedy.
    pub fn error(status: u16, kind: &str, message: impl Into<String>) -> Self {
        Self::new(
            status,
            serde_json::json!({"error": kind, "message": message.into()}),
        )
    }
    /// Sends the caller to another address for the same path.
    pub fn redirect(address: &str, path: &str) -> Self {
        Self {
            status: 307,
            body: serde_json::json!({"at": address}),
            location: format!("{address}{path}"),
            ..Self::default()
        }
    }
    /// The same response, telling the caller when to come back.
    pub fn retry(mut self, ms: u64) -> Self {
        self.retry_ms = ms;
        self
    }
}

/// Everything that can happen to a part.
#[derive(Clone, Debug)]
pub enum Msg {
    /// Time has passed.
    Tick,
    /// A message came from another process, at the address named.
    Wire(String, Body),
    /// All that was handed to the disk up to this ticket is durable.
    Persisted(u64),
    /// The disk refused.
    DiskFailed(String),
    /// Somebody calls.
    Call(u64, Request),
    /// Settings that can change live have changed.
    SettingsChanged(Box<Settings>),
    /// The process is asked to stop in an orderly way.
    Stop,
}

/// What goes to the disk in one piece.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriteBatch {
    /// The number of the batch, by which it is confirmed.
    pub write_id: u64,
    /// The term and the vote, if they have changed.
    pub hard_state: Option<HardState>,
    /// Entries from this index on are void.
    pub truncate_from: Option<u64>,
    /// Entries to append, after the truncation.
    pub entries: Vec<Entry>,
    /// What this replica remembers of the disks of others.
    pub witnesses: Vec<DurabilityWitness>,
    /// A snapshot to keep beside the log.
    pub snapshot: Option<Snapshot>,
}

/// The term and the vote given in it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// Who got the vote in it; empty for nobody.
    pub vote: String,
    /// Votes in terms up to this one may have been given and forgotten.
    #[serde(rename = "silent_to")]
    pub no_vote_through: u64,
    /// The first members of the cluster, for a replica that was started as one of them.
    #[serde(default)]
    pub founders: Vec<String>,
}

/// The cluster state as it was at an index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The packed state.
    pub bytes: Vec<u8>,
}

/// What a part asks of its surroundings.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send to the process at an address.
    Send(String, Body),
    /// Write, and sync.
    Persist(WriteBatch),
    /// Give a call its response.
    Answer(u64, Response),
    /// A change of state worth a line.
    Log(String),
    /// The part is done and the process may end.
    Exit,
}

/// A part: one message in, effects out; it holds no clock, no socket, no file.
pub trait Part: Send {
    /// Takes one step.
    fn step(&mut self, now: Now, msg: Msg) -> Vec<Effect>;
    /// Counters, by name.
    fn counters(&self) -> Vec<(String, u64)>;
    /// The counters as text for `/metrics`.
    fn metrics(&self) -> Response {
        let text = self
            .counters()
            .iter()
            .map(|(k, v)| format!("landingdrift_{k} {v}\n"))
            .collect::<String>();
        Response::new(200, Value::String(text))
    }
}

/// A small generator whose numbers follow from its seed alone.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// A generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed ^ 0x9e37_79b9_7f4a_7c15)
    }
    /// The next number.
    pub fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    /// A number below `n`, or 0 when `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.number().checked_rem(n).unwrap_or(0)
    }
    /// A number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.number() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// Picks one of a slice.
    pub fn pick<'a, T>(&mut self, of: &'a [T]) -> Option<&'a T> {
        of.get(self.below(of.len() as u64) as usize)
    }
}

/// Links are assumed to carry at least so many bytes in a millisecond; narrower ones cost repetitions.
pub const MIN_LINK_BYTES_PER_MS: u64 = 128;

/// How long bytes may take on the narrowest link, in milliseconds: what was sent is not taken for lost sooner.
pub fn transfer_ms(bytes: u64) -> u64 {
    bytes / MIN_LINK_BYTES_PER_MS
}

/// A number from a text, the same on every machine.
pub fn fnv1a(text: &[u8]) -> u64 {
    text.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    })
}
