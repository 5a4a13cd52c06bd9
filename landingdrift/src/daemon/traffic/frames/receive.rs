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

/// What is read ahead on a connection.
const AHEAD: usize = 4 << 10;

/// Why a connection ends before its peer ends it.
enum Defect {
    TooLong(u32),
    Gone,
}

impl From<Elapsed> for Defect {
    fn from(_: Elapsed) -> Self {
        Self::Gone
    }
}

impl From<io::Error> for Defect {
    fn from(_: io::Error) -> Self {
        Self::Gone
    }
}

/// Takes connections for as long as somebody takes what comes.
pub async fn accept(listener: TcpListener, frames: Frames, inputs: Sender<Input>) {
    loop {
        match listener.accept().await {
            Ok((c, _)) => {
                let (frames, inputs) = (frames.clone(), inputs.clone());
                rocket::tokio::spawn(async move {
                    if let Ok(c) = socket::prepare(c, frames.patience) {
                        receive(&frames, c, &inputs).await;
                    }
                });
            }
            Err(e) => {
                log::warn!("no connection can be taken ({e}): raise the limit on open files");
                sleep(frames.patience).await;
            }
        }
    }
}

async fn receive(frames: &Frames, c: impl AsyncRead + Unpin, inputs: &Sender<Input>) {
    let mut r = BufReader::with_capacity(AHEAD, c);
    let mut said = false;
    loop {
        let bytes = match frame(frames, &mut r).await {
            Ok(bytes) => bytes,
            Err(Defect::TooLong(n)) => {
                log::warn!("a connection announced a frame of {n} bytes, more than {}: closed; point it at the HTTP address if it speaks HTTP, else give both processes the same limits", frames.longest);
                return;
            }
            Err(Defect::Gone) => return,
        };
        match unpack(&frames.cluster, &bytes) {
            Ok(env) => {
                let msg = Msg::Wire(env.from, env.body);
                if inputs.send(Input::Msg(msg)).is_err() {
                    return;
                }
            }
            Err(e) if !std::mem::replace(&mut said, true) => log::warn!("frame refused: {e}"),
            Err(_) => {}
        }
    }
}

/// The next frame; memory grows with the bytes that are there, not with the length announced.
async fn frame(frames: &Frames, r: &mut (impl AsyncRead + Unpin)) -> Result<Vec<u8>, Defect> {
    // A sender closes an idle connection itself; one that is silent for twice as long is dead.
    let most = frames.idle() * 2;
    let mut len = [0; 4];
    timeout(most, r.read_exact(&mut len)).await??;
    let n = u32::from_le_bytes(len);
    (n <= frames.longest)
        .then_some(())
        .ok_or(Defect::TooLong(n))?;
    let mut bytes = Vec::with_capacity((n as usize).min(AHEAD));
    let mut rest = r.take(u64::from(n));
    while rest.limit() > 0 {
        let got = timeout(most, rest.read_buf(&mut bytes)).await??;
        (got > 0).then_some(()).ok_or(Defect::Gone)?;
    }
    Ok(bytes)
}
