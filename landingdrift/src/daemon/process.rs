//! A process of one or more parts, from its start to its orderly end.

use super::calls::Calls;
use super::control::{Clock, Control};
use super::core_start::CoreStart;
use super::error::ProcessError;
use super::input::Input;
use super::running_part::{Handle, RunningPart};
use super::signals::Ended;
use super::traffic::{Frames, HttpAdapter, HttpLimits, ServingState, Traffic, Transport};
use super::{logs, opening, signals, threads};
use crate::sans_io::{fnv1a, Msg, Now, Part};
use crate::settings::{Bounds, Settings};
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How often a process that ends looks whether it has done all it had to.
const LOOK: Duration = Duration::from_millis(5);

/// A process of one or more parts: each has a control thread and an address of its own, all share the traffic thread.
pub struct Process {
    clock: Clock,
    traffic: Traffic,
    signals: Signals,
    logger: Option<flexi_logger::LoggerHandle>,
    parts: Vec<RunningPart>,
}

/// What a part needs to be reached by others.
struct Listening {
    transport: Transport,
    inputs: Sender<Input>,
    received: Receiver<Input>,
}

impl Process {
    /// Starts logging and traffic, and takes the signals over.
    pub fn start(level: &str) -> Result<Self, ProcessError> {
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
    pub fn part(&mut self, part: Box<dyn Part>, s: &Settings) -> Result<Handle, ProcessError> {
        let Listening {
            transport,
            inputs,
            received,
        } = self.listen(s)?;
        let calls = Calls::default();
        let control = Control::new(part, self.clock, transport, None, calls.clone(), s);
        self.begin(s, inputs, calls, move || control.run(&received))
    }

    /// Starts a replica on its data folder. Where the disk refuses, the folder is tried again while the other parts serve.
    pub fn replica(&mut self, s: &Settings) -> Result<Handle, ProcessError> {
        let seed = self.seed(&s.listen);
        let term_start_index = opening::open(s, seed);
        let term_start_index = match term_start_index {
            Err(why) if !why.may_pass() => return Err(why.into()),
            term_start_index => term_start_index,
        };
        let Listening {
            transport,
            inputs,
            received,
        } = self.listen(s)?;
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

    fn listen(&self, s: &Settings) -> Result<Listening, ProcessError> {
        let (inputs, received) = channel::<Input>();
        let frames = Frames {
            cluster: s.cluster.clone(),
            me: s.listen.clone(),
            patience: Duration::from_millis(s.bounds.election()),
            longest: Frames::longest(&s.limits),
        };
        let transport = self.traffic.listen(frames, inputs.clone())?;
        Ok(Listening {
            transport,
            inputs,
            received,
        })
    }

    fn begin(
        &mut self,
        s: &Settings,
        inputs: Sender<Input>,
        calls: Calls,
        run: impl FnOnce() + Send + 'static,
    ) -> Result<Handle, ProcessError> {
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
    ) -> Result<(), ProcessError> {
        let (calls, inputs) = (part.calls.clone(), part.inputs.clone());
        self.traffic
            .http(addr, limits, http_adapter, calls, inputs)?;
        Ok(())
    }

    /// Runs until it is told to stop, or a part ends by itself: then it ends in an orderly way.
    pub fn run(
        mut self,
        reread: &dyn Fn() -> Result<Vec<Settings>, String>,
    ) -> Result<(), ProcessError> {
        let asked = self.wait(reread);
        let why = if asked {
            "asked to stop"
        } else {
            "a part has ended"
        };
        log::info!("{why}");
        let panicked = self.stop();
        drop(self.logger);
        if panicked {
            return Err(ProcessError::Panicked);
        }
        if !asked {
            return Err(ProcessError::PartEnded);
        }
        Ok(())
    }

    /// Waits for the signal to stop; false where a part ends before. The signal to reread settings is seen to meanwhile.
    fn wait(&mut self, reread: &dyn Fn() -> Result<Vec<Settings>, String>) -> bool {
        let logger = self.logger.as_ref();
        for signal in self.signals.forever() {
            if signal != SIGHUP {
                return true;
            }
            match reread() {
                Ok(all) => {
                    for (part, new) in self.parts.iter_mut().zip(&all) {
                        part.change(new, logger);
                    }
                }
                Err(e) => log::error!("settings not reread: {e}"),
            }
        }
        false
    }

    /// Tells all parts to stop at once and goes on serving, so that callers find out that it is not ready; then takes
    /// no call any more and ends once what was read is answered. Says whether a control thread panicked.
    fn stop(&mut self) -> bool {
        let since = Instant::now();
        let serve = self.longest(Bounds::serve_on);
        let most = self.longest(Bounds::end_process);
        let flush = self.longest(Bounds::flush_answers);
        let serving = self.traffic.serving().clone();
        serving.leave();
        self.parts.iter().for_each(|p| p.tell(Msg::Stop));
        sleep(serve.saturating_sub(since.elapsed()));
        serving.refuse();
        while since.elapsed() + flush < most && self.is_busy(&serving) {
            sleep(LOOK);
        }
        if self.is_busy(&serving) {
            log::warn!("ends with {} calls in hand", serving.in_flight());
        }
        // What was written out last gets a moment to leave.
        sleep(flush);
        self.join_ended()
    }

    /// The longest of a span among the parts.
    fn longest(&self, span: fn(&Bounds) -> u64) -> Duration {
        let spans = self.parts.iter().map(|p| span(&p.current.bounds));
        Duration::from_millis(spans.max().unwrap_or(0))
    }

    /// Whether a call is in hand or a part runs.
    fn is_busy(&self, serving: &ServingState) -> bool {
        serving.in_flight() > 0 || !self.parts.iter().all(RunningPart::has_ended)
    }

    /// Joins the threads that have ended, up to the first that panicked; says whether one did. Those that run on end
    /// with the process.
    fn join_ended(&mut self) -> bool {
        self.parts
            .drain(..)
            .filter(RunningPart::has_ended)
            .any(|p| p.thread.join().is_err())
    }
}
