//! A process that runs one or more parts, from its start to its graceful shutdown.

use super::control::{Clock, ControlThread};
use super::error::ProcessError;
use super::input::Input;
use super::pending_calls::PendingCalls;
use super::replica_start::ReplicaStart;
use super::running_part::{PartHandle, RunningPart};
use super::settings_file::SettingsSource;
use super::signals::CloseSignalsOnDrop;
use super::traffic::{
    ClientLimits, FrameOptions, HttpAdapter, HttpLimits, ServingState, Traffic, Transport,
};
use super::{logs, open_folder, signals, threads};
use crate::sans_io::{fnv1a, Msg, Now, StateMachine};
use crate::settings::{Bounds, Settings};
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Handle;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The interval at which a process that is shutting down checks whether all calls are answered and all parts have
/// ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The interval at which a process checks whether its settings file has changed.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// A process that runs one or more parts. Each part has its own control thread and address; all share the traffic
/// thread.
pub struct Process {
    clock: Clock,
    traffic: Traffic,
    signals: Receiver<i32>,
    signals_handle: Handle,
    logger: Option<flexi_logger::LoggerHandle>,
    parts: Vec<RunningPart>,
}

/// The transport of a part and both ends of its input queue.
struct PartChannels {
    transport: Transport,
    inputs: Sender<Input>,
    input_receiver: Receiver<Input>,
}

impl Process {
    /// Starts logging and traffic, and registers for signals. The limits hold for all HTTP addresses together.
    pub fn start(level: &str, limits: ClientLimits) -> Result<Self, ProcessError> {
        let logger = logs::start(level);
        let traffic = Traffic::start(limits)?;
        let (signals, signals_handle) = signals::receive()?;
        Ok(Self {
            clock: Clock::start(),
            logger,
            traffic,
            signals,
            signals_handle,
            parts: Vec::new(),
        })
    }

    /// The current monotonic and wall-clock time.
    pub fn now(&self) -> Now {
        self.clock.now()
    }

    /// A random seed for the named part. It distinguishes incarnations of processes and disks, so it comes from the
    /// operating system's random numbers. If those are unavailable, the clock and the process ID are used instead.
    pub fn seed(&self, name: &str) -> u64 {
        let random = getrandom::u64()
            .unwrap_or_else(|_| self.now().wall ^ (u64::from(std::process::id()) << 40));
        fnv1a(name.as_bytes()) ^ random
    }

    /// Starts a part that has no disk: listens at its address and spawns its control thread.
    pub fn start_part(
        &mut self,
        part: Box<dyn StateMachine>,
        settings: &Settings,
    ) -> Result<PartHandle, ProcessError> {
        let PartChannels {
            transport,
            inputs,
            input_receiver,
        } = self.listen(settings)?;
        let calls = PendingCalls::default();
        let control =
            ControlThread::new(part, self.clock, transport, None, calls.clone(), settings);
        self.spawn_control(settings, inputs, calls, move || {
            control.run(&input_receiver)
        })
    }

