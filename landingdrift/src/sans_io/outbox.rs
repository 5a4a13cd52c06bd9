//! Collects the effects and the counters of a state machine.

use super::{Effect, Response, WriteBatch};
use crate::wire::Body;
use std::collections::BTreeMap;

/// The effects of the current step, in order, and the counters accumulated over all steps.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    effects: Vec<Effect>,
    counters: BTreeMap<&'static str, u64>,
}

impl Outbox {
    /// Sends a message to the process at an address.
    pub fn send(&mut self, to: &str, body: Body) {
        self.effects.push(Effect::Send(to.into(), body));
    }

    /// Sends the response to an HTTP request, identified by the number of its call.
    pub fn respond(&mut self, call: u64, response: Response) {
        self.effects.push(Effect::Respond(call, response));
    }

    /// Writes a batch to the disk.
    pub fn persist(&mut self, batch: WriteBatch) {
        self.effects.push(Effect::Persist(batch));
    }

    /// Writes a line to the process's log.
    pub fn log(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }

    /// Reports that the state machine has finished.
    pub fn exit(&mut self) {
        self.effects.push(Effect::Exit);
    }

    /// Adds `n` to a counter.
    pub fn count(&mut self, name: &'static str, n: u64) {
        *self.counters.entry(name).or_default() += n;
    }

    /// Returns the effects collected so far, and clears them.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// All counters, by name.
    pub fn counters(&self) -> Vec<(String, u64)> {
        let pairs = self.counters.iter();
        pairs
            .map(|(name, value)| (name.to_string(), *value))
            .collect()
    }
}
