use super::calls::Calls;
use super::control::{Clock, Control, Input};
use super::disks::Disk;
use super::ending::{Ending, StopSpans};
use super::signals::Ended;
use super::traffic::{Bounded, Frames, Manner, Traffic};
use super::{logs, signals, threads};
use crate::disk::Folder;
use crate::kernel::{digest, Msg, Now, Part};
use crate::settings::{Bounds, Settings};
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::{channel, Sender};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// How often a process that ends looks whether it has done all it had to.
const LOOK: Duration = Duration::from_millis(5);

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
    parts: Vec<RunningPart>,
}

/// A part with its control thread and the settings that it runs by.
struct RunningPart {
    handle: Handle,
    thread: JoinHandle<()>,
    current: Settings,
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
            ending: Ending::new(StopSpans::of(&s.bounds)),
        };
        let ended = Ended(self.signals.handle());
        let thread = threads::spawn("control", threads::CONTROL, move || {
            let _ended = ended;
            control.run(&rx);
        })?;
        log::info!("{} in zone {}", s.listen, s.zone);
        let handle = Handle { calls, inputs: tx };
        self.parts.push(RunningPart {
            handle: handle.clone(),
            thread,
            current: s.clone(),
        });
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

    /// Runs until it is told to stop, or a part ends by itself: then it ends in an orderly way.
    pub fn run(mut self, reread: &dyn Fn() -> Result<Vec<Settings>, String>) -> Result<(), String> {
        let asked = self.wait(reread);
        let why = asked.map_or("a part has ended", |()| "asked to stop");
        log::info!("{why}");
        let panicked = self.stop();
        drop(self.logger);
        if panicked {
            return Err("a control thread panicked: start the process again".into());
        }
        asked.ok_or_else(|| "a part ended by itself: start the process again".into())
    }

    /// Waits for the signal to stop; `None` where a part ends before.
    fn wait(&mut self, reread: &dyn Fn() -> Result<Vec<Settings>, String>) -> Option<()> {
        let mut signals = self.signals.forever();
        let parts = &mut self.parts;
        let logger = self.logger.as_ref();
        signals
            .find(|signal| {
                if *signal == SIGHUP {
                    reread().map_or_else(
                        |e| log::error!("settings not reread: {e}"),
                        |all| {
                            let changed = parts.iter_mut().zip(&all);
                            changed.for_each(|(part, new)| part.change(new, logger));
                        },
                    );
                }
                *signal != SIGHUP
            })
            .map(|_| ())
    }

    /// Tells all parts to stop at once and goes on serving, so that callers find out that it is not ready; then takes
    /// no call any more and ends once what was read is answered. Says whether a control thread panicked.
    fn stop(&mut self) -> bool {
        let since = Instant::now();
        let longest = |span: fn(&Bounds) -> u64| {
            let spans = self.parts.iter().map(|p| span(&p.current.bounds));
            Duration::from_millis(spans.max().unwrap_or(0))
        };
        let serve = longest(Bounds::serve_on);
        let (most, flush) = (longest(Bounds::end_process), longest(Bounds::flush_answers));
        let gate = self.traffic.gate().clone();
        gate.leave();
        self.parts.iter().for_each(|p| p.tell(Msg::Stop));
        sleep(serve.saturating_sub(since.elapsed()));
        gate.refuse();
        let ended = |p: &RunningPart| p.thread.is_finished();
        let busy = |parts: &[RunningPart]| gate.in_hand() > 0 || !parts.iter().all(ended);
        while since.elapsed() + flush < most && busy(&self.parts) {
            sleep(LOOK);
        }
        if busy(&self.parts) {
            log::warn!("ends with {} calls in hand", gate.in_hand());
        }
        // What was written out last gets a moment to leave.
        sleep(flush);
        let parts = self.parts.drain(..);
        parts
            .filter(|p| p.thread.is_finished())
            .any(|p| p.thread.join().is_err())
    }
}

impl RunningPart {
    fn tell(&self, msg: Msg) {
        let _ = self.handle.inputs.send(Input::Msg(msg));
    }

    /// Takes over the settings that can change while the process runs.
    fn change(&mut self, new: &Settings, logger: Option<&flexi_logger::LoggerHandle>) {
        let (live, fixed) = self.current.take_live(new);
        fixed.iter().for_each(|f| {
            log::warn!("setting '{f}' can't change while the process runs: restart it")
        });
        if live == self.current {
            return;
        }
        log::info!("settings reread");
        logger
            .into_iter()
            .for_each(|l| l.set_new_spec(logs::spec(&live.log)));
        self.current = live.clone();
        self.tell(Msg::Changed(Box::new(live)));
    }
}
