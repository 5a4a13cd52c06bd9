//! The thread that writes a replica's data folder, and tries again while its disk refuses.

use super::error::ProcessError;
use super::input::Input;
use super::threads;
use crate::disk::{DataFolder, StorageError};
use crate::sans_io::{Msg, WriteBatch};
use crate::settings::Bounds;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::sleep;
use std::time::Duration;

/// What the disk writer needs of a data folder.
pub trait Store: Send {
    /// Writes a batch and syncs once; nothing of it counts unless this succeeds.
    fn save(&mut self, batch: &[WriteBatch]) -> Result<(), StorageError>;
    /// Makes the store usable after a failure: it keeps what was confirmed, and no part of the batch that failed.
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

/// The pauses before a disk that refused is tried again; each is twice the one before.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The pause before the next attempt.
    pub next: Duration,
    /// The longest pause.
    pub longest: Duration,
}

impl Backoff {
    /// The pauses that the bounds allow for.
    pub fn of(bounds: &Bounds) -> Self {
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

/// The thread that writes: all that is queued is written together and synced once.
pub struct DiskWriter(Sender<WriteBatch>);

impl DiskWriter {
    /// Starts the thread.
    pub fn start(
        store: impl Store + 'static,
        inputs: Sender<Input>,
        backoff: Backoff,
    ) -> Result<Self, ProcessError> {
        let (queue, queued) = channel::<WriteBatch>();
        threads::spawn("disk", threads::SMALL, move || {
            write_all(store, &queued, &inputs, backoff);
        })?;
        Ok(Self(queue))
    }

    /// Queues a batch to be written.
    pub fn save(&self, batch: WriteBatch) {
        let _ = self.0.send(batch);
    }
}

/// Writes until the queue is closed, or the control thread has ended.
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

/// Tries until the batch is durable; `None` if the control thread has ended.
fn save_with_retries(
    store: &mut impl Store,
    batch: &[WriteBatch],
    inputs: &Sender<Input>,
    mut backoff: Backoff,
) -> Option<()> {
    let mut written = store.save(batch);
    while let Err(why) = written {
        let failure = Msg::DiskFailed(why.to_string());
        inputs.send(Input::Msg(failure)).ok()?;
        sleep(backoff.next().unwrap_or_default());
        // What was written of the batch is cut off first, then all of it is written again in order.
        written = store.recover().and_then(|()| store.save(batch));
    }
    Some(())
}
