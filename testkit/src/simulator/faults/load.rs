//! Faults of those who call: too many jobs, jobs of the wrong kind, and storms of configuration.

use super::{Ent, World};
use crate::scenario::{job, Mix};
use crate::simulator::EPOCH;
use landingdrift::state::{JobSpec, TaskSpec};
use serde_json::{json, Map, Value};

/// Jobs of a crowd, where the fault doesn't say how many.
const CROWD: u64 = 60;
/// Jobs that are all bound to fail.
const DOOMED: u64 = 40;
/// How long a task of an urgent job runs on average, in milliseconds.
const URGENT_MS: f64 = 60.0;
/// Tasks of a huge job.
const HUGE_JOB_TASKS: usize = 200;
/// Jobs that nobody can take: three of each of three kinds.
const WRONG_JOBS: u64 = 9;
/// The size of a payload that makes a job too large.
const TOO_LARGE_BYTES: usize = 1 << 20;
/// Changes of configuration in a storm.
const STORM_CHANGES: usize = 30;
/// A large configuration: so many notes of so many bytes.
const LARGE_NOTES: usize = 2000;
const LARGE_NOTE_BYTES: usize = 50;
/// One that is close to the limit of 4 MiB.
const HUGE_NOTES: usize = 1000;
const HUGE_NOTE_BYTES: usize = 3900;

impl World {
    /// Offers many jobs at once; 0 stands for the usual number.
    pub(super) fn crowd_of(&mut self, amount: u64, mix: &Mix) {
        self.crowd(if amount > 0 { amount } else { CROWD }, mix);
    }

    pub(super) fn doomed_jobs(&mut self) {
        let mix = Mix {
            doomed: 1.0,
            ..self.shape.mix()
        };
        self.crowd(DOOMED, &mix);
    }

    pub(super) fn urgent_jobs(&mut self, amount: u64) {
        let mut mix = self.shape.mix();
        mix.queues = vec![mix.queues[2].clone()];
        mix.ms = URGENT_MS;
        self.crowd_of(amount, &mix);
    }

    fn crowd(&mut self, number: u64, mix: &Mix) {
        for n in 0..number {
            let spec = self.draw_job(mix, &format!("crowd-{}-{n}", self.t));
            self.offer(spec);
        }
    }

    pub(super) fn huge_job(&mut self) {
        let mix = self.plain_mix();
        let mut spec = self.draw_job(&mix, &format!("huge-{}", self.t));
        let one = spec.tasks[0].clone();
        let task = |n: usize| TaskSpec {
            name: format!("t{n}"),
            ..one.clone()
        };
        spec.tasks = (0..HUGE_JOB_TASKS).map(task).collect();
        self.offer(spec);
    }

    /// Jobs that nobody can take: a circle, an unknown queue, a body too large.
    pub(super) fn wrong_jobs(&mut self) {
        let mix = self.plain_mix();
        for n in 0..WRONG_JOBS {
            let mut spec = self.draw_job(&mix, &format!("wrong-{}-{n}", self.t));
            match n % 3 {
                0 => spec.tasks[0].depends_on = vec![spec.tasks[0].name.clone()],
                1 => spec.queue = "nowhere".into(),
                _ => spec.tasks[0].payload = json!({"ms": 10, "text": "z".repeat(TOO_LARGE_BYTES)}),
            }
            self.offer(spec);
        }
    }

    fn plain_mix(&self) -> Mix {
        Mix {
            plain: true,
            ..self.shape.mix()
        }
    }

    fn draw_job(&mut self, mix: &Mix, id: &str) -> JobSpec {
        job(&mut self.rng, mix, id, EPOCH + self.t)
    }

    fn offer(&mut self, spec: JobSpec) {
        let asks = self.client.offer(self.t, spec);
        self.asked(Ent::Client, asks);
    }

    /// Two operators change the configuration by turns.
    pub(super) fn storm(&mut self) {
        for n in 0..STORM_CHANGES {
            self.operators[n % 2].apply(true, json!({"notes": {"storm": format!("{n}")}}));
        }
    }

    /// Two operators change the same version.
    pub(super) fn rivals(&mut self) {
        let base = self.operators[0].version.max(self.operators[1].version);
        self.operators[0].race(base, json!({"notes": {"rival": "a"}}));
        self.operators[1].race(base, json!({"notes": {"rival": "b"}}));
    }

    pub(super) fn large_configuration(&mut self) {
        let text = json!("x".repeat(LARGE_NOTE_BYTES));
        self.write_notes("n", LARGE_NOTES, &text);
    }

    pub(super) fn huge_configuration(&mut self) {
        let text = json!("y".repeat(HUGE_NOTE_BYTES));
        self.write_notes("h", HUGE_NOTES, &text);
    }

    pub(super) fn drop_huge_configuration(&mut self) {
        self.write_notes("h", HUGE_NOTES, &Value::Null);
    }

    /// Sets so many notes of the configuration, or removes them where they are to be null.
    fn write_notes(&mut self, prefix: &str, count: usize, text: &Value) {
        let notes: Map<String, Value> = (0..count)
            .map(|n| (format!("{prefix}{n}"), text.clone()))
            .collect();
        self.operators[0].apply(true, json!({"notes": notes}));
    }

    pub(super) fn set_queue(&mut self, x: usize, to: Value) {
        let queues = self.shape.mix().queues;
        let queue = queues[x % queues.len()].as_str();
        self.operators[0].apply(true, json!({"queues": {(queue): to}}));
    }
}
