//! HTTP calls that wait for a response of the control thread.

use crate::sans_io::Response;
use dashmap::DashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::oneshot::{channel, Receiver, Sender};

/// The number of shards of the map of pending calls. Only two threads use the map: the traffic thread and one control
/// thread.
const SHARDS: usize = 2;

/// HTTP calls that wait for a response. One control thread answers them; calls that arrive at any HTTP
/// address may be added.
#[derive(Clone)]
pub struct PendingCalls {
    pending: Arc<DashMap<u64, Sender<Response>>>,
    next_number: Arc<AtomicU64>,
    /// Whether the control thread has ended. After that, no call is answered.
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
    /// Sends the response to the caller, if it still waits.
    pub fn answer(&self, call: u64, response: Response) {
        if let Some((_, response_sender)) = self.pending.remove(&call) {
            let _ = response_sender.send(response);
        }
    }

    /// Whether no call waits for a response.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Fails all waiting calls and every later one at once, because the control thread has ended.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.pending.clear();
    }

    /// Whether the control thread has ended. After that, no call is answered.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Adds a call; the caller awaits the response on the returned value.
    pub(super) fn open(&self) -> PendingCall {
        let call = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (response_sender, response) = channel();
        self.pending.insert(call, response_sender);
        // If the calls were closed in the meantime, dropping the sender fails the call.
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

/// The caller's end of a call. Dropping it, for example because the caller hung up, removes the call.
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
