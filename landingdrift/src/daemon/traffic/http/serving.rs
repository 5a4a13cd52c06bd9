//! The serving state of a process: the phase of its shutdown, and the number of HTTP calls in flight.

use super::memory_budget::Charge;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tokio::task::AbortHandle;

/// The phase of a process's shutdown, as callers see it. Phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
enum ServingPhase {
    Serving,
    /// Calls are served, and each response closes its connection.
    Draining,
    /// New calls are rejected at once, and no further connection is accepted.
    Rejecting,
}

/// The serving state that all HTTP addresses of a process share.
#[derive(Clone)]
pub struct ServingState(Arc<State>);

struct State {
    phase: AtomicU8,
    in_flight: AtomicU64,
    /// The tasks that accept connections.
    listeners: Mutex<Vec<AbortHandle>>,
}

impl Default for ServingState {
    fn default() -> Self {
        Self(Arc::new(State {
            phase: AtomicU8::new(ServingPhase::Serving as u8),
            in_flight: AtomicU64::new(0),
            listeners: Mutex::default(),
        }))
    }
}

impl ServingState {
    /// From now on, each response closes its connection, so that no idle connection is left when the process ends.
    pub fn begin_drain(&self) {
        self.advance(ServingPhase::Draining);
    }

    /// From now on, rejects new calls and accepts no connections.
    pub fn reject_calls(&self) {
        self.advance(ServingPhase::Rejecting);
        for listener in self.listeners().drain(..) {
            listener.abort();
        }
    }

    /// The number of calls that have been read but whose responses are not written yet.
    pub fn in_flight(&self) -> u64 {
        self.0.in_flight.load(Ordering::SeqCst)
    }

    /// Whether responses close their connections.
    pub fn is_draining(&self) -> bool {
        self.reached(ServingPhase::Draining)
    }

    /// Whether new calls are rejected.
    pub fn is_rejecting(&self) -> bool {
        self.reached(ServingPhase::Rejecting)
    }

    /// Registers a task that accepts connections, which ends in the rejecting phase.
    pub(super) fn add(&self, listener: AbortHandle) {
        let mut listeners = self.listeners();
        if self.is_rejecting() {
            listener.abort();
        } else {
            listeners.push(listener);
        }
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub(super) fn begin_call(&self) -> InFlight {
        self.0.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(self.clone())
    }

    fn listeners(&self) -> MutexGuard<'_, Vec<AbortHandle>> {
        let listeners = self.0.listeners.lock();
        listeners.unwrap_or_else(PoisonError::into_inner)
    }

    fn advance(&self, to: ServingPhase) {
        self.0.phase.fetch_max(to as u8, Ordering::SeqCst);
    }

    fn reached(&self, phase: ServingPhase) -> bool {
        self.0.phase.load(Ordering::SeqCst) >= phase as u8
    }
}

/// A guard that counts a call as in flight. It is dropped once the response is written or the caller has hung up.
pub struct InFlight(ServingState);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0 .0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The body of a response. Keeps the call counted as in flight until the body is dropped.
pub struct ResponseBody {
    /// Empty once the server has taken it.
    bytes: Bytes,
    _in_flight: InFlight,
}

/// The bytes of a body, with the memory charged for them until they are sent.
struct ChargedBytes {
    bytes: Vec<u8>,
    _charge: Arc<Charge>,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ResponseBody {
    /// The body of the response to the call that `in_flight` counts. `charge` is for its memory, if it is large.
    pub fn new(bytes: Vec<u8>, charge: Option<Arc<Charge>>, in_flight: InFlight) -> Self {
        let bytes = match charge {
            Some(_charge) => Bytes::from_owner(ChargedBytes { bytes, _charge }),
            None => bytes.into(),
        };
        Self {
            bytes,
            _in_flight: in_flight,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let bytes = std::mem::take(&mut self.bytes);
        let frame = (!bytes.is_empty()).then(|| Ok(Frame::data(bytes)));
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
