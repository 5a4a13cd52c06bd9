//! Receives frames on the connections of other processes.

use super::{socket, Frames};
use crate::daemon::input::Input;
use crate::sans_io::Msg;
use crate::wire::unpack;
use rocket::tokio::io::{AsyncRead, AsyncReadExt, BufReader};
use rocket::tokio::net::TcpListener;
use rocket::tokio::time::error::Elapsed;
use rocket::tokio::time::{sleep, timeout};
use std::io;
use std::sync::mpsc::Sender;

/// The read buffer of a connection, in bytes.
const READ_BUFFER: usize = 4 << 10;

/// Why no further frame is read from a connection.
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

/// Accepts connections until the task is aborted.
pub async fn accept(listener: TcpListener, frames: Frames, inputs: Sender<Input>) {
    loop {
        match listener.accept().await {
            Ok((connection, _)) => {
                let (frames, inputs) = (frames.clone(), inputs.clone());
                rocket::tokio::spawn(async move {
                    if let Ok(connection) = socket::prepare(connection, frames.timeout) {
                        receive(&frames, connection, &inputs).await;
                    }
                });
            }
            Err(why) => {
                log::warn!("no connection can be taken ({why}): raise the limit on open files");
                sleep(frames.timeout).await;
            }
        }
    }
}

/// Receives frames until the connection ends or the control thread has ended.
async fn receive(frames: &Frames, connection: impl AsyncRead + Unpin, inputs: &Sender<Input>) {
    let mut reader = BufReader::with_capacity(READ_BUFFER, connection);
    let mut refusal_logged = false;
    loop {
        let bytes = match read_frame(frames, &mut reader).await {
            Ok(bytes) => bytes,
            Err(ReceiveError::FrameTooLong(length)) => {
                log::warn!("a connection announced a frame of {length} bytes, more than {}: closed; point it at the HTTP address if it speaks HTTP, else give both processes the same limits", frames.max_frame_bytes);
                return;
            }
            Err(ReceiveError::Disconnected) => return,
        };
        match unpack(&frames.cluster, &bytes) {
            Ok(envelope) => {
                let msg = Msg::Wire(envelope.from, envelope.body);
                if inputs.send(Input::Msg(msg)).is_err() {
                    return;
                }
            }
            // Logged once: a process of another version would fill the log.
            Err(why) if !refusal_logged => {
                refusal_logged = true;
                log::warn!("frame refused: {why}");
            }
            Err(_) => {}
        }
    }
}

/// Reads the next frame. Memory grows with the bytes received, not with the length announced.
async fn read_frame(
    frames: &Frames,
    reader: &mut (impl AsyncRead + Unpin),
) -> Result<Vec<u8>, ReceiveError> {
    // A sender closes an idle connection itself; one that is silent for twice as long is dead.
    let dead_after = frames.idle_timeout() * 2;
    let mut length = [0; 4];
    timeout(dead_after, reader.read_exact(&mut length)).await??;
    let length = u32::from_le_bytes(length);
    if length > frames.max_frame_bytes {
        return Err(ReceiveError::FrameTooLong(length));
    }
    let mut bytes = Vec::with_capacity((length as usize).min(READ_BUFFER));
    let mut rest = reader.take(u64::from(length));
    while rest.limit() > 0 {
        let received = timeout(dead_after, rest.read_buf(&mut bytes)).await??;
        if received == 0 {
            return Err(ReceiveError::Disconnected);
        }
    }
    Ok(bytes)
}
