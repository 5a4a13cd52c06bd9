//! The control thread of a part: it steps the part and carries out its effects.

use super::disk_writer::DiskWriter;
use super::input::Input;
use super::pending_calls::PendingCalls;
use super::shutdown_timer::{GracePeriods, ShutdownTimer};
use super::traffic::Transport;
use crate::sans_io::{Effect, Msg, Now, Part};
use crate::settings::Settings;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The most inputs in one round, so that effects are carried out in time even under a flood of inputs.
const MAX_INPUTS_PER_ROUND: usize = 256;

/// The process's clocks.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Clocks whose monotonic time counts from now.
    pub fn start() -> Self {
        Self(Instant::now())
    }
    /// The time.
    pub fn now(&self) -> Now {
        Now {
            mono: 1 + self.0.elapsed().as_millis() as u64,
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
        }
    }
}

/// A control thread: in each round the part is stepped through all inputs that wait, then their effects are carried
/// out.
pub struct Control {
    /// The part whose steps the thread takes.
    pub part: Box<dyn Part>,
    /// The clocks of the process.
    pub clock: Clock,
    /// Sends messages to other processes.
    pub transport: Transport,
    /// Writes to the disk; none for parts that keep nothing there.
    pub disk: Option<DiskWriter>,
    /// HTTP requests that wait for their response.
    pub calls: PendingCalls,
    /// The interval between two ticks.
    pub tick: Duration,
    /// When the part ends after it was told to.
    pub shutdown_timer: ShutdownTimer,
}

impl Control {
    /// The control thread of a part that got no input yet.
    pub fn new(
        part: Box<dyn Part>,
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
            shutdown_timer: ShutdownTimer::new(GracePeriods::of(&settings.bounds)),
        }
    }

    /// Runs until the part has ended, or no input can reach it any more.
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
            let msgs = first.into_iter().chain(inputs.try_iter()).map(Msg::from);
            let mut round = tick.into_iter().chain(msgs.take(MAX_INPUTS_PER_ROUND));
            let is_over = round.any(|msg| self.step(msg, &mut effects));
            for effect in effects.drain(..) {
                self.carry_out(effect);
            }
            if is_over {
                self.calls.close();
                return self.log_end();
            }
        }
    }

    /// Steps the part once; returns whether that was the last step.
    fn step(&mut self, msg: Msg, effects: &mut Vec<Effect>) -> bool {
        match &msg {
            Msg::SettingsChanged(settings) => {
                self.tick = Duration::from_millis(settings.bounds.tick_interval());
                self.shutdown_timer.periods = GracePeriods::of(&settings.bounds);
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
            self.shutdown_timer.part_is_done();
        }
        self.shutdown_timer
            .is_over(Instant::now(), self.calls.is_empty())
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Send(to, body) => self.transport.send(&to, &body),
            Effect::Persist(batch) => {
                if let Some(disk) = &self.disk {
                    disk.save(batch);
                }
            }
            Effect::Answer(call, response) => self.calls.answer(call, response),
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
            "ends; frames_dropped={} counters: {}",
            self.transport.dropped,
            counters.join(" ")
        );
    }
}
