//! Faults in the load: bursts of jobs, invalid or failing jobs, and many or large changes of the configuration.

use super::World;
use crate::scenario::{random_job, Fault, Mix};
use crate::simulator::world::replace_tasks_with_copies_of_first;
use crate::simulator::EPOCH;
use landingdrift::state::JobSpec;
use serde_json::{json, Map, Value};

/// The number of jobs in a burst, unless the fault gives an amount.
const CROWD_JOBS: u64 = 60;
/// The number of jobs in one fault that offers jobs which can never succeed.
const DOOMED_JOBS: u64 = 40;
/// The mean minimum duration of an urgent job's tasks, before the random tail factor, in milliseconds.
const URGENT_TASK_MS: f64 = 60.0;
/// The number of tasks of a huge job.
const HUGE_JOB_TASKS: usize = 200;
/// The number of invalid jobs in one fault, three of each kind.
const INVALID_JOBS: u64 = 9;
/// The size of a payload that exceeds the limit on a job's size, in bytes.
const TOO_LARGE_BYTES: usize = 1 << 20;
/// The number of changes of the configuration in a storm.
const STORM_CHANGES: usize = 30;
/// The number of notes in a large configuration, unless the fault gives an amount.
const LARGE_CONFIG_NOTES: usize = 2000;
/// The size of each note in a large configuration, in bytes.
const LARGE_NOTE_BYTES: usize = 50;
/// The number of notes in a huge configuration, which together come close to the limit of 4 MiB.
const HUGE_CONFIG_NOTES: usize = 1000;
/// The size of each note in a huge configuration, in bytes.
const HUGE_NOTE_BYTES: usize = 3900;

impl World {
    /// Offers `amount` jobs of a mix at once, [`CROWD_JOBS`] if 0.
    pub(super) fn offer_crowd(&mut self, amount: u64, mix: &Mix) {
        let count = if amount > 0 { amount } else { CROWD_JOBS };
        for index in 0..count {
            let id = format!("crowd-{}-{index}", self.now);
            let spec = self.random_job(mix, &id);
            self.offer(spec);
        }
    }

    pub(super) fn offer_doomed_jobs(&mut self) {
        let mix = Mix {
            doomed_share: 1.0,
            ..self.shape.mix()
        };
        self.offer_crowd(DOOMED_JOBS, &mix);
    }

    /// Offers `amount` short jobs in the most urgent queue, [`CROWD_JOBS`] if 0.
    pub(super) fn offer_urgent_jobs(&mut self, amount: u64) {
        let mut mix = self.shape.mix();
        mix.queues = vec![mix.queues[2].clone()];
        mix.task_ms = URGENT_TASK_MS;
        self.offer_crowd(amount, &mix);
    }

    pub(super) fn offer_huge_job(&mut self) {
        let id = format!("huge-{}", self.now);
        let spec = self.random_job(&self.single_task_mix(), &id);
        self.offer(replace_tasks_with_copies_of_first(spec, HUGE_JOB_TASKS));
    }

    /// Offers invalid jobs: with a task that depends on itself, with an unknown queue, and with an oversized body.
    pub(super) fn offer_invalid_jobs(&mut self) {
        let mix = self.single_task_mix();
        for index in 0..INVALID_JOBS {
            let id = format!("wrong-{}-{index}", self.now);
            let mut spec = self.random_job(&mix, &id);
            let task = &mut spec.tasks[0];
            match index % 3 {
                0 => task.depends_on = vec![task.name.clone()],
                1 => spec.queue = "nowhere".into(),
                _ => task.payload = json!({"ms": 10, "text": "z".repeat(TOO_LARGE_BYTES)}),
            }
            self.offer(spec);
        }
    }

    fn single_task_mix(&self) -> Mix {
        Mix {
            has_single_task: true,
            ..self.shape.mix()
        }
    }

    fn random_job(&mut self, mix: &Mix, id: &str) -> JobSpec {
        random_job(&mut self.rng, mix, id, EPOCH + self.now)
    }

    /// Queues [`STORM_CHANGES`] changes of the configuration with two operators in turn.
    pub(super) fn change_configuration_in_turn(&mut self) {
        for index in 0..STORM_CHANGES {
            let change = json!({"notes": {"storm": index.to_string()}});
            self.operators[index % 2].queue_change(true, change);
        }
    }

    /// Queues two changes based on the same version, one with each operator.
    pub(super) fn submit_conflicting_changes(&mut self) {
        let base = self.operators[0].version.max(self.operators[1].version);
        self.operators[0].patch_version(base, json!({"notes": {"rival": "a"}}));
        self.operators[1].patch_version(base, json!({"notes": {"rival": "b"}}));
    }

    /// Applies a large configuration of `amount` notes, [`LARGE_CONFIG_NOTES`] if 0.
    pub(super) fn apply_large_configuration(&mut self, amount: u64) {
        let text = json!("x".repeat(LARGE_NOTE_BYTES));
        let count = if amount > 0 {
            amount as usize
        } else {
            LARGE_CONFIG_NOTES
        };
        self.set_notes("n", count, &text);
    }

    pub(super) fn apply_huge_configuration(&mut self) {
        let text = json!("y".repeat(HUGE_NOTE_BYTES));
        self.set_notes("h", HUGE_CONFIG_NOTES, &text);
    }

    pub(super) fn remove_huge_configuration(&mut self) {
        self.set_notes("h", HUGE_CONFIG_NOTES, &Value::Null);
    }

    /// Sets `count` notes of the configuration to `text`; null removes them.
    fn set_notes(&mut self, prefix: &str, count: usize, text: &Value) {
        let note = |index| (format!("{prefix}{index}"), text.clone());
        let notes: Map<String, Value> = (0..count).map(note).collect();
        self.operators[0].queue_change(true, json!({"notes": notes}));
    }

    pub(super) fn set_queue(&mut self, number: usize, settings: Value) {
        let queues = self.shape.mix().queues;
        let queue = queues[number % queues.len()].as_str();
        self.operators[0].queue_change(true, json!({"queues": {(queue): settings}}));
    }

    /// Queues the orders of a fault that evacuates a zone and returns it to service by turns.
    pub(super) fn order_zone_by_turns(&mut self, zone: usize, fault: &Fault) {
        // Not the operator of the other faults, whose changes might delay the orders.
        self.operators[1].order_zone_by_turns(self.now, &format!("z{zone}"), fault);
    }

    pub(super) fn set_zone(&mut self, zone: usize, state: &str) {
        self.operators[0].set_zone(&format!("z{zone}"), state);
    }
}
