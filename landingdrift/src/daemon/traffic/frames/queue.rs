use rocket::tokio::sync::mpsc::{channel, Receiver, Sender};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Frames that wait for one receiver.
const MOST_FRAMES: usize = 4096;
/// Bytes of frames that wait for one receiver; a single frame may be larger.
const MOST_BYTES: usize = 4 << 20;

/// The queue towards one receiver, bounded in frames and in bytes.
pub struct Queue {
    tx: Sender<Queued>,
    bytes: Arc<AtomicUsize>,
}

/// A frame in a queue; it counts towards the queue's bytes until it is dropped.
pub struct Queued {
    frame: Vec<u8>,
    queue: Arc<AtomicUsize>,
}

impl Queued {
    /// The frame.
    pub fn bytes(&self) -> &[u8] {
        &self.frame
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.queue.fetch_sub(self.frame.len(), Ordering::Relaxed);
    }
}

/// Why a frame was not queued.
pub enum NotQueued {
    /// The receiver takes too little: the frame is dropped, as a network would.
    Full,
    /// Nobody delivers any more.
    Closed(Vec<u8>),
}

/// An empty queue and its end.
pub fn queue() -> (Queue, Receiver<Queued>) {
    let (tx, rx) = channel(MOST_FRAMES);
    let bytes = Arc::default();
    (Queue { tx, bytes }, rx)
}

impl Queue {
    /// Queues a frame.
    pub fn push(&self, frame: Vec<u8>) -> Result<(), NotQueued> {
        if self.is_closed() {
            return Err(NotQueued::Closed(frame));
        }
        let waiting = self.bytes();
        if waiting > 0 && waiting + frame.len() > MOST_BYTES {
            return Err(NotQueued::Full);
        }
        self.bytes.fetch_add(frame.len(), Ordering::Relaxed);
        let queued = Queued {
            frame,
            queue: self.bytes.clone(),
        };
        self.tx.try_send(queued).map_err(|_| NotQueued::Full)
    }

    /// The bytes that wait.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Whether nobody delivers any more.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}
