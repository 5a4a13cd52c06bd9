//! Frames between the system's own processes over TCP: a length, then an envelope.

mod deliver;
mod queue;
mod receive;
mod socket;

use crate::daemon::error::ProcessError;
use crate::daemon::input::Input;
use crate::settings::Limits;
use crate::wire::{pack, Body};
use queue::{NotQueued, Queue};
use rocket::tokio::net::TcpListener;
use rocket::tokio::runtime::Handle;
use rocket::tokio::task::AbortHandle;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;

/// No frame is longer than this, whatever the settings say.
const TOP: u64 = 256 << 20;
/// What a frame holds beside jobs and configuration.
const BESIDE: u64 = 16 << 20;

/// How a process talks in frames.
#[derive(Clone, Debug)]
pub struct Frames {
    pub cluster: String,
    /// Where to listen; also the name under which frames are sent.
    pub me: String,
    /// How long a connection or a write may take.
    pub patience: Duration,
    /// The longest frame in bytes.
    pub longest: u32,
}

impl Frames {
    /// The longest frame that limits allow for: the whole record, if that is not too much.
    pub fn longest(l: &Limits) -> u32 {
        l.open_jobs
            .saturating_mul(l.job_bytes)
            .saturating_add(l.config_bytes)
            .saturating_add(BESIDE)
            .min(TOP) as u32
    }

    /// A connection on which nothing comes or goes for this long is closed by the sender.
    fn idle(&self) -> Duration {
        self.patience * 30
    }
}

/// Sends frames; each receiver has a queue and a task of its own, so that a slow one holds up nobody else.
pub struct Transport {
    frames: Frames,
    handle: Handle,
    routes: HashMap<String, Queue>,
    listener: AbortHandle,
    /// Frames that found a full queue or were too long.
    pub dropped: u64,
}

/// Listens, and gives what sends.
pub fn listen(
    handle: &Handle,
    mut frames: Frames,
    inputs: Sender<Input>,
) -> Result<Transport, ProcessError> {
    let at = frames.me.clone();
    let cant = |why| ProcessError::Listen {
        at: at.clone(),
        why,
    };
    let listener = std::net::TcpListener::bind(&frames.me)
        .and_then(|l| l.set_nonblocking(true).map(|()| l))
        .map_err(cant)?;
    let me = listener.local_addr().map_err(cant)?;
    let listener = {
        let _inside = handle.enter();
        TcpListener::from_std(listener).map_err(cant)?
    };
    frames.me = me.to_string();
    let accepting = receive::accept(listener, frames.clone(), inputs);
    Ok(Transport {
        frames,
        handle: handle.clone(),
        routes: HashMap::new(),
        listener: handle.spawn(accepting).abort_handle(),
        dropped: 0,
    })
}

impl Transport {
    /// The address that others reach this one at.
    pub fn me(&self) -> &str {
        &self.frames.me
    }

    /// Queues a frame; a full queue drops it, as a network would.
    pub fn send(&mut self, to: &str, body: &Body) {
        let Ok(addr) = to.parse::<SocketAddr>() else {
            return;
        };
        let bytes = pack(&self.frames.cluster, &self.frames.me, body);
        if bytes.len() > self.frames.longest as usize {
            log::error!(
                "a frame of {} bytes for {to} is longer than {} and was not sent: lower limits.open_jobs, limits.job_bytes or limits.retain_ms",
                bytes.len(),
                self.frames.longest
            );
            self.dropped += 1;
            return;
        }
        let left = match self.routes.get(to) {
            Some(queue) => queue.push(bytes),
            None => Err(NotQueued::Closed(bytes)),
        };
        match left {
            Ok(()) => {}
            Err(NotQueued::Full) => self.dropped += 1,
            Err(NotQueued::Closed(bytes)) => {
                self.routes.retain(|_, r| !r.is_closed());
                let queue = deliver::start(&self.handle, addr, &self.frames);
                let _ = queue.push(bytes);
                self.routes.insert(to.into(), queue);
            }
        }
    }

    /// The bytes that wait for receivers.
    pub fn waiting(&self) -> usize {
        self.routes.values().map(Queue::bytes).sum()
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.listener.abort();
    }
}
