//! A part that runs in this process: its handle, its thread and its settings.

use super::input::Input;
use super::logs;
use super::pending_calls::PendingCalls;
use crate::sans_io::Msg;
use crate::settings::Settings;
use flexi_logger::LoggerHandle;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;

/// A handle to a part of this process, through which calls reach it.
#[derive(Clone)]
pub struct PartHandle {
    pub(super) calls: PendingCalls,
    pub(super) inputs: Sender<Input>,
}

/// A part with its control thread and its settings.
pub(super) struct RunningPart {
    pub handle: PartHandle,
    pub thread: JoinHandle<()>,
    pub settings: Settings,
}

impl RunningPart {
    /// Sends the part a message; one that has ended gets none.
    pub fn send(&self, msg: Msg) {
        let _ = self.handle.inputs.send(Input::Msg(msg));
    }

    /// Whether the part's thread has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Applies the settings that can change while the process runs.
    pub fn update_settings(&mut self, new: &Settings, logger: Option<&LoggerHandle>) {
        let (updated, fixed) = self.settings.with_reloadable_from(new);
        for setting in fixed {
            log::warn!("setting '{setting}' can't change while the process runs: restart it");
        }
        if updated == self.settings {
            return;
        }
        log::info!("settings reread");
        if let Some(logger) = logger {
            logger.set_new_spec(logs::spec(&updated.log));
        }
        self.settings = updated.clone();
        self.send(Msg::SettingsChanged(Box::new(updated)));
    }
}
