//! The control thread of a part: steps the part and executes its effects.

use super::disk_writer::DiskWriter;
use super::input::Input;
use super::pending_calls::PendingCalls;
use super::shutdown_timer::{GracePeriod, ShutdownTimer};
use super::traffic::Transport;
use crate::sans_io::{Effect, Msg, Now, StateMachine};
use crate::settings::Settings;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The maximum number of inputs in a round. It bounds the delay of effects while inputs arrive faster than they are
/// handled.
const MAX_INPUTS_PER_ROUND: usize = 256;

/// Reads the monotonic clock, relative to the start of the process, and the wall clock.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock whose monotonic time starts now, at 1 ms.
    pub fn start() -> Self {
        Self(Instant::now())
    }
    /// The current time of both clocks, in milliseconds.
    pub fn now(&self) -> Now {
        Now {
            mono: 1 + self.0.elapsed().as_millis() as u64,
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
        }
    }
}

/// The state of a control thread. In each round it steps the part once for each waiting input, then executes the
/// effects.
pub struct ControlThread {
    /// The part that the thread steps.
    pub part: Box<dyn StateMachine>,
    /// The clocks of the process, which the part reads in each step.
    pub clock: Clock,
    /// Sends messages to other processes.
    pub transport: Transport,
    /// Writes to the data folder; `None` for parts without one.
    pub disk: Option<DiskWriter>,
    /// HTTP calls that wait for their response.
    pub calls: PendingCalls,
    /// The interval between [`Msg::Tick`] messages.
    pub tick: Duration,
    /// Decides when the thread ends after a request to stop.
    pub shutdown_timer: ShutdownTimer,
}

impl ControlThread {
    /// A control thread for a part that has received no input yet.
    pub fn new(
        part: Box<dyn StateMachine>,
        clock: Clock,
        transport: Transport,
        disk: Option<DiskWriter>,
        calls: PendingCalls,
        settings: &Settings,
    ) -> Self {
        Self {
            part,
            clock,
            transport,
            disk,
            calls,
            tick: Duration::from_millis(settings.bounds.tick_interval()),
            shutdown_timer: ShutdownTimer::new(GracePeriod::from_bounds(&settings.bounds)),
        }
    }

    /// Runs until the part has ended or every sender of inputs is dropped.
    pub fn run(mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now();
        let mut effects = Vec::new();
        loop {
            let first =
                match inputs.recv_timeout(next_tick.saturating_duration_since(Instant::now())) {
                    Ok(input) => Some(input),
                    Err(RecvTimeoutError::Timeout) => None,
                    Err(RecvTimeoutError::Disconnected) => return,
                };
            let now = Instant::now();
            let tick = (now >= next_tick).then_some(Msg::Tick);
            if tick.is_some() {
                next_tick = now + self.tick;
            }
            let messages = first.into_iter().chain(inputs.try_iter()).map(Msg::from);
            let mut round = tick.into_iter().chain(messages.take(MAX_INPUTS_PER_ROUND));
            let is_last_step = round.any(|msg| self.step(msg, &mut effects));
            for effect in effects.drain(..) {
                self.execute(effect);
            }
            if is_last_step {
                self.calls.close();
                return self.log_end();
            }
        }
    }

    /// Steps the part once; returns whether this was the last step.
    fn step(&mut self, msg: Msg, effects: &mut Vec<Effect>) -> bool {
        match &msg {
            Msg::SettingsChanged(settings) => {
                self.tick = Duration::from_millis(settings.bounds.tick_interval());
                self.shutdown_timer.grace_period = GracePeriod::from_bounds(&settings.bounds);
            }
            Msg::Stop => self.shutdown_timer.stop_requested(Instant::now()),
            _ => {}
        }
        let before = effects.len();
        effects.extend(self.part.step(self.clock.now(), msg));
        if effects[before..]
            .iter()
            .any(|effect| matches!(effect, Effect::Exit))
        {
            self.shutdown_timer.part_done();
        }
        self.shutdown_timer
            .should_end(Instant::now(), self.calls.is_empty())
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Send(to, body) => self.transport.send(&to, &body),
            Effect::Persist(batch) => {
                if let Some(disk) = &self.disk {
                    disk.save(batch);
                }
            }
            Effect::Respond(call, response) => self.calls.answer(call, response),
            Effect::Log(text) => log::info!("{text}"),
            Effect::Exit => {}
        }
    }

    fn log_end(&self) {
        let counters: Vec<String> = self
            .part
            .counters()
            .into_iter()
            .map(|(name, number)| format!("{name}={number}"))
            .collect();
        log::info!(
            "control thread ended; frames_dropped={} counters: {}",
            self.transport.dropped,
            counters.join(" ")
        );
    }
}
