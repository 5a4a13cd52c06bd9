//! Faults of workers.

use super::{Ent, World};
use crate::history::Event;
use crate::standin::worker::HttpAdapter;
use std::collections::BTreeSet;

/// How many times longer a slow worker takes.
pub(super) const SLOW_FACTOR: f64 = 6.0;
/// The share of runs that fail on a failing worker, where the fault doesn't say.
const FAILING_SHARE: f64 = 0.9;

impl World {
    pub(super) fn freeze_worker(&mut self, x: usize) {
        self.hands[x].frozen = true;
        self.dark_note(x, true);
    }

    pub(super) fn wake_worker(&mut self, x: usize) {
        self.hands[x].frozen = false;
        self.dark_note(x, false);
        let t = self.t;
        let life = self.hands[x].life;
        for (call, v) in std::mem::take(&mut self.hands[x].inbox) {
            let asks = self.hands[x]
                .worker
                .as_mut()
                .map_or(Vec::new(), |w| w.answer(t, call, &v));
            self.asked(Ent::Worker(x, life), asks);
        }
    }

    /// Cuts a worker off from all processes, or joins it to them again.
    pub(super) fn cut_worker(&mut self, x: usize, cut: bool) {
        self.hands[x].cut = cut;
        self.dark_note(x, cut);
    }

    pub(super) fn worker_leaves(&mut self, x: usize) {
        let (t, life) = (self.t, self.hands[x].life);
        let asks = self.hands[x]
            .worker
            .as_mut()
            .map_or(Vec::new(), |w| w.leave(t));
        self.asked(Ent::Worker(x, life), asks);
    }

    pub(super) fn change_worker(&mut self, x: usize, cpu: u32, labels: BTreeSet<String>) {
        let (t, life) = (self.t, self.hands[x].life);
        let asks = self.hands[x]
            .worker
            .as_mut()
            .map_or(Vec::new(), |w| w.change(t, cpu, labels));
        self.asked(Ent::Worker(x, life), asks);
    }

    pub(super) fn crash_worker(&mut self, x: usize) {
        if self.hands[x].worker.take().is_some() {
            self.hands[x].life += 1;
            let worker = self.hands[x].info.worker.clone();
            self.note(Event::WorkerDied { worker });
        }
    }

    /// Has a worker fail so many runs in a hundred; 0 stands for most of them.
    pub(super) fn fail_runs(&mut self, x: usize, percent: u64) {
        let share = if percent > 0 {
            percent as f64 / 100.0
        } else {
            FAILING_SHARE
        };
        self.http_adapter(x, |m| m.failing = share);
    }

    pub(super) fn http_adapter(&mut self, x: usize, change: impl Fn(&mut HttpAdapter)) {
        if let Some(worker) = &mut self.hands[x].worker {
            change(&mut worker.http_adapter);
        }
    }

    fn dark_note(&mut self, x: usize, dark: bool) {
        let what = format!("{} w{x}", if dark { "dark" } else { "light" });
        self.note(Event::Fault { what });
    }
}
