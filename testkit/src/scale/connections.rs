//! Frames to and from real processes over TCP, each with its length before it.

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, Sender, SyncSender};
use std::thread;
use std::time::Duration;

/// The longest frame that is read, in bytes; a snapshot of the largest state is far smaller.
const MAX_FRAME_BYTES: u32 = 256 << 20;
/// Frames that wait for a connection before more are dropped.
const QUEUED_FRAMES: usize = 8192;
/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections to real processes; all hollow nodes share one to each of them.
#[derive(Default)]
pub struct Connections {
    queues: HashMap<String, SyncSender<Vec<u8>>>,
    /// Frames that were dropped since a queue was full.
    pub dropped: u64,
}

/// Listens at an address and sends on what `input` makes of each frame.
pub fn listen<T: Send + 'static>(
    address: &str,
    inputs: &Sender<T>,
    input: impl Fn(Vec<u8>) -> T + Clone + Send + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let inputs = inputs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().filter_map(Result::ok) {
            let (inputs, input) = (inputs.clone(), input.clone());
            thread::spawn(move || receive(stream, &inputs, input));
        }
    });
    Ok(())
}

fn receive<T>(stream: TcpStream, inputs: &Sender<T>, input: impl Fn(Vec<u8>) -> T) {
    let mut reader = BufReader::new(stream);
    while let Some(frame) = read_frame(&mut reader) {
        if inputs.send(input(frame)).is_err() {
            return;
        }
    }
}

/// The next frame; none when the connection ends or what comes is no frame.
fn read_frame(reader: &mut impl Read) -> Option<Vec<u8>> {
    let mut length = [0u8; 4];
    reader.read_exact(&mut length).ok()?;
    let length = u32::from_le_bytes(length);
    if length > MAX_FRAME_BYTES {
        return None;
    }
    let mut frame = Vec::new();
    let read = reader
        .take(u64::from(length))
        .read_to_end(&mut frame)
        .ok()?;
    (read == length as usize).then_some(frame)
}

/// Sends frames one after the other; a frame that can't be sent is lost, as the protocol expects.
fn send_frames(address: SocketAddr, frames: &Receiver<Vec<u8>>) {
    let mut connection: Option<TcpStream> = None;
    while let Ok(frame) = frames.recv() {
        connection = connection.or_else(|| connect(address));
        let is_sent = connection
            .as_mut()
            .is_some_and(|stream| write_frame(stream, &frame).is_ok());
        if !is_sent {
            connection = None;
        }
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> std::io::Result<()> {
    stream.write_all(&(frame.len() as u32).to_le_bytes())?;
    stream.write_all(frame)
}

impl Connections {
    /// Queues a frame; a full queue drops it, as a network would.
    pub fn send(&mut self, to: &str, frame: Vec<u8>) {
        let Ok(address) = to.parse::<SocketAddr>() else {
            return;
        };
        let queue = self.queues.entry(to.into()).or_insert_with(|| {
            let (sender, frames) = sync_channel(QUEUED_FRAMES);
            thread::spawn(move || send_frames(address, &frames));
            sender
        });
        self.dropped += u64::from(queue.try_send(frame).is_err());
    }
}
