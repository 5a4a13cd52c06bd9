//! Frames between the cluster's own processes over TCP: a length, then an envelope.

mod queue;
mod receive;
mod send;
mod socket;

use crate::daemon::error::ProcessError;
use crate::daemon::input::Input;
use crate::settings::Limits;
use crate::wire::{pack, Body};
use queue::{PushError, Queue};
use rocket::tokio::net::TcpListener;
use rocket::tokio::runtime::Handle;
use rocket::tokio::task::AbortHandle;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;

/// No frame is longer than this, whatever the settings say, in bytes.
const FRAME_BYTES_CAP: u64 = 256 << 20;
/// What a frame may have beside jobs and the configuration, in bytes.
const FRAME_OVERHEAD: u64 = 16 << 20;

/// A connection is idle after so many times the timeout of a write.
const IDLE_TIMEOUTS: u32 = 30;

/// How a process exchanges frames.
#[derive(Clone, Debug)]
pub struct Frames {
    /// The cluster that this process belongs to; frames of others are refused.
    pub cluster: String,
    /// Where to listen; also the sender of all frames.
    pub own_address: String,
    /// How long connecting or a write may take.
    pub timeout: Duration,
    /// The longest frame in bytes.
    pub max_frame_bytes: u32,
}

impl Frames {
    /// The longest frame that the limits require: one with the whole cluster state, up to a cap.
    pub fn max_frame_bytes(limits: &Limits) -> u32 {
        limits
            .open_jobs
            .saturating_mul(limits.job_bytes)
            .saturating_add(limits.config_bytes)
            .saturating_add(FRAME_OVERHEAD)
            .min(FRAME_BYTES_CAP) as u32
    }

    /// A sender closes a connection on which it has sent nothing for this long.
    fn idle_timeout(&self) -> Duration {
        self.timeout * IDLE_TIMEOUTS
    }
}

/// Sends frames. Each receiver has a queue and a task of its own, so that a slow one does not delay the others.
pub struct Transport {
    frames: Frames,
    handle: Handle,
    queues: HashMap<String, Queue>,
    listener: AbortHandle,
    /// How many frames were dropped because a queue was full or they were too long.
    pub dropped: u64,
}

/// Listens, and returns the transport that sends from the same address.
pub fn listen(
    handle: &Handle,
    mut frames: Frames,
    inputs: Sender<Input>,
) -> Result<Transport, ProcessError> {
    let at = frames.own_address.clone();
    let listen_error = |why| ProcessError::Listen {
        at: at.clone(),
        why,
    };
    let listener = std::net::TcpListener::bind(&frames.own_address)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    let listener = {
        let _runtime = handle.enter();
        TcpListener::from_std(listener).map_err(listen_error)?
    };
    frames.own_address = bound.to_string();
    let accepting = receive::accept(listener, frames.clone(), inputs);
    Ok(Transport {
        frames,
        handle: handle.clone(),
        queues: HashMap::new(),
        listener: handle.spawn(accepting).abort_handle(),
        dropped: 0,
    })
}

impl Transport {
    /// The address that others reach this one at.
    pub fn own_address(&self) -> &str {
        &self.frames.own_address
    }

    /// Queues a frame; it is dropped if the queue is full, as a network would do.
    pub fn send(&mut self, to: &str, body: &Body) {
        let Ok(addr) = to.parse::<SocketAddr>() else {
            return;
        };
        let bytes = pack(&self.frames.cluster, &self.frames.own_address, body);
        if bytes.len() > self.frames.max_frame_bytes as usize {
            log::error!(
                "a frame of {} bytes for {to} is longer than {} and was not sent: lower limits.open_jobs, limits.job_bytes or limits.retain_ms",
                bytes.len(),
                self.frames.max_frame_bytes
            );
            self.dropped += 1;
            return;
        }
        let pushed = match self.queues.get(to) {
            Some(queue) => queue.push(bytes),
            None => Err(PushError::Closed(bytes)),
        };
        match pushed {
            Ok(()) => {}
            Err(PushError::Full) => self.dropped += 1,
            Err(PushError::Closed(bytes)) => {
                self.queues.retain(|_, queue| !queue.is_closed());
                let queue = send::start(&self.handle, addr, &self.frames);
                let _ = queue.push(bytes);
                self.queues.insert(to.into(), queue);
            }
        }
    }

    /// The bytes that are queued for all receivers.
    pub fn queued_bytes(&self) -> usize {
        self.queues.values().map(Queue::bytes).sum()
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.listener.abort();
    }
}