    /// Starts a replica on its data folder. If the disk returns a transient error, opening the folder is retried in the
    /// background while the other parts of the process serve.
    pub fn start_replica(&mut self, settings: &Settings) -> Result<PartHandle, ProcessError> {
        let seed = self.seed(&settings.listen);
        let opened = open_folder::open(settings, seed);
        let opened = match opened {
            Err(error) if !error.is_transient() => return Err(error.into()),
            opened => opened,
        };
        let PartChannels {
            transport,
            inputs,
            input_receiver,
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
                let control = start.build_control_thread(opened)?;
                self.spawn_control(settings, inputs, calls, move || {
                    control.run(&input_receiver)
                })
            }
            Err(error) => self.spawn_control(settings, inputs, calls, move || {
                start.run(error, &input_receiver)
            }),
        }
    }

    fn listen(&self, settings: &Settings) -> Result<PartChannels, ProcessError> {
        let (inputs, input_receiver) = channel::<Input>();
        let options = FrameOptions {
            cluster: settings.cluster.clone(),
            own_address: settings.listen.clone(),
            timeout: Duration::from_millis(settings.bounds.election_timeout()),
            max_frame_bytes: FrameOptions::max_frame_bytes(&settings.limits),
        };
        let transport = self.traffic.listen(options, inputs.clone())?;
        Ok(PartChannels {
            transport,
            inputs,
            input_receiver,
        })
    }

    /// Spawns the control thread of a part.
    fn spawn_control(
        &mut self,
        settings: &Settings,
        inputs: Sender<Input>,
        calls: PendingCalls,
        run: impl FnOnce() + Send + 'static,
    ) -> Result<PartHandle, ProcessError> {
        let close_signals = CloseSignalsOnDrop(self.signals_handle.clone());
        let thread = threads::spawn("control", threads::CONTROL_STACK_BYTES, move || {
            let _close_signals = close_signals;
            run();
        })?;
        log::info!("listening at {} in zone {}", settings.listen, settings.zone);
        let handle = PartHandle { calls, inputs };
        self.parts.push(RunningPart {
            handle: handle.clone(),
            thread,
            settings: settings.clone(),
        });
        Ok(handle)
    }

    /// Starts serving HTTP at an address; the part answers the requests.
    pub fn serve_http(
        &self,
        addr: SocketAddr,
        limits: HttpLimits,
        http_adapter: HttpAdapter,
        part: &PartHandle,
    ) -> Result<(), ProcessError> {
        let (calls, inputs) = (part.calls.clone(), part.inputs.clone());
        self.traffic
            .serve_http(addr, limits, http_adapter, calls, inputs)?;
        Ok(())
    }

    /// Runs until the process is asked to stop or a part ends unexpectedly, then shuts down gracefully. The settings are
    /// loaded again on SIGHUP and after each change of the settings file.
    pub fn run(mut self, source: SettingsSource) -> Result<(), ProcessError> {
        let asked_to_stop = self.wait_for_stop(source);
        let reason = if asked_to_stop {
            "asked to stop"
        } else {
            "the replica, node or worker proxy ended unexpectedly"
        };
        log::info!("shutting down: {reason}");
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

    /// Waits for a signal to stop, and reloads the settings on each SIGHUP or change of their file; returns false if a part
    /// ends first.
    fn wait_for_stop(&mut self, mut source: SettingsSource) -> bool {
        loop {
            match self.signals.recv_timeout(SETTINGS_POLL_INTERVAL) {
                Ok(SIGHUP) => self.reload(&mut source),
                Ok(_) => return true,
                Err(RecvTimeoutError::Timeout) if source.has_changed() => self.reload(&mut source),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }

    fn reload(&mut self, source: &mut SettingsSource) {
        let logger = self.logger.as_ref();
        match source.load() {
            Ok(new_settings) => {
                for (part, settings) in self.parts.iter_mut().zip(&new_settings) {
                    part.update_settings(settings, logger);
                }
            }
            Err(error) => log::error!(
                "failed to reload the settings: {error}; the previous ones stay in force"
            ),
        }
    }

    /// Asks all parts to stop and keeps serving for a while, so that callers notice that the process is not ready any
    /// more. Then rejects new calls, and waits until those in flight are answered and all parts have ended, or the
    /// grace period is over. Returns whether a control thread panicked.
    fn stop(&mut self) -> bool {
        let stop_requested_at = Instant::now();
        let serving_time = self.longest_period(Bounds::serving_time_after_stop);
        let deadline = self.longest_period(Bounds::process_deadline);
        let flush = self.longest_period(Bounds::flush_timeout);
        let serving = self.traffic.serving().clone();
        serving.begin_drain();
        for part in &self.parts {
            part.send(Msg::Stop);
        }
        sleep(serving_time.saturating_sub(stop_requested_at.elapsed()));
        serving.reject_calls();
        while stop_requested_at.elapsed() + flush < deadline && self.is_busy(&serving) {
            sleep(POLL_INTERVAL);
        }
        if self.is_busy(&serving) {
            log::warn!(
                "grace period is over: ending with {} calls unanswered",
                serving.in_flight()
            );
        }
        // Leaves time to transmit the last responses.
        sleep(flush);
        self.join_ended()
    }

    /// The largest value among the parts of a period that follows from the time bounds.
    fn longest_period(&self, period_ms: fn(&Bounds) -> u64) -> Duration {
        let periods_ms = self
            .parts
            .iter()
            .map(|part| period_ms(&part.settings.bounds));
        Duration::from_millis(periods_ms.max().unwrap_or(0))
    }

    /// Whether a call is in flight or a part still runs.
    fn is_busy(&self, serving: &ServingState) -> bool {
        serving.in_flight() > 0 || !self.parts.iter().all(RunningPart::has_ended)
    }

    /// Joins the threads that have ended, up to the first that panicked; returns whether one did. Threads that are
    /// still running end with the process.
    fn join_ended(&mut self) -> bool {
        self.parts
            .drain(..)
            .filter(RunningPart::has_ended)
            .any(|part| part.thread.join().is_err())
    }
}
