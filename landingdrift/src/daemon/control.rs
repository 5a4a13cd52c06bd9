use super::calls::Calls;
use super::disks::Disk;
use super::input::Input;
use super::shutdown_timer::{GracePeriods, ShutdownTimer};
use super::traffic::Transport;
use crate::sans_io::{Effect, Msg, Now, Part};
use crate::settings::Settings;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Inputs taken in one round, at the most, so that effects don't wait for ever while inputs pour in.
const ROUND: usize = 256;

/// The process's clocks.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Clocks that count from now.
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

/// The thread of control state: all that waits is stepped through, then its effects go out together, and again.
pub struct Control {
    pub part: Box<dyn Part>,
    pub clock: Clock,
    pub transport: Transport,
    pub disk: Option<Disk>,
    pub calls: Calls,
    pub tick: Duration,
    pub shutdown_timer: ShutdownTimer,
}

impl Control {
    /// The thread of a part that nothing has reached yet.
    pub fn new(
        part: Box<dyn Part>,
        clock: Clock,
        transport: Transport,
        disk: Option<Disk>,
        calls: Calls,
        s: &Settings,
    ) -> Self {
        Self {
            part,
            clock,
            transport,
            disk,
            calls,
            tick: Duration::from_millis(s.bounds.tick()),
            shutdown_timer: ShutdownTimer::new(GracePeriods::of(&s.bounds)),
        }
    }

    /// Runs until the part is done or nobody is left who could reach it.
    pub fn run(mut self, inputs: &Receiver<Input>) {
        let mut next = Instant::now();
        let mut effects = Vec::new();
        loop {
            let first = match inputs.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(i) => Some(i),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let now = Instant::now();
            let tick = (now >= next).then_some(Msg::Tick);
            if tick.is_some() {
                next = now + self.tick;
            }
            let msgs = first.into_iter().chain(inputs.try_iter()).map(Msg::from);
            let over = tick
                .into_iter()
                .chain(msgs.take(ROUND))
                .any(|m| self.step(m, &mut effects));
            effects.drain(..).for_each(|e| self.carry_out(e));
            if over {
                self.calls.close();
                return self.tell_end();
            }
        }
    }

    /// Takes one step; says whether it was the last one.
    fn step(&mut self, msg: Msg, effects: &mut Vec<Effect>) -> bool {
        match &msg {
            Msg::SettingsChanged(s) => {
                self.tick = Duration::from_millis(s.bounds.tick());
                self.shutdown_timer.spans = GracePeriods::of(&s.bounds);
            }
            Msg::Stop => self.shutdown_timer.ask(Instant::now()),
            _ => {}
        }
        let before = effects.len();
        effects.extend(self.part.step(self.clock.now(), msg));
        if effects[before..].iter().any(|e| matches!(e, Effect::Exit)) {
            self.shutdown_timer.part_is_done();
        }
        self.shutdown_timer.over(Instant::now(), self.calls.idle())
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Send(to, body) => self.transport.send(&to, &body),
            Effect::Persist(save) => {
                if let Some(d) = &self.disk {
                    d.save(save);
                }
            }
            Effect::Answer(call, v) => self.calls.answer(call, v),
            Effect::Log(text) => log::info!("{text}"),
            Effect::Exit => {}
        }
    }

    fn tell_end(&self) {
        let counters: Vec<String> = self
            .part
            .counters()
            .into_iter()
            .map(|(k, v)| format!("{k}={v}"))
            .collect();
        log::info!(
            "ends; frames_dropped={} counters: {}",
            self.transport.dropped,
            counters.join(" ")
        );
    }
}
