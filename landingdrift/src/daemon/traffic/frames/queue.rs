//! The send queue of one receiver, bounded in frames and in bytes.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// The maximum number of frames that are queued for one receiver.
const MAX_QUEUED_FRAMES: usize = 4096;
/// The maximum size of the frames that are queued for one receiver. An empty queue also accepts a single larger frame.
const MAX_QUEUED_BYTES: usize = 4 << 20;

/// The sending end of the queue.
pub struct Queue {
    sender: Sender<QueuedFrame>,
    bytes: Arc<AtomicUsize>,
}

/// A frame in a queue. Its size counts towards the queue's total for as long as this value lives.
pub struct QueuedFrame {
    frame: Vec<u8>,
    queue_bytes: Arc<AtomicUsize>,
}

impl QueuedFrame {
    /// The bytes of the frame, without the length prefix.
    pub fn bytes(&self) -> &[u8] {
        &self.frame
    }
}

impl Drop for QueuedFrame {
    fn drop(&mut self) {
        self.queue_bytes
            .fetch_sub(self.frame.len(), Ordering::Relaxed);
    }
}

/// The reason for which a frame was not queued.
pub enum PushError {
    /// The queue is full because the receiver is too slow; the frame is dropped.
    Full,
    /// The sending task has ended; the frame is returned.
    Closed(Vec<u8>),
}

/// Creates an empty queue; returns its sending and receiving ends.
pub fn queue() -> (Queue, Receiver<QueuedFrame>) {
    let (sender, receiver) = channel(MAX_QUEUED_FRAMES);
    let bytes = Arc::default();
    (Queue { sender, bytes }, receiver)
}

impl Queue {
    /// Queues a frame, if the queue is open and not full.
    pub fn push(&self, frame: Vec<u8>) -> Result<(), PushError> {
        if self.is_closed() {
            return Err(PushError::Closed(frame));
        }
        let queued_bytes = self.bytes();
        if queued_bytes > 0 && queued_bytes + frame.len() > MAX_QUEUED_BYTES {
            return Err(PushError::Full);
        }
        self.bytes.fetch_add(frame.len(), Ordering::Relaxed);
        let queued = QueuedFrame {
            frame,
            queue_bytes: self.bytes.clone(),
        };
        self.sender.try_send(queued).map_err(|_| PushError::Full)
    }

    /// The total size of the queued frames, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Whether the sending task has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
