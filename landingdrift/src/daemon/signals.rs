use super::control::Input;
use super::logs;
use crate::kernel::Msg;
use crate::settings::{from_words, Settings};
use flexi_logger::LoggerHandle;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::{Handle, Signals};
use std::ffi::OsString;
use std::sync::mpsc::Sender;

/// Turns signals into inputs; the process's first thread waits here.
pub struct Watch {
    pub core: bool,
    pub current: Settings,
    pub words: Vec<OsString>,
    pub inputs: Sender<Input>,
    pub logger: Option<LoggerHandle>,
}

/// Ends the watch when the control thread ends, however it does.
pub struct Ended(pub Handle);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Takes the process's signals over.
pub fn take() -> Result<Signals, String> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|e| format!("can't listen for signals ({e}): raise the limit on open files"))
}

impl Watch {
    /// Runs until the handle of the signals is closed.
    pub fn run(mut self, signals: &mut Signals) {
        for signal in signals.forever() {
            if signal == SIGHUP {
                self.reread();
                continue;
            }
            log::info!("asked to stop");
            let _ = self.inputs.send(Input::Msg(Msg::Stop));
        }
    }

    fn reread(&mut self) {
        from_words(self.words.clone(), self.core).map_or_else(
            |e| log::error!("settings not reread: {e}"),
            |asked| self.change(&asked.settings),
        );
    }

    fn change(&mut self, new: &Settings) {
        let (live, fixed) = self.current.take_live(new);
        fixed.iter().for_each(|f| {
            log::warn!("setting '{f}' can't change while the process runs: restart it")
        });
        if live == self.current {
            return;
        }
        log::info!("settings reread");
        self.logger
            .iter()
            .for_each(|l| l.set_new_spec(logs::spec(&live.log)));
        self.current = live.clone();
        let _ = self.inputs.send(Input::Msg(Msg::Changed(Box::new(live))));
    }
}
