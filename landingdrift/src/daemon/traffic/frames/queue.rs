//! The queue of frames for one receiver, bounded in frames and in bytes.

use rocket::tokio::sync::mpsc::{channel, Receiver, Sender};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The most frames that are queued for one receiver.
const MAX_FRAMES: usize = 4096;
/// The most bytes that are queued for one receiver; a single frame may be larger.
const MAX_BYTES: usize = 4 << 20;

/// The sending end of the queue.
pub struct Queue {
    sender: Sender<Queued>,
    bytes: Arc<AtomicUsize>,
}

/// A frame in a queue; it counts towards the queue's bytes until it is dropped.
pub struct Queued {
    frame: Vec<u8>,
    queue_bytes: Arc<AtomicUsize>,
}

impl Queued {
    /// The frame.
    pub fn bytes(&self) -> &[u8] {
        &self.frame
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.queue_bytes
            .fetch_sub(self.frame.len(), Ordering::Relaxed);
    }
}

/// Why a frame was not queued.
pub enum PushError {
    /// The receiver is too slow: the frame is dropped.
    Full,
    /// The task that sends has ended.
    Closed(Vec<u8>),
}

/// An empty queue, and its receiving end.
pub fn queue() -> (Queue, Receiver<Queued>) {
    let (sender, receiver) = channel(MAX_FRAMES);
    let bytes = Arc::default();
    (Queue { sender, bytes }, receiver)
}

impl Queue {
    /// Queues a frame.
    pub fn push(&self, frame: Vec<u8>) -> Result<(), PushError> {
        if self.is_closed() {
            return Err(PushError::Closed(frame));
        }
        let queued_bytes = self.bytes();
        if queued_bytes > 0 && queued_bytes + frame.len() > MAX_BYTES {
            return Err(PushError::Full);
        }
        self.bytes.fetch_add(frame.len(), Ordering::Relaxed);
        let queued = Queued {
            frame,
            queue_bytes: self.bytes.clone(),
        };
        self.sender.try_send(queued).map_err(|_| PushError::Full)
    }

    /// The bytes that are queued.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Whether the task that sends has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
