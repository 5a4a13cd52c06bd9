//! Accepts connections from other processes and receives their frames.

use super::{socket, FrameOptions};
use crate::daemon::input::Input;
use crate::sans_io::Msg;
use crate::wire::unpack;
use std::io;
use std::sync::mpsc::Sender;
use tokio::io::{AsyncRead, AsyncReadExt, BufReader};
use tokio::net::TcpListener;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};

/// The size of a connection's read buffer.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// The reason for which reading from a connection ended.
enum ReceiveError {
    FrameTooLong(u32),
    Disconnected,
}

impl From<Elapsed> for ReceiveError {
    fn from(_: Elapsed) -> Self {
        Self::Disconnected
    }
}

impl From<io::Error> for ReceiveError {
    fn from(_: io::Error) -> Self {
        Self::Disconnected
    }
}

/// Accepts connections and spawns a task for each. Runs until it is aborted.
pub async fn accept(listener: TcpListener, options: FrameOptions, inputs: Sender<Input>) {
    loop {
        match listener.accept().await {
            Ok((connection, _)) => {
                let (options, inputs) = (options.clone(), inputs.clone());
                tokio::spawn(async move {
                    if let Ok(connection) = socket::configure(connection, options.timeout) {
                        receive(&options, connection, &inputs).await;
                    }
                });
            }
            Err(error) => {
                log::warn!("failed to accept a connection: {error}; raise the limit on open files");
                sleep(options.timeout).await;
            }
        }
    }
}

/// Receives frames until the connection or the control thread ends.
async fn receive(
    options: &FrameOptions,
    connection: impl AsyncRead + Unpin,
    inputs: &Sender<Input>,
) {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, connection);
    let mut rejection_logged = false;
    loop {
        let bytes = match read_frame(options, &mut reader).await {
            Ok(bytes) => bytes,
            Err(ReceiveError::FrameTooLong(length)) => {
                log::warn!("closing a connection: a frame of {length} bytes exceeds the limit of {} bytes; if the peer speaks HTTP, point it at the HTTP address, otherwise give both processes the same limits", options.max_frame_bytes);
                return;
            }
            Err(ReceiveError::Disconnected) => return,
        };
        match unpack(&options.cluster, &bytes) {
            Ok(envelope) => {
                let msg = Msg::Received(envelope.from, envelope.body);
                if inputs.send(Input::Msg(msg)).is_err() {
                    return;
                }
            }
            // Logged once per connection, because a process of another version would flood the log.
            Err(error) if !rejection_logged => {
                rejection_logged = true;
                log::warn!("rejected a frame: {error}");
            }
            Err(_) => {}
        }
    }
}

/// Reads the next frame. Memory is allocated as bytes arrive, not for the announced length.
async fn read_frame(
    options: &FrameOptions,
    reader: &mut (impl AsyncRead + Unpin),
) -> Result<Vec<u8>, ReceiveError> {
    // A sender closes its own idle connections, so one that is still open after twice the idle timeout is dead.
    let dead_after = options.idle_timeout() * 2;
    let mut length = [0; 4];
    timeout(dead_after, reader.read_exact(&mut length)).await??;
    let length = u32::from_le_bytes(length);
    if length > options.max_frame_bytes {
        return Err(ReceiveError::FrameTooLong(length));
    }
    let mut bytes = Vec::with_capacity((length as usize).min(READ_BUFFER_BYTES));
    let mut rest = reader.take(u64::from(length));
    while rest.limit() > 0 {
        let received = timeout(dead_after, rest.read_buf(&mut bytes)).await??;
        if received == 0 {
            return Err(ReceiveError::Disconnected);
        }
    }
    Ok(bytes)
}
