//! Sends the frames in one receiver's queue, over a connection that is opened when needed.

use super::queue::{queue, Queue, QueuedFrame};
use super::{socket, FrameOptions};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::mpsc::Receiver;
use tokio::time::timeout;

/// The size from which no further frames are added to a write.
const WRITE_BUFFER_BYTES: usize = 16 << 10;

/// Starts the task that sends to one receiver. The task ends when its queue has been empty for the
/// idle timeout.
pub fn start(handle: &Handle, addr: SocketAddr, options: &FrameOptions) -> Queue {
    let (queue, receiver) = queue();
    let (timeout, idle_timeout) = (options.timeout, options.idle_timeout());
    handle.spawn(send_all(addr, timeout, idle_timeout, receiver));
    queue
}

async fn send_all(
    addr: SocketAddr,
    write_timeout: Duration,
    idle_timeout: Duration,
    mut receiver: Receiver<QueuedFrame>,
) {
    let mut connection: Option<TcpStream> = None;
    loop {
        let first = match timeout(idle_timeout, receiver.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(_) => {
                // Frames that were queued in the meantime are still sent, then the task ends.
                receiver.close();
                continue;
            }
        };
        connection = match connection.filter(is_open) {
            Some(open) => Some(open),
            None => connect(addr, write_timeout).await,
        };
        let Some(mut open) = connection.take() else {
            // The receiver can't be reached. Queued frames would be outdated by the time it can be reached, so they are
            // dropped; senders repeat the frames that matter.
            while receiver.try_recv().is_ok() {}
            continue;
        };
        let written = write(&mut open, write_timeout, first, &mut receiver).await;
        connection = written.ok().map(|()| open);
    }
}

/// Connects with a short timeout. TCP retransmits a lost SYN only after a second; if a machine has just come up, a new
/// attempt reaches it sooner than the retransmitted SYN would.
async fn connect(addr: SocketAddr, write_timeout: Duration) -> Option<TcpStream> {
    let connected = timeout(write_timeout / 4, TcpStream::connect(addr)).await;
    let connection = connected.ok()?.ok()?;
    socket::configure(connection, write_timeout).ok()
}

/// Whether a connection is still open. The peer never sends data on it, so a successful read means that it was closed.
fn is_open(connection: &TcpStream) -> bool {
    connection
        .try_read(&mut [0])
        .is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Writes a frame, and further queued frames until the write buffer is full.
async fn write(
    connection: &mut TcpStream,
    write_timeout: Duration,
    first: QueuedFrame,
    receiver: &mut Receiver<QueuedFrame>,
) -> io::Result<()> {
    let mut out = Vec::with_capacity(first.bytes().len().min(WRITE_BUFFER_BYTES) + 4);
    let mut next = Some(first);
    while let Some(frame) = next {
        let bytes = frame.bytes();
        out.extend((bytes.len() as u32).to_le_bytes());
        if bytes.len() > WRITE_BUFFER_BYTES {
            write_all(connection, write_timeout, &out).await?;
            return write_all(connection, write_timeout, bytes).await;
        }
        out.extend(bytes);
        next = if out.len() < WRITE_BUFFER_BYTES {
            receiver.try_recv().ok()
        } else {
            None
        };
    }
    write_all(connection, write_timeout, &out).await
}

/// Writes all bytes; the timeout applies to each single write.
async fn write_all(
    connection: &mut TcpStream,
    write_timeout: Duration,
    mut bytes: &[u8],
) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(write_timeout, connection.write(bytes)).await??;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}
