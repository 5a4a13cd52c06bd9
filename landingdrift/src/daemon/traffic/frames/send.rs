//! Sends the frames of one receiver's queue, over a connection that is opened as needed.

use super::queue::{queue, Queue, Queued};
use super::{socket, Frames};
use rocket::tokio::io::AsyncWriteExt;
use rocket::tokio::net::TcpStream;
use rocket::tokio::runtime::Handle;
use rocket::tokio::sync::mpsc::Receiver;
use rocket::tokio::time::timeout;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Small frames are written together, up to this many bytes.
const WRITE_BUFFER: usize = 16 << 10;

/// Starts the task that sends to one receiver; it ends when its queue has been empty for long.
pub fn start(handle: &Handle, addr: SocketAddr, frames: &Frames) -> Queue {
    let (queue, queued) = queue();
    let (timeout, idle_timeout) = (frames.timeout, frames.idle_timeout());
    handle.spawn(send_all(addr, timeout, idle_timeout, queued));
    queue
}

async fn send_all(
    addr: SocketAddr,
    write_timeout: Duration,
    idle_timeout: Duration,
    mut queued: Receiver<Queued>,
) {
    let mut connection: Option<TcpStream> = None;
    loop {
        let first = match timeout(idle_timeout, queued.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(_) => {
                // What was queued in the meantime is still sent, then the queue ends.
                queued.close();
                continue;
            }
        };
        connection = match connection.filter(is_open) {
            Some(open) => Some(open),
            None => connect(addr, write_timeout).await,
        };
        let Some(mut open) = connection.take() else {
            // The receiver can't be reached: what was queued meanwhile is outdated, and its senders repeat what
            // matters.
            while queued.try_recv().is_ok() {}
            continue;
        };
        let written = write(&mut open, write_timeout, first, &mut queued).await;
        connection = written.ok().map(|()| open);
    }
}

/// Connects, with a short timeout: TCP repeats a lost SYN only after a second, so that a new try reaches a machine that
/// just came up sooner.
async fn connect(addr: SocketAddr, write_timeout: Duration) -> Option<TcpStream> {
    let connected = timeout(write_timeout / 4, TcpStream::connect(addr)).await;
    let connection = connected.ok()?.ok()?;
    socket::prepare(connection, write_timeout).ok()
}

/// Whether a connection is still open. Nothing is ever received on it, so anything that can be read is its end.
fn is_open(connection: &TcpStream) -> bool {
    connection
        .try_read(&mut [0])
        .is_err_and(|why| why.kind() == io::ErrorKind::WouldBlock)
}

/// Writes a frame, and those queued after it that fit into the write buffer.
async fn write(
    connection: &mut TcpStream,
    write_timeout: Duration,
    first: Queued,
    queued: &mut Receiver<Queued>,
) -> io::Result<()> {
    let mut out = Vec::with_capacity(first.bytes().len().min(WRITE_BUFFER) + 4);
    let mut next = Some(first);
    while let Some(frame) = next {
        let bytes = frame.bytes();
        out.extend((bytes.len() as u32).to_le_bytes());
        if bytes.len() > WRITE_BUFFER {
            write_all(connection, write_timeout, &out).await?;
            return write_all(connection, write_timeout, bytes).await;
        }
        out.extend(bytes);
        next = if out.len() < WRITE_BUFFER {
            queued.try_recv().ok()
        } else {
            None
        };
    }
    write_all(connection, write_timeout, &out).await
}

/// Writes all bytes; the timeout is for each write by itself.
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
