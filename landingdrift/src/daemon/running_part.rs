//! A part that runs in this process, with its handle, thread and settings.

use super::input::Input;
use super::logs;
use super::pending_calls::PendingCalls;
use crate::sans_io::Msg;
use crate::settings::Settings;
use flexi_logger::LoggerHandle;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;

/// A handle to a part of this process, through which the part gets HTTP calls and messages.
#[derive(Clone)]
pub struct PartHandle {
    pub(super) calls: PendingCalls,
    pub(super) inputs: Sender<Input>,
}

/// A part with its control thread and the settings in force.
pub(super) struct RunningPart {
    pub handle: PartHandle,
    pub thread: JoinHandle<()>,
    pub settings: Settings,
}

impl RunningPart {
    /// Sends the part a message; has no effect if the part has ended.
    pub fn send(&self, msg: Msg) {
        let _ = self.handle.inputs.send(Input::Msg(msg));
    }

    /// Whether the control thread of the part has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Applies the settings that can change while the process runs, and warns about the others.
    pub fn update_settings(&mut self, new: &Settings, logger: Option<&LoggerHandle>) {
        let (updated, unchangeable) = self.settings.with_reloadable_from(new);
        for setting in unchangeable {
            log::warn!("setting '{setting}' can't change while the process runs; restart the process to apply it");
        }
        if updated == self.settings {
            return;
        }
        log::info!("settings reloaded");
        if let Some(logger) = logger {
            logger.set_new_spec(logs::spec(&updated.log));
        }
        self.settings = updated.clone();
        self.send(Msg::SettingsChanged(Box::new(updated)));
    }
}
