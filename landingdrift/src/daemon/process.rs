//! A process of one or more parts, from its start to its graceful shutdown.

use super::control::{Clock, Control};
use super::error::ProcessError;
use super::input::Input;
use super::pending_calls::PendingCalls;
use super::replica_start::ReplicaStart;
use super::running_part::{PartHandle, RunningPart};
use super::signals::CloseSignalsOnDrop;
use super::traffic::{Frames, HttpAdapter, HttpLimits, ServingState, Traffic, Transport};
use super::{logs, open_folder, signals, threads};
use crate::sans_io::{fnv1a, Msg, Now, Part};
use crate::settings::{Bounds, Settings};
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How often a process that shuts down checks whether its calls are answered and its parts have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A process of one or more parts: each has a control thread and an address of its own, all share the traffic thread.
pub struct Process {
    clock: Clock,
    traffic: Traffic,
    signals: Signals,
    logger: Option<flexi_logger::LoggerHandle>,
    parts: Vec<RunningPart>,
}

/// The transport of a part, and the queue of its inputs.
struct Listening {
    transport: Transport,
    inputs: Sender<Input>,
    received: Receiver<Input>,
}

impl Process {
    /// Starts logging and traffic, and registers for signals.
    pub fn start(level: &str) -> Result<Self, ProcessError> {
        Ok(Self {
            clock: Clock::start(),
            logger: logs::start(level),
            traffic: Traffic::start()?,
            signals: signals::register()?,
            parts: Vec::new(),
        })
    }

    /// The time.
    pub fn now(&self) -> Now {
        self.clock.now()
    }

    /// A seed for the part with a name. It distinguishes incarnations of processes and disks, so it comes from the
    /// operating system's randomness, and only where that is missing from the clock and the process id.
    pub fn seed(&self, name: &str) -> u64 {
        let drawn = getrandom::u64()
            .unwrap_or_else(|_| self.now().wall ^ (u64::from(std::process::id()) << 40));
        fnv1a(name.as_bytes()) ^ drawn
    }

    /// Starts a part.
    pub fn part(
        &mut self,
        part: Box<dyn Part>,
        settings: &Settings,
    ) -> Result<PartHandle, ProcessError> {
        let Listening {
            transport,
            inputs,
            received,
        } = self.listen(settings)?;
        let calls = PendingCalls::default();
        let control = Control::new(part, self.clock, transport, None, calls.clone(), settings);
        self.spawn_control(settings, inputs, calls, move || control.run(&received))
    }

    /// Starts a replica on its data folder. If the disk refuses, opening it is retried while the other parts serve.
    pub fn replica(&mut self, settings: &Settings) -> Result<PartHandle, ProcessError> {
        let seed = self.seed(&settings.listen);
        let opened = open_folder::open(settings, seed);
        let opened = match opened {
            Err(why) if !why.is_transient() => return Err(why.into()),
            opened => opened,
        };
        let Listening {
            transport,
            inputs,
            received,
        } = self.listen(settings)?;
        let calls = PendingCalls::default();
        let start = ReplicaStart {
            settings: settings.clone(),
            seed,
            clock: self.clock,
            transport,
            inputs: inputs.clone(),
            calls: calls.clone(),
        };
        match opened {
            Ok(opened) => {
                let control = start.control(opened)?;
                self.spawn_control(settings, inputs, calls, move || control.run(&received))
            }
            Err(why) => {
                self.spawn_control(settings, inputs, calls, move || start.run(why, &received))
            }
        }
    }

    fn listen(&self, settings: &Settings) -> Result<Listening, ProcessError> {
        let (inputs, received) = channel::<Input>();
        let frames = Frames {
            cluster: settings.cluster.clone(),
            own_address: settings.listen.clone(),
            timeout: Duration::from_millis(settings.bounds.election_timeout()),
            max_frame_bytes: Frames::max_frame_bytes(&settings.limits),
        };
        let transport = self.traffic.listen(frames, inputs.clone())?;
        Ok(Listening {
            transport,
            inputs,
            received,
        })
    }

