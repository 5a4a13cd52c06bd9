//! Frames between the system's own processes over TCP: a length, then an envelope.

use super::control::Input;
use crate::kernel::Msg;
use crate::wire::{pack, unpack, Body};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, Sender, SyncSender, TrySendError};
use std::thread;
use std::time::Duration;

/// A frame is not longer than this.
const LONGEST: u32 = 256 << 20;
/// Frames that wait for one receiver.
const QUEUE: usize = 4096;

/// Sends frames; each receiver has a thread of its own, so that a slow one holds up nobody else.
pub struct Transport {
    cluster: String,
    me: String,
    patience: Duration,
    out: HashMap<String, SyncSender<Vec<u8>>>,
    pub dropped: u64,
}

impl Transport {
    /// Listens at `me` and hands what comes to `inputs`.
    pub fn start(
        cluster: &str,
        me: &str,
        patience: Duration,
        inputs: Sender<Input>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(me)?;
        let of = cluster.to_string();
        thread::spawn(move || {
            for stream in listener.incoming().filter_map(Result::ok) {
                let (of, inputs) = (of.clone(), inputs.clone());
                thread::spawn(move || receive(&of, stream, &inputs));
            }
        });
        Ok(Self {
            cluster: cluster.into(),
            me: me.into(),
            patience,
            out: HashMap::new(),
            dropped: 0,
        })
    }

    /// Queues a frame; a full queue drops it, as a network would.
    pub fn send(&mut self, to: &str, body: &Body) {
        let Ok(addr) = to.parse::<SocketAddr>() else {
            return;
        };
        let bytes = pack(&self.cluster, &self.me, body);
        let patience = self.patience;
        let tx = self.out.entry(to.into()).or_insert_with(|| {
            let (tx, rx) = sync_channel(QUEUE);
            thread::spawn(move || deliver(addr, patience, &rx));
            tx
        });
        match tx.try_send(bytes) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => self.dropped += 1,
            Err(TrySendError::Disconnected(_)) => {
                self.out.remove(to);
            }
        }
    }
}

fn deliver(addr: SocketAddr, patience: Duration, rx: &Receiver<Vec<u8>>) {
    let mut conn: Option<TcpStream> = None;
    while let Ok(bytes) = rx.recv() {
        if conn.is_none() {
            conn = TcpStream::connect_timeout(&addr, patience)
                .ok()
                .filter(|c| {
                    c.set_nodelay(true)
                        .and_then(|()| c.set_write_timeout(Some(patience)))
                        .is_ok()
                });
            if conn.is_none() {
                // What piled up while nobody answered is old news.
                while rx.try_recv().is_ok() {}
                continue;
            }
        }
        let sent = conn.as_mut().is_some_and(|c| {
            c.write_all(&(bytes.len() as u32).to_le_bytes())
                .and_then(|()| c.write_all(&bytes))
                .is_ok()
        });
        if !sent {
            conn = None;
        }
    }
}

fn receive(cluster: &str, stream: TcpStream, inputs: &Sender<Input>) {
    let _ = stream.set_nodelay(true);
    let mut r = BufReader::new(stream);
    let mut said = false;
    let mut len = [0u8; 4];
    while r.read_exact(&mut len).is_ok() {
        let n = u32::from_le_bytes(len);
        if n > LONGEST {
            log::warn!("a connection sent no frame of this system: closed; point it at the HTTP address instead");
            return;
        }
        let mut bytes = Vec::new();
        if r.by_ref()
            .take(u64::from(n))
            .read_to_end(&mut bytes)
            .map_or(true, |got| got != n as usize)
        {
            return;
        }
        match unpack(cluster, &bytes) {
            Ok(env) => {
                if inputs
                    .send(Input::Msg(Msg::Wire(env.from, env.body)))
                    .is_err()
                {
                    return;
                }
            }
            Err(e) if !std::mem::replace(&mut said, true) => log::warn!("frame refused: {e}"),
            Err(_) => {}
        }
    }
}
