use super::disks::Disk;
use super::transport::Transport;
use crate::kernel::{Effect, Msg, Now, Part, Request, Verdict};
use crate::settings::Settings;
use dashmap::DashMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What reaches the thread of control state.
pub enum Input {
    Msg(Msg),
    Call(Request, u64),
}

/// Verdicts that callers wait for, by call.
pub type Waiting = Arc<DashMap<u64, rocket::tokio::sync::oneshot::Sender<Verdict>>>;

/// The process's clocks.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Self {
        Self(Instant::now())
    }
    pub fn now(&self) -> Now {
        Now {
            mono: 1 + self.0.elapsed().as_millis() as u64,
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
        }
    }
}

/// The thread of control state: one message, one step, its effects, and again.
pub struct Control {
    pub part: Box<dyn Part>,
    pub clock: Clock,
    pub transport: Transport,
    pub disk: Option<Disk>,
    pub waiting: Waiting,
    pub settings: Settings,
}

impl Control {
    /// Runs until the part is done.
    pub fn run(mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now();
        loop {
            let tick = Duration::from_millis(self.settings.bounds.tick());
            let msg = match inputs.recv_timeout(next_tick.saturating_duration_since(Instant::now()))
            {
                Ok(Input::Msg(m)) => m,
                Ok(Input::Call(req, call)) => Msg::Call(call, req),
                Err(RecvTimeoutError::Timeout) => Msg::Tick,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + tick;
                if !matches!(msg, Msg::Tick) && self.step(Msg::Tick) {
                    return;
                }
            }
            if let Msg::Changed(s) = &msg {
                self.settings = (**s).clone();
            }
            if self.step(msg) {
                return;
            }
        }
    }

    fn step(&mut self, msg: Msg) -> bool {
        let now = self.clock.now();
        let mut exit = false;
        for effect in self.part.step(now, msg) {
            match effect {
                Effect::Send(to, body) => self.transport.send(&to, &body),
                Effect::Save(save) => self.disk.iter().for_each(|d| d.save(save.clone())),
                Effect::Answer(call, v) => {
                    self.waiting.remove(&call).into_iter().for_each(|(_, tx)| {
                        let _ = tx.send(v.clone());
                    });
                }
                Effect::Line(text) => log::info!("{text}"),
                Effect::Exit => exit = true,
            }
        }
        if exit {
            let counters: Vec<String> = self
                .part
                .counters()
                .into_iter()
                .map(|(k, v)| format!("{k}={v}"))
                .collect();
            log::info!("ends; counters: {}", counters.join(" "));
        }
        exit
    }
}
