//! Fault: a program does not start, because its settings file has a new field.

use crate::client::{job_call, job_id, DEADLINE_MS};
use crate::deployment::Deployment;
use crate::fleet::Class;
use crate::record::Record;
use crate::Verdict;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The new field, in the table `limits`.
const NEW_FIELD: &str = "diskKind = \"ssd\"";
/// A process that has ended is started again after this time, this many times.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
const STARTS: usize = 3;
/// `graceS` of the site.
const GRACE: Duration = Duration::from_secs(6);
/// How long a started process may take until it is ready: `recoveryS` of the site.
const READY_WITHIN: Duration = Duration::from_secs(12);
const JOB: &str =
    r#"{"jobSpec":"work 300","stages":[{"count":2,"cpu":500,"memMb":256,"estRuntimeMs":300}]}"#;

pub fn run(repository: &Path, trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(repository, 4, 3, record)?;
    let fleet = &mut deployment.fleet;
    if trouble {
        fleet.new_limit = NEW_FIELD.into();
        record.note(&format!(
            "the settings files have a new field in [limits]: {NEW_FIELD}"
        ));
    }
    let mut failed_starts = 0;
    for name in fleet.names(Class::Core) {
        record.note(&format!("{name} gets SIGTERM"));
        fleet.signal(&name, "TERM");
        let killed_at = Instant::now() + GRACE;
        while !fleet.has_ended(&name) && Instant::now() < killed_at {
            sleep(Duration::from_millis(50));
        }
        fleet.kill(&name);
        for _ in 0..STARTS {
            sleep(RESTART_PAUSE);
            fleet.start(&name, false)?;
            record.note(&format!("{name} is started"));
            let until = Instant::now() + READY_WITHIN;
            while Instant::now() < until && !fleet.has_ended(&name) && !fleet.is_ready(&name) {
                sleep(Duration::from_millis(100));
            }
            if fleet.is_ready(&name) {
                record.note(&format!("{name} is ready"));
                break;
            }
            failed_starts += 1;
            let log = fleet.log(&name);
            let last = log.lines().last().unwrap_or_default();
            let state = if fleet.has_ended(&name) {
                "has ended by itself"
            } else {
                "is not ready"
            };
            record.note(&format!("Fault: {name} {state}: {last}"));
            fleet.kill(&name);
        }
    }
    // What clients see of it, at the node without a disk, which still runs.
    let patience = Duration::from_millis(DEADLINE_MS);
    let reply = job_call(fleet.front("edge-1"), "POST", &job_id(3, 1), JOB, patience);
    record.note(&format!(
        "client: POST at edge-1: {:?}",
        reply.map(|(status, _)| status)
    ));
    record.note(&format!("{failed_starts} starts of a program failed"));
    Ok(Verdict::from_breaks(failed_starts))
}
