//! The start of a replica, which may have to wait until its data folder can be opened.

use super::control::{Clock, Control};
use super::disk_writer::{Backoff, DiskWriter};
use super::error::ProcessError;
use super::input::Input;
use super::open_folder;
use super::pending_calls::PendingCalls;
use super::traffic::Transport;
use crate::consensus::{PersistedState, Replica};
use crate::disk::{DataFolder, StorageError};
use crate::settings::Settings;
use std::sync::mpsc::{Receiver, Sender};

/// All that a replica needs to start, except for its data folder.
pub struct ReplicaStart {
    pub settings: Settings,
    pub seed: u64,
    pub clock: Clock,
    pub transport: Transport,
    pub inputs: Sender<Input>,
    pub calls: PendingCalls,
}

impl ReplicaStart {
    /// Tries again to open the folder, and runs the replica.
    pub fn run(self, why: StorageError, received: &Receiver<Input>) {
        let calls = self.calls.clone();
        match self.control_with_retries(why, received) {
            Ok(Some(control)) => control.run(received),
            Ok(None) => {}
            Err(why) => log::error!("the core ends: {why}"),
        }
        calls.close();
    }

    /// The control thread's state once the folder is open; `None` if the replica is told to stop before.
    fn control_with_retries(
        self,
        why: StorageError,
        received: &Receiver<Input>,
    ) -> Result<Option<Control>, ProcessError> {
        let opened =
            open_folder::open_with_retries(&self.settings, self.seed, why, &self.calls, received)?;
        match opened {
            Some(opened) => self.control(opened).map(Some),
            None => Ok(None),
        }
    }

    /// The control thread's state, given the open folder and what was loaded from it.
    pub fn control(
        self,
        (folder, loaded): (DataFolder, PersistedState),
    ) -> Result<Control, ProcessError> {
        let settings = &self.settings;
        let replica = Replica::new(settings.clone(), loaded, self.clock.now(), self.seed)
            .map_err(ProcessError::Replica)?;
        let disk = DiskWriter::start(folder, self.inputs, Backoff::of(&settings.bounds))?;
        Ok(Control::new(
            Box::new(replica),
            self.clock,
            self.transport,
            Some(disk),
            self.calls,
            settings,
        ))
    }
}
