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

/// Frames that are small go out together up to this many bytes.
const GATHERED: usize = 16 << 10;

/// Starts the task that delivers to one receiver; it ends when nothing is to be delivered for long.
pub fn start(handle: &Handle, addr: SocketAddr, frames: &Frames) -> Queue {
    let (queue, rx) = queue();
    handle.spawn(deliver(addr, frames.patience, frames.idle(), rx));
    queue
}

async fn deliver(addr: SocketAddr, patience: Duration, idle: Duration, mut rx: Receiver<Queued>) {
    let mut conn: Option<TcpStream> = None;
    loop {
        let first = match timeout(idle, rx.recv()).await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return,
            Err(_) => {
                // What was queued in the meantime still goes out, then the queue ends.
                rx.close();
                continue;
            }
        };
        conn = match conn.filter(stands) {
            Some(c) => Some(c),
            None => connect(addr, patience).await,
        };
        let Some(mut c) = conn.take() else {
            // What piled up while nobody answered is old news.
            while rx.try_recv().is_ok() {}
            continue;
        };
        conn = write(&mut c, patience, first, &mut rx)
            .await
            .ok()
            .map(|()| c);
    }
}

/// A lost opening packet is sent again by TCP only after a second: trying anew reaches a machine that just came up sooner.
async fn connect(addr: SocketAddr, patience: Duration) -> Option<TcpStream> {
    timeout(patience / 4, TcpStream::connect(addr))
        .await
        .ok()?
        .and_then(|c| socket::prepare(c, patience))
        .ok()
}

/// Nothing ever comes back on these connections: whatever can be read is their end.
fn stands(c: &TcpStream) -> bool {
    c.try_read(&mut [0])
        .is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

async fn write(
    c: &mut TcpStream,
    patience: Duration,
    first: Queued,
    rx: &mut Receiver<Queued>,
) -> io::Result<()> {
    let mut out = Vec::with_capacity(first.bytes().len().min(GATHERED) + 4);
    let mut next = Some(first);
    while let Some(frame) = next {
        let bytes = frame.bytes();
        out.extend((bytes.len() as u32).to_le_bytes());
        if bytes.len() > GATHERED {
            push(c, patience, &out).await?;
            return push(c, patience, bytes).await;
        }
        out.extend(bytes);
        next = Some(())
            .filter(|()| out.len() < GATHERED)
            .and_then(|()| rx.try_recv().ok());
    }
    push(c, patience, &out).await
}

/// Writes all; each piece may take as long as patience lasts.
async fn push(c: &mut TcpStream, patience: Duration, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let n = timeout(patience, c.write(bytes)).await??;
        bytes = bytes
            .get(n..)
            .filter(|_| n > 0)
            .ok_or(io::ErrorKind::WriteZero)?;
    }
    Ok(())
}