    /// Starts the control thread of a part.
    fn spawn_control(
        &mut self,
        settings: &Settings,
        inputs: Sender<Input>,
        calls: PendingCalls,
        run: impl FnOnce() + Send + 'static,
    ) -> Result<PartHandle, ProcessError> {
        let close_signals = CloseSignalsOnDrop(self.signals.handle());
        let thread = threads::spawn("control", threads::CONTROL, move || {
            let _close_signals = close_signals;
            run();
        })?;
        log::info!("{} in zone {}", settings.listen, settings.zone);
        let handle = PartHandle { calls, inputs };
        self.parts.push(RunningPart {
            handle: handle.clone(),
            thread,
            settings: settings.clone(),
        });
        Ok(handle)
    }

    /// Serves HTTP at an address for a part.
    pub fn http(
        &self,
        addr: SocketAddr,
        limits: HttpLimits,
        http_adapter: HttpAdapter,
        part: &PartHandle,
    ) -> Result<(), ProcessError> {
        let (calls, inputs) = (part.calls.clone(), part.inputs.clone());
        self.traffic
            .http(addr, limits, http_adapter, calls, inputs)?;
        Ok(())
    }

    /// Runs until it is asked to stop, or a part ends by itself; then it shuts down gracefully.
    pub fn run(
        mut self,
        reread: &dyn Fn() -> Result<Vec<Settings>, String>,
    ) -> Result<(), ProcessError> {
        let asked_to_stop = self.wait_for_stop(reread);
        let why = if asked_to_stop {
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
        if !asked_to_stop {
            return Err(ProcessError::PartEnded);
        }
        Ok(())
    }

    /// Waits for the signal to stop, and rereads the settings when it is signalled to; false if a part ends before.
    fn wait_for_stop(&mut self, reread: &dyn Fn() -> Result<Vec<Settings>, String>) -> bool {
        let logger = self.logger.as_ref();
        for signal in self.signals.forever() {
            if signal != SIGHUP {
                return true;
            }
            match reread() {
                Ok(all) => {
                    for (part, settings) in self.parts.iter_mut().zip(&all) {
                        part.update_settings(settings, logger);
                    }
                }
                Err(why) => log::error!("settings not reread: {why}"),
            }
        }
        false
    }

    /// Tells all parts to stop and keeps serving for a while, so that callers find out that it is not ready; then
    /// refuses calls and ends once those in flight are answered. Returns whether a control thread panicked.
    fn stop(&mut self) -> bool {
        let stop_requested_at = Instant::now();
        let serve_on = self.longest(Bounds::serving_time_after_stop);
        let end_by = self.longest(Bounds::process_deadline);
        let flush = self.longest(Bounds::flush_timeout);
        let serving = self.traffic.serving().clone();
        serving.leave();
        for part in &self.parts {
            part.send(Msg::Stop);
        }
        sleep(serve_on.saturating_sub(stop_requested_at.elapsed()));
        serving.refuse();
        while stop_requested_at.elapsed() + flush < end_by && self.is_busy(&serving) {
            sleep(POLL_INTERVAL);
        }
        if self.is_busy(&serving) {
            log::warn!("ends with {} calls in hand", serving.in_flight());
        }
        // The last responses get a moment to be transmitted.
        sleep(flush);
        self.join_ended()
    }

    /// The longest of a duration among the parts.
    fn longest(&self, span: fn(&Bounds) -> u64) -> Duration {
        let spans = self.parts.iter().map(|part| span(&part.settings.bounds));
        Duration::from_millis(spans.max().unwrap_or(0))
    }

    /// Whether a call is in flight or a part runs.
    fn is_busy(&self, serving: &ServingState) -> bool {
        serving.in_flight() > 0 || !self.parts.iter().all(RunningPart::has_ended)
    }

    /// Joins the threads that have ended, up to the first that panicked; returns whether one did. Those that still run
    /// end with the process.
    fn join_ended(&mut self) -> bool {
        self.parts
            .drain(..)
            .filter(RunningPart::has_ended)
            .any(|part| part.thread.join().is_err())
    }
}
