//! Frames between the processes of a cluster over TCP: a 32-bit little-endian length, then an envelope.

mod queue;
mod receive;
mod send;
mod socket;

use crate::daemon::error::ProcessError;
use crate::daemon::input::Input;
use crate::settings::Limits;
use crate::wire::{pack, Body};
use queue::{PushError, Queue};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::task::AbortHandle;

/// The maximum length of a frame, regardless of the settings.
const FRAME_BYTES_CAP: u64 = 256 << 20;
/// The maximum size of a frame beyond the jobs and configuration in it.
const FRAME_OVERHEAD_BYTES: u64 = 16 << 20;

/// The idle timeout of a connection, as a multiple of the write timeout.
const IDLE_TIMEOUT_FACTOR: u32 = 30;

/// Options for exchanging frames with other processes.
#[derive(Clone, Debug)]
pub struct FrameOptions {
    /// The cluster that this process belongs to; frames of other clusters are rejected.
    pub cluster: String,
    /// The address to listen at, which is also the sender address in all frames.
    pub own_address: String,
    /// The timeout of a single write. The connect timeout is a quarter of it.
    pub timeout: Duration,
    /// The longest frame that is sent or received, in bytes.
    pub max_frame_bytes: u32,
}

impl FrameOptions {
    /// The longest frame that the limits require: a frame with the whole cluster state, up to a cap.
    pub fn max_frame_bytes(limits: &Limits) -> u32 {
        limits
            .open_jobs
            .saturating_mul(limits.job_bytes)
            .saturating_add(limits.config_bytes)
            .saturating_add(FRAME_OVERHEAD_BYTES)
            .min(FRAME_BYTES_CAP) as u32
    }

    /// The time for which a sender keeps an idle connection open.
    fn idle_timeout(&self) -> Duration {
        self.timeout * IDLE_TIMEOUT_FACTOR
    }
}

/// Sends frames. Each receiver has its own queue and task, so that a slow receiver does not delay the others.
pub struct Transport {
    options: FrameOptions,
    handle: Handle,
    queues: HashMap<String, Queue>,
    listener: AbortHandle,
    /// The number of frames that were dropped because a queue was full or because they were too long.
    pub dropped: u64,
}

/// Starts listening; returns the transport that sends from the same address.
pub fn listen(
    handle: &Handle,
    mut options: FrameOptions,
    inputs: Sender<Input>,
) -> Result<Transport, ProcessError> {
    let requested_address = options.own_address.clone();
    let listen_error = |error| ProcessError::Listen {
        at: requested_address.clone(),
        error,
    };
    let listener = std::net::TcpListener::bind(&options.own_address)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    let listener = {
        let _runtime = handle.enter();
        TcpListener::from_std(listener).map_err(listen_error)?
    };
    options.own_address = bound.to_string();
    let accepting = receive::accept(listener, options.clone(), inputs);
    Ok(Transport {
        options,
        handle: handle.clone(),
        queues: HashMap::new(),
        listener: handle.spawn(accepting).abort_handle(),
        dropped: 0,
    })
}

impl Transport {
    /// The address at which other processes reach this one.
    pub fn own_address(&self) -> &str {
        &self.options.own_address
    }

    /// Queues a frame for a receiver, best effort: drops the frame if the queue is full, the frame is too long or the
    /// address is invalid.
    pub fn send(&mut self, to: &str, body: &Body) {
        let Ok(addr) = to.parse::<SocketAddr>() else {
            return;
        };
        let bytes = pack(&self.options.cluster, &self.options.own_address, body);
        if bytes.len() > self.options.max_frame_bytes as usize {
            log::error!(
                "dropped a frame of {} bytes for {to}: longer than the limit of {} bytes; lower limits.open_jobs, limits.job_bytes or limits.retain_ms",
                bytes.len(),
                self.options.max_frame_bytes
            );
            self.dropped += 1;
            return;
        }
        let push_result = match self.queues.get(to) {
            Some(queue) => queue.push(bytes),
            None => Err(PushError::Closed(bytes)),
        };
        match push_result {
            Ok(()) => {}
            Err(PushError::Full) => self.dropped += 1,
            Err(PushError::Closed(bytes)) => {
                self.queues.retain(|_, queue| !queue.is_closed());
                let queue = send::start(&self.handle, addr, &self.options);
                let _ = queue.push(bytes);
                self.queues.insert(to.into(), queue);
            }
        }
    }

    /// The total size of the frames in all queues, in bytes.
    pub fn queued_bytes(&self) -> usize {
        self.queues.values().map(Queue::bytes).sum()
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.listener.abort();
    }
}
