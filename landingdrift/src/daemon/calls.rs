use crate::sans_io::Response;
use dashmap::DashMap;
use rocket::tokio::sync::oneshot::{channel, Receiver, Sender};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// Calls whose callers wait for a response; one control thread answers them, any number of addresses may open them.
#[derive(Clone)]
pub struct Calls {
    open: Arc<DashMap<u64, Sender<Response>>>,
    next: Arc<AtomicU64>,
    /// Nobody answers any more.
    closed: Arc<AtomicBool>,
}

impl Default for Calls {
    fn default() -> Self {
        Self {
            open: Arc::new(DashMap::with_shard_amount(2)),
            next: Arc::new(AtomicU64::new(1)),
            closed: Arc::new(AtomicBool::new(false)),
        }
    }
}

impl Calls {
    /// Gives a call its response, if anybody waits for it still.
    pub fn answer(&self, call: u64, v: Response) {
        if let Some((_, tx)) = self.open.remove(&call) {
            let _ = tx.send(v);
        }
    }

    /// Whether no caller waits.
    pub fn idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Nobody answers any more: all who wait, and all who come, are told so at once.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.open.clear();
    }

    /// Whether nobody answers any more.
    pub(super) fn closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    pub(super) fn open(&self) -> Waiting {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = channel();
        self.open.insert(call, tx);
        if self.closed() {
            self.open.remove(&call);
        }
        Waiting {
            call,
            response: rx,
            calls: self.clone(),
        }
    }
}

/// One who waits; a caller who hangs up is forgotten at once.
pub(super) struct Waiting {
    pub call: u64,
    pub response: Receiver<Response>,
    calls: Calls,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.calls.open.remove(&self.call);
    }
}
