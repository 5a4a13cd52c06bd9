use rocket::tokio::io::{AsyncRead, AsyncSeek, ReadBuf};
use rocket::Shutdown;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

/// How far the end of a process has come, as its callers see it; phases only go forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
enum Phase {
    Serving,
    /// Calls are worked on; each answer ends its connection.
    Leaving,
    /// New calls are refused at once, and no connection is taken any more.
    Refusing,
}

/// The serving state that all HTTP addresses of a process share.
#[derive(Clone)]
pub struct ServingState(Arc<State>);

struct State {
    phase: AtomicU8,
    in_flight: AtomicU64,
    servers: Mutex<Vec<Shutdown>>,
}

impl Default for ServingState {
    fn default() -> Self {
        Self(Arc::new(State {
            phase: AtomicU8::new(Phase::Serving as u8),
            in_flight: AtomicU64::new(0),
            servers: Mutex::default(),
        }))
    }
}

impl ServingState {
    /// From now on every answer ends its connection, so that none is left idle when the process ends.
    pub fn leave(&self) {
        self.advance(Phase::Leaving);
    }

    /// From now on calls are refused at once, and no connection is taken.
    pub fn refuse(&self) {
        self.advance(Phase::Refusing);
        let mut servers = self.servers();
        servers.drain(..).for_each(Shutdown::notify);
    }

    /// Calls that were read and whose answer has not been written out.
    pub fn in_flight(&self) -> u64 {
        self.0.in_flight.load(Ordering::SeqCst)
    }

    /// Whether answers end their connections.
    pub fn leaves(&self) -> bool {
        self.reached(Phase::Leaving)
    }

    /// Whether new calls are refused.
    pub fn refuses(&self) -> bool {
        self.reached(Phase::Refusing)
    }

    /// A server that is to stop listening when calls are refused.
    pub(super) fn add(&self, server: Shutdown) {
        if self.refuses() {
            server.notify();
        } else {
            self.servers().push(server);
        }
    }

    /// Counts a call until what is given is dropped.
    pub(super) fn enter(&self) -> InFlight {
        self.0.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(self.clone())
    }

    fn servers(&self) -> std::sync::MutexGuard<'_, Vec<Shutdown>> {
        self.0
            .servers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn advance(&self, to: Phase) {
        self.0.phase.fetch_max(to as u8, Ordering::SeqCst);
    }

    fn reached(&self, phase: Phase) -> bool {
        self.0.phase.load(Ordering::SeqCst) >= phase as u8
    }
}

/// A call in hand; dropped once its answer was written out, or its caller is gone.
pub struct InFlight(ServingState);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0 .0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The body of an answer; the call counts as in hand until it was read to its end.
pub struct Body {
    bytes: io::Cursor<Vec<u8>>,
    _in_flight: InFlight,
}

impl Body {
    /// The body of the answer to a call.
    pub fn new(bytes: Vec<u8>, in_flight: InFlight) -> Self {
        Self {
            bytes: io::Cursor::new(bytes),
            _in_flight: in_flight,
        }
    }
}

impl AsyncRead for Body {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.bytes).poll_read(cx, buf)
    }
}

impl AsyncSeek for Body {
    fn start_seek(mut self: Pin<&mut Self>, to: io::SeekFrom) -> io::Result<()> {
        Pin::new(&mut self.bytes).start_seek(to)
    }

    fn poll_complete(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<u64>> {
        Pin::new(&mut self.bytes).poll_complete(cx)
    }
}
