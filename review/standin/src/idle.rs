//! The rule's idle jobs: for some seconds a job has nothing running although a task's turn has come, there is room for it
//! twice over, and less than half of the service's room is in use. By what the workers have seen alone.

use crate::worker::{Event, Profile, Shared, Stage};

/// The rule's span without anything running.
pub const IDLE_MS: u64 = 3000;
/// How long after the traffic the rule's span begins: `finish_s`.
pub const FINISH_MS: u64 = 14_000;

/// What was found in a span.
pub struct Idle {
    pub jobs: Vec<String>,
    /// The most CPU that was in use at once on workers that are up, and all that they have.
    pub in_use: u64,
    pub room: u64,
}

impl Idle {
    /// Whether the rule is broken.
    pub fn is_broken(&self) -> bool {
        !self.jobs.is_empty() && self.in_use * 2 < self.room
    }
}

/// The most CPU and memory that was in use at once in a span, by a filter of the events.
fn most_in_use(shared: &Shared, from: u64, to: u64, counts: impl Fn(&Event) -> bool) -> (u64, u64) {
    let (mut now, mut most) = ((0i64, 0i64), (0i64, 0i64));
    let mut keep = |now: (i64, i64)| most = (most.0.max(now.0), most.1.max(now.1));
    for event in shared
        .events
        .iter()
        .filter(|event| event.at < to && counts(event))
    {
        if event.at >= from {
            keep(now);
        }
        let Some(stage) = shared.stage(&event.task) else {
            continue;
        };
        let sign = if event.how.is_empty() { 1 } else { -1 };
        now = (
            now.0 + sign * i64::from(stage.cpu),
            now.1 + sign * i64::from(stage.mem_mb),
        );
    }
    keep(now);
    (most.0.max(0) as u64, most.1.max(0) as u64)
}

/// How many tasks of a stage fit on the workers that are up, beside all that ran on them in a span.
fn fitting(shared: &Shared, up: &[&Profile], stage: &Stage, from: u64, to: u64) -> u64 {
    let mut sum = 0;
    for profile in up {
        let has_label = stage.constraints.is_empty() || profile.labels.contains(&stage.constraints);
        if !has_label {
            continue;
        }
        let (cpu, mem) = most_in_use(shared, from, to, |event| event.worker == profile.id);
        let by_cpu = u64::from(profile.cpu).saturating_sub(cpu) / u64::from(stage.cpu.max(1));
        let by_mem = u64::from(profile.mem_mb).saturating_sub(mem) / u64::from(stage.mem_mb.max(1));
        sum += by_cpu.min(by_mem);
    }
    sum
}

/// Finds the idle jobs of one stage each among those that were accepted, in the `IDLE_MS` from `from` on.
pub fn find(
    shared: &Shared,
    profiles: &[&Profile],
    down: &[String],
    accepted: &[(String, u64)],
    from: u64,
) -> Idle {
    let to = from + IDLE_MS;
    let up: Vec<&Profile> = profiles
        .iter()
        .copied()
        .filter(|p| !down.contains(&p.id))
        .collect();
    let is_up = |event: &Event| !down.contains(&event.worker);
    let mut jobs = Vec::new();
    for (id, _) in accepted.iter().filter(|(_, at)| *at <= from) {
        let stage = &shared.jobs[id][0];
        let prefix = format!("{id}.");
        let of_job = || {
            shared
                .events
                .iter()
                .filter(|e| e.at < to && e.task.starts_with(&prefix))
        };
        let done = of_job().filter(|e| e.how == "done").count() as u64;
        let starts = of_job().filter(|e| is_up(e) && e.how.is_empty()).count();
        let ends = of_job()
            .filter(|e| is_up(e) && !e.how.is_empty() && e.at <= from)
            .count();
        let left = u64::from(stage.count) - done.min(u64::from(stage.count));
        if left > 0 && starts == ends && fitting(shared, &up, stage, from, to) >= 2 * left {
            jobs.push(id.clone());
        }
    }
    let room = up.iter().map(|p| u64::from(p.cpu)).sum();
    let (in_use, _) = most_in_use(shared, from, to, is_up);
    Idle { jobs, in_use, room }
}
