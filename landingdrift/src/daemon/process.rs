use super::calls::Calls;
use super::control::{Clock, Control, Input};
use super::disks::{Backoff, Disk};
use super::signals::Ended;
use super::traffic::{Frames, HttpAdapter, HttpLimits, Traffic, Transport};
use super::{logs, opening, signals, threads};
use crate::consensus::{Loaded, Replica};
use crate::disk::{DataFolder, StorageError};
use crate::sans_io::{fnv1a, Msg, Now, Part};
use crate::settings::{Bounds, Settings};
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
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

    /// A seed for the part of a name. Lives of processes and disks are told apart by it, so it comes from the operating
    /// system's randomness; only where that is missing from the clock and the process's number.
    pub fn seed(&self, name: &str) -> u64 {
        let drawn = getrandom::u64()
            .unwrap_or_else(|_| self.now().wall ^ (u64::from(std::process::id()) << 40));
        fnv1a(name.as_bytes()) ^ drawn
    }

    /// Starts a part.
    pub fn part(&mut self, part: Box<dyn Part>, s: &Settings) -> Result<Handle, String> {
        let (transport, inputs, received) = self.listen(s)?;
        let control = Control::new(part, self.clock, transport, None, Calls::default(), s);
        self.begin(s, inputs, control.calls.clone(), move || {
            control.run(&received)
        })
    }

    /// Starts a replica on its data folder. Where the disk refuses, the folder is tried again while the other parts serve.
    pub fn replica(&mut self, s: &Settings) -> Result<Handle, String> {
        let seed = self.seed(&s.listen);
        let term_start_index = opening::open(s, seed);
        if let Err(why) = term_start_index
            .as_ref()
            .map_err(|why| (why.may_pass(), why.to_string()))
        {
            why.0.then_some(()).ok_or(why.1)?;
        }
        let (transport, inputs, received) = self.listen(s)?;
        let calls = Calls::default();
        let start = CoreStart {
            settings: s.clone(),
            seed,
            clock: self.clock,
            transport,
            inputs: inputs.clone(),
            calls: calls.clone(),
        };
        match term_start_index {
            Ok(term_start_index) => {
                let control = start.control(term_start_index)?;
                self.begin(s, inputs, calls, move || control.run(&received))
            }
            Err(why) => self.begin(s, inputs, calls, move || start.run(why, &received)),
        }
    }

    fn listen(&self, s: &Settings) -> Result<(Transport, Sender<Input>, Receiver<Input>), String> {
        let (tx, rx) = channel::<Input>();
        let frames = Frames {
            cluster: s.cluster.clone(),
            me: s.listen.clone(),
            patience: Duration::from_millis(s.bounds.election()),
            longest: Frames::longest(&s.limits),
        };
        let transport = self.traffic.listen(frames, tx.clone())?;
        Ok((transport, tx, rx))
    }

    fn begin(
        &mut self,
        s: &Settings,
        inputs: Sender<Input>,
        calls: Calls,
        run: impl FnOnce() + Send + 'static,
    ) -> Result<Handle, String> {
        let ended = Ended(self.signals.handle());
        let thread = threads::spawn("control", threads::CONTROL, move || {
            let _ended = ended;
            run();
        })?;
        log::info!("{} in zone {}", s.listen, s.zone);
        let handle = Handle { calls, inputs };
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
        limits: HttpLimits,
        http_adapter: HttpAdapter,
        part: &Handle,
    ) -> Result<(), String> {
        let (calls, inputs) = (part.calls.clone(), part.inputs.clone());
        self.traffic
            .http(addr, limits, http_adapter, calls, inputs)
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
        let serving = self.traffic.serving().clone();
        serving.leave();
        self.parts.iter().for_each(|p| p.tell(Msg::Stop));
        sleep(serve.saturating_sub(since.elapsed()));
        serving.refuse();
        let ended = |p: &RunningPart| p.thread.is_finished();
        let busy = |parts: &[RunningPart]| serving.in_flight() > 0 || !parts.iter().all(ended);
        while since.elapsed() + flush < most && busy(&self.parts) {
            sleep(LOOK);
        }
        if busy(&self.parts) {
            log::warn!("ends with {} calls in hand", serving.in_flight());
        }
        // What was written out last gets a moment to leave.
        sleep(flush);
        let parts = self.parts.drain(..);
        parts
            .filter(|p| p.thread.is_finished())
            .any(|p| p.thread.join().is_err())
    }
}

/// All that a replica needs to start, but its data folder.
struct CoreStart {
    settings: Settings,
    seed: u64,
    clock: Clock,
    transport: Transport,
    inputs: Sender<Input>,
    calls: Calls,
}

impl CoreStart {
    /// Opens the folder at last, and runs the replica.
    fn run(self, why: StorageError, received: &Receiver<Input>) {
        let (calls, seed) = (self.calls.clone(), self.seed);
        let term_start_index = opening::open_at_last(&self.settings, seed, why, &calls, received);
        let control = term_start_index
            .map_err(|why| why.to_string())
            .and_then(|term_start_index| term_start_index.map(|o| self.control(o)).transpose());
        match control {
            Ok(Some(control)) => control.run(received),
            Ok(None) => {}
            Err(why) => log::error!("the core ends: {why}"),
        }
        calls.close();
    }

    fn control(self, (folder, loaded): (DataFolder, Loaded)) -> Result<Control, String> {
        let s = &self.settings;
        let replica = Replica::new(s.clone(), loaded, self.clock.now(), self.seed)?;
        let disk = Disk::start(folder, self.inputs, Backoff::of(&s.bounds))?;
        let (part, disk) = (Box::new(replica), Some(disk));
        Ok(Control::new(
            part,
            self.clock,
            self.transport,
            disk,
            self.calls,
            s,
        ))
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
        self.tell(Msg::SettingsChanged(Box::new(live)));
    }
}
