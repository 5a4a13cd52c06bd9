//! The thread that writes a replica's data folder, and retries while the disk returns errors.

use super::error::ProcessError;
use super::input::Input;
use super::threads;
use crate::disk::{DataFolder, StorageError};
use crate::sans_io::{Msg, WriteBatch};
use crate::settings::Bounds;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::sleep;
use std::time::Duration;

/// Storage that the disk writer writes to; a [`DataFolder`] outside of tests.
pub trait Store: Send {
    /// Writes the batches and syncs once. They are durable only if this succeeds.
    fn save(&mut self, batches: &[WriteBatch]) -> Result<(), StorageError>;
    /// Makes the store usable after a failed write: keeps all acknowledged data and removes what was
    /// written of the failed batches.
    fn recover(&mut self) -> Result<(), StorageError>;
}

impl Store for DataFolder {
    fn save(&mut self, batches: &[WriteBatch]) -> Result<(), StorageError> {
        DataFolder::save(self, batches)
    }
    fn recover(&mut self) -> Result<(), StorageError> {
        DataFolder::recover(self)
    }
}

/// Exponential backoff between attempts to write to a failing disk: each pause is twice as long as the one before, up
/// to `longest`.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The pause before the next attempt.
    pub next: Duration,
    /// The longest pause.
    pub longest: Duration,
}

impl Backoff {
    /// Backoff that starts at one heartbeat interval and is capped at the longest disk retry interval under these
    /// bounds.
    pub fn from_bounds(bounds: &Bounds) -> Self {
        Self {
            next: Duration::from_millis(bounds.heartbeat_interval()),
            longest: Duration::from_millis(bounds.max_disk_retry_interval()),
        }
    }
}

impl Iterator for Backoff {
    type Item = Duration;
    fn next(&mut self) -> Option<Duration> {
        let pause = self.next;
        self.next = (pause * 2).min(self.longest);
        Some(pause)
    }
}

/// A handle to the disk thread, which writes all queued batches together and syncs once (group commit).
pub struct DiskWriter(Sender<WriteBatch>);

impl DiskWriter {
    /// Starts the thread. It sends `inputs` a message for durable batches and for each failed write, and pauses as
    /// `backoff` says before it writes again.
    pub fn start(
        store: impl Store + 'static,
        inputs: Sender<Input>,
        backoff: Backoff,
    ) -> Result<Self, ProcessError> {
        let (batch_sender, batch_receiver) = channel::<WriteBatch>();
        threads::spawn("disk", threads::DEFAULT_STACK_BYTES, move || {
            write_all(store, &batch_receiver, &inputs, backoff);
        })?;
        Ok(Self(batch_sender))
    }

    /// Queues a batch; the control thread receives [`Msg::Persisted`] once it is durable.
    pub fn save(&self, batch: WriteBatch) {
        let _ = self.0.send(batch);
    }
}

/// Writes queued batches until the queue is closed or the control thread has ended.
fn write_all(
    mut store: impl Store,
    batch_receiver: &Receiver<WriteBatch>,
    inputs: &Sender<Input>,
    backoff: Backoff,
) {
    while let Ok(first) = batch_receiver.recv() {
        let mut batches = vec![first];
        batches.extend(batch_receiver.try_iter());
        let write_id = batches.last().map_or(0, |last| last.write_id);
        let durable = save_with_retries(&mut store, &batches, inputs, backoff);
        if durable.is_none() || inputs.send(Input::Msg(Msg::Persisted(write_id))).is_err() {
            return;
        }
    }
}

/// Retries until the batches are durable; `None` if the control thread has ended.
fn save_with_retries(
    store: &mut impl Store,
    batches: &[WriteBatch],
    inputs: &Sender<Input>,
    mut backoff: Backoff,
) -> Option<()> {
    let mut saved = store.save(batches);
    while let Err(error) = saved {
        let failure = Msg::WriteFailed(error.to_string());
        inputs.send(Input::Msg(failure)).ok()?;
        sleep(backoff.next().unwrap_or_default());
        // Partly written batches are truncated first, then all batches are written again in order.
        saved = store.recover().and_then(|()| store.save(batches));
    }
    Some(())
}
