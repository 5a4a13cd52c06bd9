//! Starts a replica, retrying for as long as its data folder can't be opened.

use super::control::{Clock, ControlThread};
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

/// The values from which a replica is started, except for its open data folder.
pub struct ReplicaStart {
    pub settings: Settings,
    pub seed: u64,
    pub clock: Clock,
    pub transport: Transport,
    pub inputs: Sender<Input>,
    pub calls: PendingCalls,
}

impl ReplicaStart {
    /// Retries opening the data folder after `error`, then runs the replica until it ends.
    pub fn run(self, error: StorageError, input_receiver: &Receiver<Input>) {
        let calls = self.calls.clone();
        match self.build_control_thread_with_retries(error, input_receiver) {
            Ok(Some(control)) => control.run(input_receiver),
            Ok(None) => {}
            Err(error) => log::error!("failed to start the core: {error}"),
        }
        calls.close();
    }

    /// Builds the control thread once the folder is open; `None` if the replica is asked to stop before that.
    fn build_control_thread_with_retries(
        mut self,
        error: StorageError,
        input_receiver: &Receiver<Input>,
    ) -> Result<Option<ControlThread>, ProcessError> {
        let opened = open_folder::open_with_retries(
            &mut self.settings,
            self.seed,
            error,
            &self.calls,
            input_receiver,
        )?;
        match opened {
            Some(opened) => self.build_control_thread(opened).map(Some),
            None => Ok(None),
        }
    }

    /// Builds the control thread from the open folder and the data that was loaded from it.
    pub fn build_control_thread(
        self,
        (folder, loaded): (DataFolder, PersistedState),
    ) -> Result<ControlThread, ProcessError> {
        let settings = &self.settings;
        let replica = Replica::new(settings.clone(), loaded, self.clock.now(), self.seed)
            .map_err(ProcessError::Replica)?;
        let disk = DiskWriter::start(folder, self.inputs, Backoff::from_bounds(&settings.bounds))?;
        Ok(ControlThread::new(
            Box::new(replica),
            self.clock,
            self.transport,
            Some(disk),
            self.calls,
            settings,
        ))
    }
}
