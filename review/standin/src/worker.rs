//! A stand-in worker. It follows the pages: heartbeats to the address on its machine, starts and stops from the answers,
//! a hold on its own steady clock, ends that are repeated until they are taken note of, and gangs that work only whole.

use crate::deployment::spread_factor;
use crate::http;
use crate::record::Record;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An answer that comes later is dropped.
const ANSWER_WITHIN: Duration = Duration::from_millis(1000);
/// A larger answer acknowledges nothing.
const MAX_ANSWER_BYTES: usize = 4 << 20;
const MAX_ENDS: usize = 500;
const HOLD_MAX: Duration = Duration::from_millis(6000);
const GANG_TIMEOUT: Duration = Duration::from_millis(3000);
const BEAT_INTERVAL_MS: u64 = 1400;
const AFTER_END: Duration = Duration::from_millis(50);

/// A step as the client handed it in.
#[derive(Clone, Debug, Default)]
pub struct Stage {
    pub count: u32,
    pub cpu: u32,
    pub mem_mb: u32,
    /// How long each of its tasks really works.
    pub work_ms: u64,
    pub gang: bool,
    pub long_running: bool,
    pub anti_affinity: u32,
    pub constraints: String,
    /// The rack that holds the data; empty for none.
    pub affinity: String,
    /// Its tasks fail, by their own fault, when they have worked for their time.
    pub fails: bool,
}

impl Stage {
    /// How long a task works on a worker of a rack.
    fn work_ms_on(&self, rack: &str) -> u64 {
        if self.affinity.is_empty() || self.affinity == rack {
            self.work_ms
        } else {
            (self.work_ms as f64 * spread_factor()) as u64
        }
    }

    pub fn json(&self) -> Value {
        let mut stage = json!({"count": self.count, "cpu": self.cpu, "memMb": self.mem_mb, "estRuntimeMs": self.work_ms});
        if self.gang {
            stage["gang"] = json!(true);
        }
        if self.long_running {
            stage["longRunning"] = json!(true);
        }
        if self.anti_affinity > 0 {
            stage["antiAffinity"] = json!(self.anti_affinity);
        }
        if !self.constraints.is_empty() {
            stage["constraints"] = json!(self.constraints);
        }
        if !self.affinity.is_empty() {
            stage["affinity"] = json!(self.affinity);
        }
        stage
    }
}

/// A start or an end on a worker.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: u64,
    pub worker: String,
    pub task: String,
    pub run: u32,
    /// Empty for a start, else how the run ended.
    pub how: String,
}

/// What all workers of a case share: the jobs that clients have handed in, and what has run.
#[derive(Default)]
pub struct Shared {
    pub jobs: BTreeMap<String, Vec<Stage>>,
    pub events: Vec<Event>,
    /// Ends that were taken note of: the worker, the task and the run.
    pub noted: BTreeSet<(String, String, u32)>,
    /// The members of a gang's run that are there, by job, time, step and run.
    gangs: BTreeMap<String, BTreeSet<String>>,
    /// Gangs' runs that have begun to work, and since when.
    working: BTreeMap<String, Instant>,
    /// Gangs' runs of which a member has ended, and whether it was done.
    ended: BTreeMap<String, bool>,
}

impl Shared {
    pub fn stage(&self, task: &str) -> Option<&Stage> {
        let mut parts = task.split('.');
        let (job, step) = (parts.next()?, parts.nth(1)?);
        self.jobs.get(job)?.get(step.parse::<usize>().ok()?)
    }

    /// When the first task of a job began.
    pub fn first_start(&self, job: &str) -> Option<u64> {
        let prefix = format!("{job}.");
        let mut starts = self
            .events
            .iter()
            .filter(|e| e.how.is_empty() && e.task.starts_with(&prefix));
        starts.next().map(|event| event.at)
    }
}

struct Run {
    number: u32,
    since: Instant,
    /// How long it has worked; nothing is added while the worker stands still. Gangs go by their common begin.
    worked: Duration,
    gang: Option<String>,
    /// When a stop that was ordered has taken effect.
    stopped_at: Option<Instant>,
}

/// What a worker says of itself.
#[derive(Clone)]
pub struct Profile {
    pub id: String,
    pub zone: &'static str,
    pub address: String,
    pub beats_to: SocketAddr,
    pub cpu: u32,
    pub mem_mb: u32,
    pub labels: [String; 2],
    /// How long a stop takes; the pages allow 200 ms.
    pub stop: Duration,
}

/// A worker; it ends when `stop` is set, as in a crash: it says nothing.
pub struct Worker {
    profile: Profile,
    shared: Arc<Mutex<Shared>>,
    record: Record,
    born: Instant,
    runs: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u32, String)>,
    next_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    over: BTreeMap<String, u32>,
    fence: u64,
    hold_until: Option<Instant>,
    sequence: u64,
    last_tick: Instant,
    switches: Switches,
}

