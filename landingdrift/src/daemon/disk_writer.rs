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
    /// Writes a batch and syncs once. The batch is durable only if this succeeds.
    fn save(&mut self, batch: &[WriteBatch]) -> Result<(), StorageError>;
    /// Makes the store usable after a failed write: keeps all acknowledged data, and nothing of the failed batch.
    fn recover(&mut self) -> Result<(), StorageError>;
}

impl Store for DataFolder {
    fn save(&mut self, batch: &[WriteBatch]) -> Result<(), StorageError> {
        DataFolder::save(self, batch)
    }
    fn recover(&mut self) -> Result<(), StorageError> {
        DataFolder::recover(self)
    }
}

/// Exponential backoff between attempts to write to a failing disk: each pause is twice as long as the one before.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The pause before the next attempt.
    pub next: Duration,
    /// The longest pause.
    pub longest: Duration,
}

impl Backoff {
    /// Backoff from one heartbeat interval up to the longest pause that the time bounds allow for a disk.
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
    /// Starts the thread.
    pub fn start(
        store: impl Store + 'static,
        inputs: Sender<Input>,
        backoff: Backoff,
    ) -> Result<Self, ProcessError> {
        let (queue, queued) = channel::<WriteBatch>();
        threads::spawn("disk", threads::DEFAULT_STACK_BYTES, move || {
            write_all(store, &queued, &inputs, backoff);
        })?;
        Ok(Self(queue))
    }

    /// Queues a batch; the control thread receives [`Msg::Persisted`] once it is durable.
    pub fn save(&self, batch: WriteBatch) {
        let _ = self.0.send(batch);
    }
}

/// Writes queued batches until the queue is closed or the control thread has ended.
fn write_all(
    mut store: impl Store,
    queued: &Receiver<WriteBatch>,
    inputs: &Sender<Input>,
    backoff: Backoff,
) {
    while let Ok(first) = queued.recv() {
        let mut batch = vec![first];
        batch.extend(queued.try_iter());
        let write_id = batch.last().map_or(0, |last| last.write_id);
        let written = save_with_retries(&mut store, &batch, inputs, backoff);
        if written.is_none() || inputs.send(Input::Msg(Msg::Persisted(write_id))).is_err() {
            return;
        }
    }
}

/// Retries until the batch is durable; `None` if the control thread has ended.
fn save_with_retries(
    store: &mut impl Store,
    batch: &[WriteBatch],
    inputs: &Sender<Input>,
    mut backoff: Backoff,
) -> Option<()> {
    let mut written = store.save(batch);
    while let Err(error) = written {
        let failure = Msg::DiskFailed(error.to_string());
        inputs.send(Input::Msg(failure)).ok()?;
        sleep(backoff.next().unwrap_or_default());
        // A partly written batch is truncated first, then the whole batch is written again in order.
        written = store.recover().and_then(|()| store.save(batch));
    }
    Some(())
}
