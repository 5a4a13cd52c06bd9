use super::calls::Calls;
use super::control::{Clock, Control, Input};
use super::disks::Disk;
use super::signals::Ended;
use super::traffic::{Bounded, Frames, Manner, Traffic};
use super::{logs, signals, threads};
use crate::disk::Folder;
use crate::kernel::{digest, Msg, Now, Part};
use crate::settings::Settings;
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::{channel, Sender};
use std::thread::JoinHandle;
use std::time::Duration;

/// A way to a part of this process.
#[derive(Clone)]
pub struct Handle {
    calls: Calls,
    inputs: Sender<Input>,
}

/// A process of one or more parts: each has a control thread and an address of its own, all share the traffic thread.
pub struct Process {
    clock: Clock,
    traffic: Traffic,
    signals: Signals,
    logger: Option<flexi_logger::LoggerHandle>,
    parts: Vec<(Handle, JoinHandle<()>)>,
}

impl Process {
    /// Starts logging and traffic, and takes the signals over.
    pub fn start(level: &str) -> Result<Self, String> {
        Ok(Self {
            clock: Clock::start(),
            logger: logs::start(level),
            traffic: Traffic::start()?,
            signals: signals::take()?,
            parts: Vec::new(),
        })
    }

    /// The time.
    pub fn now(&self) -> Now {
        self.clock.now()
    }

    /// A seed for the part of a name.
    pub fn seed(&self, name: &str) -> u64 {
        digest(name.as_bytes()) ^ self.now().wall ^ (u64::from(std::process::id()) << 40)
    }

    /// Opens the data folder of a core.
    pub fn folder(
        &self,
        s: &Settings,
        seed: u64,
    ) -> Result<(Folder, crate::agreement::Loaded), String> {
        let path = Path::new(&s.data);
        Folder::open(path, &s.cluster, s.limits.segment_bytes, seed | 1).map_err(|e| e.to_string())
    }

    /// Starts a part.
    pub fn part(&mut self, part: Box<dyn Part>, s: &Settings) -> Result<Handle, String> {
        self.begin(part, s, None)
    }

    /// Starts a part that writes to a data folder.
    pub fn part_on_disk(
        &mut self,
        part: Box<dyn Part>,
        s: &Settings,
        folder: Folder,
    ) -> Result<Handle, String> {
        self.begin(part, s, Some(folder))
    }

    fn begin(
        &mut self,
        part: Box<dyn Part>,
        s: &Settings,
        folder: Option<Folder>,
    ) -> Result<Handle, String> {
        let (tx, rx) = channel::<Input>();
        let disk = folder.map(|f| Disk::start(f, tx.clone())).transpose()?;
        let frames = Frames {
            cluster: s.cluster.clone(),
            me: s.listen.clone(),
            patience: Duration::from_millis(s.bounds.election()),
            longest: Frames::longest(&s.limits),
        };
        let transport = self.traffic.listen(frames, tx.clone())?;
        let calls = Calls::default();
        let control = Control {
            part,
            clock: self.clock,
            transport,
            disk,
            calls: calls.clone(),
            tick: Duration::from_millis(s.bounds.tick()),
        };
        let ended = Ended(self.signals.handle());
        let thread = threads::spawn("control", threads::CONTROL, move || {
            let _ended = ended;
            control.run(&rx);
        })?;
        log::info!("{} in zone {}", s.listen, s.zone);
        let handle = Handle { calls, inputs: tx };
        self.parts.push((handle.clone(), thread));
        Ok(handle)
    }

    /// Serves an address for a part.
    pub fn http(
        &self,
        addr: SocketAddr,
        bounded: Bounded,
        manner: Manner,
        part: &Handle,
    ) -> Result<(), String> {
        let (calls, inputs) = (part.calls.clone(), part.inputs.clone());
        self.traffic
            .http(addr, bounded, manner, calls, inputs)
            .map(|_| ())
    }

    /// Runs until it is told to stop, or a part ends: then all parts are stopped, in the order in which they started,
    /// each once the one before it has handed its duties on.
    pub fn run(mut self, reread: &dyn Fn() -> Result<Vec<Settings>, String>) -> Result<(), String> {
        let asked = self.signals.forever().find(|signal| {
            if *signal == SIGHUP {
                reread().map_or_else(
                    |e| log::error!("settings not reread: {e}"),
                    |all| {
                        self.parts
                            .iter()
                            .zip(all)
                            .for_each(|((h, _), s)| change(h, s))
                    },
                );
            }
            *signal != SIGHUP
        });
        let level = asked.map_or("a part has ended", |_| "asked to stop");
        log::info!("{level}");
        for (handle, thread) in self.parts {
            let _ = handle.inputs.send(Input::Msg(Msg::Stop));
            thread
                .join()
                .map_err(|_| "a control thread panicked: start the process again".to_string())?;
        }
        // The last frames and verdicts get a moment to leave.
        std::thread::sleep(Duration::from_millis(50));
        drop(self.logger);
        asked
            .map(|_| ())
            .ok_or_else(|| "a part ended by itself: start the process again".into())
    }
}

fn change(part: &Handle, s: Settings) {
    let _ = part.inputs.send(Input::Msg(Msg::Changed(Box::new(s))));
}
