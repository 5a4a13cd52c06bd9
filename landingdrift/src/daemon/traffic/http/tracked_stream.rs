//! A TCP stream that records the progress of its connection, and ends so that the last response is not lost.

use super::connections::OpenConnection;
use super::discard::Discard;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream that records each read and write that moves bytes.
pub struct TrackedStream {
    stream: TcpStream,
    connection: Arc<OpenConnection>,
    /// Set once the sending direction has ended after a response to a request whose body was not read.
    discard: Option<Discard>,
}

impl TrackedStream {
    /// Tracks the stream of a connection.
    pub fn new(stream: TcpStream, connection: Arc<OpenConnection>) -> Self {
        Self {
            stream,
            connection,
            discard: None,
        }
    }

    fn record_progress(&self) {
        self.connection.progress().record(Instant::now());
    }

    fn record_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.record_progress();
        }
        written
    }
}

/// Whether the client has ended or reset the connection, and everything before that has been read. The runtime
/// tells of an end only in its next turn, when a request that came with it may have been executed.
fn is_at_end(stream: &TcpStream) -> bool {
    let mut next_byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut next_byte) {
        Ok(count) => count == 0,
        Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buf));
        if buf.filled().len() > before {
            self.record_progress();
        }
        if buf.remaining() > 0 && is_at_end(&self.stream) {
            self.connection.record_hang_up();
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.discard.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
            if !this.connection.has_unread_body() {
                return Poll::Ready(Ok(()));
            }
        }
        let discard = this.discard.get_or_insert_with(Discard::start);
        discard.poll(&mut this.stream, context).map(Ok)
    }
}
