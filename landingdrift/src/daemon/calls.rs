use crate::kernel::Verdict;
use dashmap::DashMap;
use rocket::tokio::sync::oneshot::{channel, Receiver, Sender};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Calls whose callers wait for a verdict; one control thread answers them, any number of addresses may open them.
#[derive(Clone)]
pub struct Calls {
    open: Arc<DashMap<u64, Sender<Verdict>>>,
    next: Arc<AtomicU64>,
}

impl Default for Calls {
    fn default() -> Self {
        Self {
            open: Arc::new(DashMap::with_shard_amount(2)),
            next: Arc::new(AtomicU64::new(1)),
        }
    }
}

impl Calls {
    /// Gives a call its verdict, if anybody waits for it still.
    pub fn answer(&self, call: u64, v: Verdict) {
        if let Some((_, tx)) = self.open.remove(&call) {
            let _ = tx.send(v);
        }
    }

    pub(super) fn open(&self) -> Waiting {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = channel();
        self.open.insert(call, tx);
        Waiting {
            call,
            verdict: rx,
            calls: self.clone(),
        }
    }
}

/// One who waits; a caller who hangs up is forgotten at once.
pub(super) struct Waiting {
    pub call: u64,
    pub verdict: Receiver<Verdict>,
    calls: Calls,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.calls.open.remove(&self.call);
    }
}
