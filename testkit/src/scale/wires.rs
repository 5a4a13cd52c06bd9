use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, Sender, SyncSender};
use std::thread;
use std::time::Duration;

const LONGEST: u32 = 256 << 20;
const QUEUE: usize = 8192;
const PATIENCE: Duration = Duration::from_millis(500);

/// Frames to and from real processes; all hollow nodes share one connection to each of them.
#[derive(Default)]
pub struct Wires {
    out: HashMap<String, SyncSender<Vec<u8>>>,
    pub dropped: u64,
}

/// Hands each frame that comes to an address on.
pub fn listen<T: Send + 'static>(
    addr: &str,
    inputs: &Sender<T>,
    of: impl Fn(Vec<u8>) -> T + Clone + Send + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    let inputs = inputs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().filter_map(Result::ok) {
            let (inputs, of) = (inputs.clone(), of.clone());
            thread::spawn(move || receive(stream, &inputs, of));
        }
    });
    Ok(())
}

fn receive<T>(stream: TcpStream, inputs: &Sender<T>, of: impl Fn(Vec<u8>) -> T) {
    let mut r = BufReader::new(stream);
    let mut len = [0u8; 4];
    while r.read_exact(&mut len).is_ok() {
        let n = u32::from_le_bytes(len);
        let mut bytes = Vec::new();
        let whole = n <= LONGEST
            && r.by_ref()
                .take(u64::from(n))
                .read_to_end(&mut bytes)
                .is_ok_and(|got| got == n as usize);
        if !whole || inputs.send(of(bytes)).is_err() {
            return;
        }
    }
}

fn deliver(addr: SocketAddr, rx: &Receiver<Vec<u8>>) {
    let mut conn: Option<TcpStream> = None;
    while let Ok(bytes) = rx.recv() {
        if conn.is_none() {
            conn = TcpStream::connect_timeout(&addr, PATIENCE)
                .ok()
                .filter(|c| c.set_nodelay(true).is_ok());
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

impl Wires {
    /// Queues a frame; a full queue drops it, as a network would.
    pub fn send(&mut self, to: &str, bytes: Vec<u8>) {
        let Ok(addr) = to.parse::<SocketAddr>() else {
            return;
        };
        let tx = self.out.entry(to.into()).or_insert_with(|| {
            let (tx, rx) = sync_channel(QUEUE);
            thread::spawn(move || deliver(addr, &rx));
            tx
        });
        self.dropped += u64::from(tx.try_send(bytes).is_err());
    }
}
