//! A part that runs in this process: the way to it, its thread, and the settings that it runs by.

use super::calls::Calls;
use super::input::Input;
use super::logs;
use crate::sans_io::Msg;
use crate::settings::Settings;
use flexi_logger::LoggerHandle;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;

/// A way to a part of this process.
#[derive(Clone)]
pub struct Handle {
    pub(super) calls: Calls,
    pub(super) inputs: Sender<Input>,
}

/// A part with its control thread and the settings that it runs by.
pub(super) struct RunningPart {
    pub handle: Handle,
    pub thread: JoinHandle<()>,
    pub current: Settings,
}

impl RunningPart {
    /// Tells the part something; one that has ended hears nothing.
    pub fn tell(&self, msg: Msg) {
        let _ = self.handle.inputs.send(Input::Msg(msg));
    }

    /// Whether the part's thread has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Takes over the settings that can change while the process runs.
    pub fn change(&mut self, new: &Settings, logger: Option<&LoggerHandle>) {
        let (live, fixed) = self.current.take_live(new);
        for setting in fixed {
            log::warn!("setting '{setting}' can't change while the process runs: restart it");
        }
        if live == self.current {
            return;
        }
        log::info!("settings reread");
        if let Some(logger) = logger {
            logger.set_new_spec(logs::spec(&live.log));
        }
        self.current = live.clone();
        self.tell(Msg::SettingsChanged(Box::new(live)));
    }
}
