//! The start of a core, which may have to wait until its data folder can be opened.

use super::calls::Calls;
use super::control::{Clock, Control};
use super::disks::{Backoff, Disk};
use super::error::ProcessError;
use super::input::Input;
use super::opening;
use super::traffic::Transport;
use crate::consensus::{Loaded, Replica};
use crate::disk::{DataFolder, StorageError};
use crate::settings::Settings;
use std::sync::mpsc::{Receiver, Sender};

/// All that a replica needs to start, but its data folder.
pub struct CoreStart {
    pub settings: Settings,
    pub seed: u64,
    pub clock: Clock,
    pub transport: Transport,
    pub inputs: Sender<Input>,
    pub calls: Calls,
}

impl CoreStart {
    /// Opens the folder at last, and runs the replica.
    pub fn run(self, why: StorageError, received: &Receiver<Input>) {
        let calls = self.calls.clone();
        match self.control_at_last(why, received) {
            Ok(Some(control)) => control.run(received),
            Ok(None) => {}
            Err(why) => log::error!("the core ends: {why}"),
        }
        calls.close();
    }

    /// The control thread's state once the folder is open; `None` where the replica is told to stop before.
    fn control_at_last(
        self,
        why: StorageError,
        received: &Receiver<Input>,
    ) -> Result<Option<Control>, ProcessError> {
        let term_start_index =
            opening::open_at_last(&self.settings, self.seed, why, &self.calls, received)?;
        match term_start_index {
            Some(term_start_index) => self.control(term_start_index).map(Some),
            None => Ok(None),
        }
    }

    /// The control thread's state, given what the folder holds.
    pub fn control(self, (folder, loaded): (DataFolder, Loaded)) -> Result<Control, ProcessError> {
        let s = &self.settings;
        let replica = Replica::new(s.clone(), loaded, self.clock.now(), self.seed)
            .map_err(ProcessError::Replica)?;
        let disk = Disk::start(folder, self.inputs, Backoff::of(&s.bounds))?;
        Ok(Control::new(
            Box::new(replica),
            self.clock,
            self.transport,
            Some(disk),
            self.calls,
            s,
        ))
    }
}