/// What a case does to a worker.
#[derive(Clone, Default)]
pub struct Switches {
    /// It crashes: it says nothing and all that runs on it is gone.
    pub crash: Arc<AtomicBool>,
    /// Its tasks stand still; it goes on sending heartbeats.
    pub stand_still: Arc<AtomicBool>,
}

impl Worker {
    pub fn spawn(
        profile: Profile,
        shared: &Arc<Mutex<Shared>>,
        record: &Record,
        switches: &Switches,
    ) -> std::thread::JoinHandle<()> {
        let mut worker = Self {
            profile,
            shared: shared.clone(),
            record: record.clone(),
            born: Instant::now(),
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            over: BTreeMap::new(),
            fence: 0,
            hold_until: None,
            sequence: 0,
            last_tick: Instant::now(),
            switches: switches.clone(),
        };
        std::thread::spawn(move || worker.live())
    }

    fn live(&mut self) {
        let crash = self.switches.crash.clone();
        let is_crashed = || crash.load(Ordering::SeqCst);
        let mut pause = Duration::from_millis(50);
        while !is_crashed() {
            let wait = match self.beat() {
                Some(retry_after) => {
                    pause = Duration::from_millis(50);
                    retry_after
                }
                None => {
                    pause = (pause * 2).min(Duration::from_secs(1));
                    pause
                }
            };
            let next = Instant::now() + wait;
            while Instant::now() < next && !is_crashed() {
                if self.work() {
                    std::thread::sleep(AFTER_END);
                    break;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            self.work();
        }
        self.record
            .line(&format!("worker {} crashes", self.profile.id));
    }

    /// Sends a heartbeat and does what the answer says; returns when the next one is due, if it was acknowledged.
    fn beat(&mut self) -> Option<Duration> {
        self.sequence += 1;
        let profile = &self.profile;
        let now = Instant::now();
        let shared = self.shared.lock().unwrap();
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|(task, run)| {
                json!([
                    task,
                    run.number,
                    "",
                    percent(&shared, task, run, now, &profile.labels[1])
                ])
            })
            .collect();
        drop(shared);
        let finished: Vec<Value> = self
            .ended
            .iter()
            .take(MAX_ENDS)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let body = json!({
            "backend": "trade-orders", "address": profile.address, "zone": profile.zone, "version": "v1", "slots": 8,
            "state": "ready", "coldLeftMs": 0, "callSeq": self.sequence,
            "capacity": {"cpu": profile.cpu, "memMb": profile.mem_mb, "gpus": 0}, "labels": profile.labels,
            "clockMs": self.born.elapsed().as_millis() as u64, "running": running, "finished": finished,
        });
        let path = format!("/landingdrift/Workers.Heartbeat/{}", profile.id);
        let bytes = body.to_string().into_bytes();
        let answer = http::call(profile.beats_to, "POST", &path, &[], &bytes, ANSWER_WITHIN);
        let answer = match answer {
            Ok(answer) if (200..300).contains(&answer.status) => answer,
            Ok(_) => return None,
            Err(_) => return None,
        };
        if answer.bytes > MAX_ANSWER_BYTES {
            let text = format!(
                "worker {}: an answer of {} bytes is over 4 MiB and acknowledges nothing",
                self.profile.id, answer.bytes
            );
            self.record.line(&text);
            return None;
        }
        self.obey(now, &answer.body);
        let retry_after = answer.body["retryAfterMs"]
            .as_u64()
            .unwrap_or(BEAT_INTERVAL_MS);
        Some(Duration::from_millis(retry_after))
    }

    fn obey(&mut self, sent: Instant, answer: &Value) {
        if let Some(last_seen) = answer["lastSeen"].as_u64() {
            let noted = self.ended.iter().filter(|end| end.0 <= last_seen);
            let noted =
                noted.map(|(_, task, run, _)| (self.profile.id.clone(), task.clone(), *run));
            self.shared.lock().unwrap().noted.extend(noted);
            self.ended.retain(|end| end.0 > last_seen);
        }
        let fence = answer["fenceToken"].as_u64().unwrap_or(0);
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        for stop in answer["stop"].as_array().into_iter().flatten() {
            let (task, run) = (
                stop[0].as_str().unwrap_or(""),
                stop[1].as_u64().unwrap_or(0) as u32,
            );
            match self
                .runs
                .get_mut(task)
                .filter(|running| running.number == run)
            {
                Some(running) => {
                    running
                        .stopped_at
                        .get_or_insert(Instant::now() + self.profile.stop);
                }
                None => {
                    let over = self.over.entry(task.to_string()).or_default();
                    *over = (*over).max(run);
                }
            }
        }
        let Some(hold_ms) = answer["holdMs"].as_u64() else {
            return;
        };
        let until = sent + Duration::from_millis(hold_ms).min(HOLD_MAX);
        self.hold_until = Some(self.hold_until.map_or(until, |hold| hold.max(until)));
        for start in answer["start"].as_array().into_iter().flatten() {
            let (task, run) = (
                start[0].as_str().unwrap_or(""),
                start[1].as_u64().unwrap_or(0) as u32,
            );
            self.start(task, run, start[2].as_str().unwrap_or(""));
        }
    }

    fn start(&mut self, task: &str, run: u32, job_spec: &str) {
        let is_over = self.over.get(task).is_some_and(|over| run <= *over);
        if is_over || self.runs.contains_key(task) {
            return;
        }
        let mut shared = self.shared.lock().unwrap();
        let stage = shared.stage(task).cloned();
        if stage.is_none() {
            self.record.line(&format!(
                "UNASKED start {task} run {run} on {} of '{job_spec}'",
                self.profile.id
            ));
        }
        let gang = stage.is_some_and(|stage| stage.gang).then(|| {
            let step = task.rsplit_once('.').map_or("", |(step, _)| step);
            format!("{step}#{run}")
        });
        if let Some(gang) = &gang {
            shared
                .gangs
                .entry(gang.clone())
                .or_default()
                .insert(task.to_string());
        }
        self.note(&mut shared, task, run, "");
        drop(shared);
        self.runs.insert(
            task.to_string(),
            Run {
                number: run,
                since: Instant::now(),
                worked: Duration::ZERO,
                gang,
                stopped_at: None,
            },
        );
    }

    fn note(&self, shared: &mut Shared, task: &str, run: u32, how: &str) {
        shared.events.push(Event {
            at: self.record.now(),
            worker: self.profile.id.clone(),
            task: task.into(),
            run,
            how: how.into(),
        });
        let what = if how.is_empty() { "start" } else { how };
        self.record.line(&format!(
            "run {what} {task} run {run} on {} in {}",
            self.profile.id, self.profile.zone
        ));
    }

    fn end(&mut self, task: &str, how: &str) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        let mut shared = self.shared.lock().unwrap();
        if let Some(gang) = &run.gang {
            shared.ended.entry(gang.clone()).or_insert(how == "done");
        }
        self.note(&mut shared, task, run.number, how);
        let over = self.over.entry(task.to_string()).or_default();
        *over = (*over).max(run.number);
        self.ended
            .push((self.next_end, task.into(), run.number, how.into()));
        self.next_end += 1;
    }

