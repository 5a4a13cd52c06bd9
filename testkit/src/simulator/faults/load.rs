//! Faults of those who call: too many jobs, jobs of the wrong kind, and storms of configuration.

use super::World;
use crate::scenario::{random_job, Mix};
use crate::simulator::world::repeat_first_task;
use crate::simulator::EPOCH;
use landingdrift::state::JobSpec;
use serde_json::{json, Map, Value};

/// Jobs of a crowd, where the fault doesn't say how many.
const CROWD: u64 = 60;
/// Jobs that are all bound to fail.
const DOOMED_JOBS: u64 = 40;
/// How long a task of an urgent job runs on average, in milliseconds.
const URGENT_TASK_MS: f64 = 60.0;
/// Tasks of a huge job.
const HUGE_JOB_TASKS: usize = 200;
/// Jobs that nobody can take: three of each of three kinds.
const INVALID_JOBS: u64 = 9;
/// The size of a payload that makes a job too large, in bytes.
const TOO_LARGE_BYTES: usize = 1 << 20;
/// Changes of configuration in a storm.
const STORM_CHANGES: usize = 30;
/// The notes of a large configuration.
const LARGE_NOTES: usize = 2000;
/// The size of each of them, in bytes.
const LARGE_NOTE_BYTES: usize = 50;
/// The notes of a configuration that is close to the limit of 4 MiB.
const HUGE_NOTES: usize = 1000;
/// The size of each of them, in bytes.
const HUGE_NOTE_BYTES: usize = 3900;

impl World {
    /// Offers many jobs at once; 0 stands for the usual number.
    pub(super) fn offer_crowd(&mut self, amount: u64, mix: &Mix) {
        let count = if amount > 0 { amount } else { CROWD };
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

    /// Offers short jobs in the most urgent queue.
    pub(super) fn offer_urgent_jobs(&mut self, amount: u64) {
        let mut mix = self.shape.mix();
        mix.queues = vec![mix.queues[2].clone()];
        mix.task_ms = URGENT_TASK_MS;
        self.offer_crowd(amount, &mix);
    }

    pub(super) fn offer_huge_job(&mut self) {
        let id = format!("huge-{}", self.now);
        let spec = self.random_job(&self.plain_mix(), &id);
        self.offer(repeat_first_task(spec, HUGE_JOB_TASKS));
    }

    /// Offers jobs that nobody can take: a task that depends on itself, an unknown queue, a body too large.
    pub(super) fn offer_invalid_jobs(&mut self) {
        let mix = self.plain_mix();
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

    fn plain_mix(&self) -> Mix {
        Mix {
            is_plain: true,
            ..self.shape.mix()
        }
    }

    fn random_job(&mut self, mix: &Mix, id: &str) -> JobSpec {
        random_job(&mut self.rng, mix, id, EPOCH + self.now)
    }

    /// Two operators change the configuration by turns, many times.
    pub(super) fn change_often(&mut self) {
        for index in 0..STORM_CHANGES {
            let change = json!({"notes": {"storm": index.to_string()}});
            self.operators[index % 2].apply(true, change);
        }
    }

    /// Two operators change the same version.
    pub(super) fn change_as_rivals(&mut self) {
        let base = self.operators[0].version.max(self.operators[1].version);
        self.operators[0].race(base, json!({"notes": {"rival": "a"}}));
        self.operators[1].race(base, json!({"notes": {"rival": "b"}}));
    }

    /// Applies a large configuration of so many notes; 0 stands for the usual number.
    pub(super) fn apply_large_configuration(&mut self, amount: u64) {
        let text = json!("x".repeat(LARGE_NOTE_BYTES));
        let count = if amount > 0 {
            amount as usize
        } else {
            LARGE_NOTES
        };
        self.set_notes("n", count, &text);
    }

    pub(super) fn apply_huge_configuration(&mut self) {
        let text = json!("y".repeat(HUGE_NOTE_BYTES));
        self.set_notes("h", HUGE_NOTES, &text);
    }

    pub(super) fn remove_huge_configuration(&mut self) {
        self.set_notes("h", HUGE_NOTES, &Value::Null);
    }

    /// Sets so many notes of the configuration, or removes them where `text` is null.
    fn set_notes(&mut self, prefix: &str, count: usize, text: &Value) {
        let note = |index| (format!("{prefix}{index}"), text.clone());
        let notes: Map<String, Value> = (0..count).map(note).collect();
        self.operators[0].apply(true, json!({"notes": notes}));
    }

    pub(super) fn set_queue(&mut self, number: usize, settings: Value) {
        let queues = self.shape.mix().queues;
        let queue = queues[number % queues.len()].as_str();
        self.operators[0].apply(true, json!({"queues": {(queue): settings}}));
    }

    pub(super) fn set_zone(&mut self, zone: usize, state: &str) {
        self.operators[0].set_zone(&format!("z{zone}"), state);
    }
}
