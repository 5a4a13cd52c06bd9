//! Calls whose callers wait for a response.

use crate::sans_io::Response;
use dashmap::DashMap;
use rocket::tokio::sync::oneshot::{channel, Receiver, Sender};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// The map is divided for few threads: the traffic thread and one control thread use it.
const SHARDS: usize = 2;

/// Calls whose callers wait for a response. One control thread answers them; any number of addresses may open them.
#[derive(Clone)]
pub struct PendingCalls {
    pending: Arc<DashMap<u64, Sender<Response>>>,
    next_number: Arc<AtomicU64>,
    /// The control thread has ended: no call is answered any more.
    closed: Arc<AtomicBool>,
}

impl Default for PendingCalls {
    fn default() -> Self {
        Self {
            pending: Arc::new(DashMap::with_shard_amount(SHARDS)),
            next_number: Arc::new(AtomicU64::new(1)),
            closed: Arc::new(AtomicBool::new(false)),
        }
    }
}

impl PendingCalls {
    /// Sends a call's response to its caller, if it still waits.
    pub fn answer(&self, call: u64, response: Response) {
        if let Some((_, caller)) = self.pending.remove(&call) {
            let _ = caller.send(response);
        }
    }

    /// Whether no caller waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// No call is answered any more: waiting callers, and new ones, learn so at once.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.pending.clear();
    }

    /// Whether no call is answered any more.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Adds a call, whose caller waits on what is returned.
    pub(super) fn open(&self) -> PendingCall {
        let call = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (caller, response) = channel();
        self.pending.insert(call, caller);
        // Where the calls were closed meanwhile, dropping the sender tells the caller so.
        if self.is_closed() {
            self.pending.remove(&call);
        }
        PendingCall {
            number: call,
            response,
            calls: self.clone(),
        }
    }
}

/// The caller's end of a call; a caller that hangs up is removed at once.
pub(super) struct PendingCall {
    pub number: u64,
    pub response: Receiver<Response>,
    calls: PendingCalls,
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.calls.pending.remove(&self.number);
    }
}
