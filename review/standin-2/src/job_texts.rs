//! Fault: accepted jobs with long texts bring the core machines over their memory. The platform kills a process that is over
//! its memory, and starts it again.

use crate::client::{job_call, job_id, DEADLINE_MS};
use crate::deployment::Deployment;
use crate::fleet::Class;
use crate::record::{lock, Record};
use crate::Verdict;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// The memory of a core machine on the site, in MiB, and the longest text of a job, in bytes.
const MEMORY_MB: u64 = 260;
const TEXT_BYTES: usize = 4000;
/// The text of a job with TROUBLE=0, in bytes.
const SHORT_TEXT_BYTES: usize = 40;
/// The jobs with a text: how many a second, and for how long. They wait for a worker of a kind that isn't there.
const JOBS_A_SECOND: u64 = 400;
const TRAFFIC: Duration = Duration::from_secs(28);
const CLIENTS: u64 = 40;
/// The other jobs, which run at once: how many a second, from the beginning to the end.
const SMALL_JOBS_A_SECOND: u64 = 60;
const SMALL_CLIENTS: u64 = 12;
const SMALL_JOB: &str =
    r#"{"jobSpec":"work 300","stages":[{"count":2,"cpu":250,"memMb":256,"estRuntimeMs":300}]}"#;
/// The time for which the processes are watched, and how often their memory is read.
const WATCH: Duration = Duration::from_secs(100);
const SAMPLE: Duration = Duration::from_millis(50);
/// After this time a killed process is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// A machine on which processes end this often counts.
const ENDS: usize = 3;

/// The clients' threads, and how many jobs were answered with each status; 0 stands for no answer.
struct Traffic {
    threads: Vec<JoinHandle<()>>,
    statuses: Arc<Mutex<BTreeMap<u16, u64>>>,
    ends: Arc<AtomicBool>,
}

impl Traffic {
    /// Starts a number of clients, which together hand in a number of jobs a second.
    fn start(
        fronts: &[SocketAddr],
        kind: u64,
        clients: u64,
        jobs_a_second: u64,
        job: String,
    ) -> Self {
        let job = Arc::new(job);
        let next = Arc::new(AtomicU64::new(0));
        let ends = Arc::new(AtomicBool::new(false));
        let statuses: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
        let threads = (0..clients).map(|_| {
            let (fronts, job, next) = (fronts.to_vec(), job.clone(), next.clone());
            let (ends, statuses) = (ends.clone(), statuses.clone());
            std::thread::spawn(move || {
                while !ends.load(Ordering::SeqCst) {
                    let sent_at = Instant::now();
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let front = fronts[number as usize % fronts.len()];
                    let patience = Duration::from_millis(DEADLINE_MS);
                    let reply = job_call(front, "POST", &job_id(kind, number), &job, patience);
                    let status = reply.map_or(0, |(status, _)| status);
                    *lock(&statuses).entry(status).or_default() += 1;
                    let pause = Duration::from_millis(1000 * clients / jobs_a_second);
                    sleep(pause.saturating_sub(sent_at.elapsed()));
                }
            })
        });
        Self {
            threads: threads.collect(),
            statuses,
            ends,
        }
    }

    fn stop(self) -> BTreeMap<u16, u64> {
        self.ends.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let statuses = lock(&self.statuses).clone();
        statuses
    }
}

pub fn run(repository: &Path, trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(repository, 2, 3, record)?;
    let fleet = &mut deployment.fleet;
    let core = fleet.names(Class::Core);
    let fronts = ["core-1", "core-2", "core-3", "edge-1", "edge-2"].map(|name| fleet.front(name));
    let text_bytes = if trouble {
        TEXT_BYTES
    } else {
        SHORT_TEXT_BYTES
    };
    record.note(&format!(
        "{JOBS_A_SECOND} jobs a second come for {} s, each with a text of {text_bytes} bytes",
        TRAFFIC.as_secs()
    ));
    let text = "x".repeat(text_bytes);
    let job = format!(
        r#"{{"jobSpec":"{text}","stages":[{{"count":1,"cpu":100,"memMb":16,"estRuntimeMs":500,"constraints":"b"}}]}}"#
    );
    let mut traffic = Some(Traffic::start(&fronts, 5, CLIENTS, JOBS_A_SECOND, job));
    let small = Traffic::start(
        &fronts,
        6,
        SMALL_CLIENTS,
        SMALL_JOBS_A_SECOND,
        SMALL_JOB.into(),
    );
    let began = Instant::now();
    let mut kills: BTreeMap<String, usize> = BTreeMap::new();
    let mut peaks: BTreeMap<String, u64> = BTreeMap::new();
    let mut restarts: Vec<(Instant, String)> = Vec::new();
    while began.elapsed() < WATCH {
        if began.elapsed() >= TRAFFIC {
            if let Some(traffic) = traffic.take() {
                record.note(&format!(
                    "jobs with a text, by the status of their answer (0 for none): {:?}",
                    traffic.stop()
                ));
            }
        }
        for name in &core {
            let used_mb = fleet.memory_mb(name).unwrap_or(0);
            let peak = peaks.entry(name.clone()).or_default();
            *peak = (*peak).max(used_mb);
            if used_mb > MEMORY_MB {
                record.note(&format!(
                    "{name} holds {used_mb} MiB: the platform kills it"
                ));
                fleet.kill(name);
                *kills.entry(name.clone()).or_default() += 1;
                restarts.push((Instant::now() + RESTART_PAUSE, name.clone()));
            }
        }
        let (due, later) = restarts
            .into_iter()
            .partition(|(at, _)| Instant::now() >= *at);
        restarts = later;
        for (_, name) in due {
            fleet.start(&name, false)?;
        }
        sleep(SAMPLE);
    }
    record.note(&format!(
        "other jobs, by the status of their answer (0 for none): {:?}",
        small.stop()
    ));
    record.note(&format!(
        "the most memory of each core machine, MiB: {peaks:?}"
    ));
    record.note(&format!("Fault: kills of each core machine: {kills:?}"));
    let machines = kills.values().filter(|count| **count >= ENDS).count();
    Ok(if machines * 2 >= core.len() {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
