use super::control::Input;
use super::threads;
use crate::disk::Folder;
use crate::kernel::{Msg, Save};
use std::sync::mpsc::{channel, Sender};

/// The thread that writes; all that waits is written together and synced once.
pub struct Disk(Sender<Save>);

impl Disk {
    /// Starts the thread.
    pub fn start(mut folder: Folder, inputs: Sender<Input>) -> Result<Self, String> {
        let (tx, rx) = channel::<Save>();
        threads::spawn("disk", threads::SMALL, move || {
            while let Ok(first) = rx.recv() {
                let mut batch = vec![first];
                batch.extend(rx.try_iter());
                let ticket = batch.last().map_or(0, |s| s.ticket);
                let msg = folder
                    .save(&batch)
                    .map_or_else(|e| Msg::DiskDefect(e.to_string()), |()| Msg::Saved(ticket));
                let dead = matches!(msg, Msg::DiskDefect(_));
                if inputs.send(Input::Msg(msg)).is_err() || dead {
                    return;
                }
            }
        })?;
        Ok(Self(tx))
    }

    /// Hands over what is to be written.
    pub fn save(&self, s: Save) {
        let _ = self.0.send(s);
    }
}