    /// Lets the work go on; returns whether something has ended.
    fn work(&mut self) -> bool {
        let now = Instant::now();
        let elapsed = now - std::mem::replace(&mut self.last_tick, now);
        if !self.switches.stand_still.load(Ordering::SeqCst) {
            self.runs.values_mut().for_each(|run| run.worked += elapsed);
        }
        let has_lapsed = self.hold_until.is_some_and(|hold| now > hold);
        let tasks: Vec<String> = self.runs.keys().cloned().collect();
        let mut any_ended = false;
        for task in tasks {
            let how = if has_lapsed {
                Some("lapsed")
            } else {
                self.verdict(now, &task)
            };
            if let Some(how) = how {
                self.end(&task, how);
                any_ended = true;
            }
        }
        any_ended
    }

    /// How a run has ended, if it has.
    fn verdict(&self, now: Instant, task: &str) -> Option<&'static str> {
        let run = &self.runs[task];
        if run.stopped_at.is_some_and(|at| now >= at) {
            return Some("stopped");
        }
        let mut shared = self.shared.lock().unwrap();
        let stage = shared.stage(task)?.clone();
        let mut worked = run.worked;
        if let Some(gang) = &run.gang {
            if let Some(done) = shared.ended.get(gang) {
                return Some(if *done { "done" } else { "broken" });
            }
            if !shared.working.contains_key(gang) {
                if shared.gangs.get(gang).map_or(0, BTreeSet::len) < stage.count as usize {
                    return (now > run.since + GANG_TIMEOUT).then_some("alone");
                }
                shared.working.insert(gang.clone(), now);
            }
            worked = now.saturating_duration_since(shared.working[gang]);
        }
        let work = Duration::from_millis(stage.work_ms_on(&self.profile.labels[1]));
        let how = if stage.fails { "failed" } else { "done" };
        (!stage.long_running && worked >= work).then_some(how)
    }
}

fn percent(shared: &Shared, task: &str, run: &Run, now: Instant, rack: &str) -> u64 {
    let Some(stage) = shared.stage(task) else {
        return 0;
    };
    let worked = match &run.gang {
        Some(gang) => match shared.working.get(gang) {
            Some(since) => now.saturating_duration_since(*since),
            None => return 0,
        },
        None => run.worked,
    };
    let worked = worked.as_millis() as u64;
    (worked * 100 / stage.work_ms_on(rack).max(1)).min(99)
}
