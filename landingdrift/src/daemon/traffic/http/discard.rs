//! Reads and discards what a client still sends after the last response of its connection. Closing a socket with unread
//! bytes resets the connection, and the response may be lost.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// The maximum number of bytes that are discarded.
const MAX_DISCARDED_BYTES: usize = 512 << 10;
/// The time for which bytes are discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
const BUFFER_BYTES: usize = 4 << 10;

/// The discarding of what a client still sends.
pub struct Discard {
    buffer: Vec<u8>,
    discarded_bytes: usize,
    timeout: Pin<Box<Sleep>>,
}

impl Discard {
    /// Starts to discard.
    pub fn start() -> Self {
        Self {
            buffer: vec![0; BUFFER_BYTES],
            discarded_bytes: 0,
            timeout: Box::pin(sleep(DISCARD_TIMEOUT)),
        }
    }

    /// Discards what the stream has received. Ready once the client has ended or enough was discarded.
    pub fn poll(&mut self, stream: &mut TcpStream, context: &mut Context<'_>) -> Poll<()> {
        while self.discarded_bytes < MAX_DISCARDED_BYTES {
            if self.timeout.as_mut().poll(context).is_ready() {
                return Poll::Ready(());
            }
            let mut buffer = ReadBuf::new(&mut self.buffer);
            let read = Pin::new(&mut *stream).poll_read(context, &mut buffer);
            let received = buffer.filled().len();
            match read {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if received > 0 => self.discarded_bytes += received,
                Poll::Ready(_) => return Poll::Ready(()),
            }
        }
        Poll::Ready(())
    }
}
