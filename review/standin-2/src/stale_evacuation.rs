//! EVAC: while a new leader is elected, an order of the operator waits at a node. The operator repeats it at another node
//! and then gives the opposite order, which is acknowledged. After that the waiting order is carried out.

use crate::client::{job_call, job_id, DEADLINE_MS};
use crate::deployment::Deployment;
use crate::fleet::{Fleet, ZONES};
use crate::operator::order;
use crate::record::Record;
use crate::Verdict;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// `evacuateMs` and `contactMs` of the site.
const EVACUATE_MS: u64 = 5000;
const CONTACT_MS: u64 = 3000;
/// For how long the core machine is down.
const DOWN: Duration = Duration::from_millis(3500);
/// The time between the acknowledgement of one order and the next one for the same zone.
const PAUSE: Duration = Duration::from_millis(100);
/// The rounds, and the length of each.
const ROUNDS: usize = 9;
const ROUND: Duration = Duration::from_secs(9);
/// The zone that is evacuated, with the node that the operator calls first to take it back.
const EVACUATED: [(&str, &str); 1] = [(ZONES[0], "edge-1")];
/// A job: three tasks of half a second.
const JOB: &str =
    r#"{"jobSpec":"work 500","stages":[{"count":3,"cpu":1000,"memMb":256,"estRuntimeMs":500}]}"#;

/// Hands in three jobs a second until it is told to end.
fn traffic(fronts: Vec<SocketAddr>, ends: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        for number in 0.. {
            if ends.load(Ordering::SeqCst) {
                return;
            }
            let front = fronts[number as usize % fronts.len()];
            let patience = Duration::from_millis(DEADLINE_MS);
            let _ = job_call(front, "POST", &job_id(1, number), JOB, patience);
            sleep(Duration::from_millis(330));
        }
    })
}

fn begin(zone: &str) -> String {
    format!("/landingdrift/DrainZone.Begin/{zone}")
}

fn finish(zone: &str) -> String {
    format!("/landingdrift/DrainZone.Finish/{zone}")
}

/// Takes a zone back, calling `first` first, and empties it again at other nodes. Returns the time of the last
/// acknowledgement.
fn empty_again(
    fleet: &Fleet,
    zone: &str,
    first: &str,
    others: &[&str],
    record: &Record,
) -> Option<u64> {
    let mut nodes = vec![first];
    nodes.extend(others);
    order(fleet, &nodes, &finish(zone), record)?;
    sleep(PAUSE);
    order(fleet, others, &begin(zone), record)
}

/// One round: the leading core machine is killed and comes back, and meanwhile the operator takes the zones back and
/// empties them again. Returns the number of tasks that start in an evacuated zone later than the rule allows.
fn round(deployment: &mut Deployment, trouble: bool, record: &Record) -> Result<usize, String> {
    let round_ends_at = Instant::now() + ROUND;
    let leader = deployment.fleet.leader().ok_or("no leader is known")?;
    let core = ["core-1", "core-2", "core-3"];
    let others: Vec<&str> = core.into_iter().filter(|name| *name != leader).collect();
    if trouble {
        record.note(&format!("{leader} is killed"));
        deployment.fleet.kill(&leader);
    }
    let restart_at = Instant::now() + DOWN;
    let fleet = &deployment.fleet;
    let evacuated: Vec<Option<u64>> = std::thread::scope(|scope| {
        let threads: Vec<_> = EVACUATED
            .iter()
            .map(|(zone, first)| scope.spawn(|| empty_again(fleet, zone, first, &others, record)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or(None))
            .collect()
    });
    sleep(restart_at.saturating_duration_since(Instant::now()));
    if trouble {
        deployment.fleet.start(&leader, false)?;
        record.note(&format!("{leader} is started again"));
    }
    let in_touch_from = record.now_ms() + CONTACT_MS;
    sleep(round_ends_at.saturating_duration_since(Instant::now()));
    let starts = record.starts();
    let mut broken = 0;
    for ((zone, _), at_ms) in EVACUATED.iter().zip(evacuated) {
        let Some(at_ms) = at_ms else {
            record.note(&format!("{zone}: an order was not acknowledged"));
            continue;
        };
        let bound = (at_ms + EVACUATE_MS).max(in_touch_from);
        let late = starts
            .iter()
            .filter(|s| s.zone == *zone && s.at_ms > bound)
            .count();
        record.note(&format!(
            "EVAC: {zone} was evacuated at {at_ms} ms and not taken back; {late} tasks start there later than {bound} ms"
        ));
        broken += late;
    }
    Ok(broken)
}

pub fn run(repository: &Path, trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(repository, 2, 6, record)?;
    let ends = Arc::new(AtomicBool::new(false));
    let fronts = ["edge-1", "edge-2"].map(|name| deployment.fleet.front(name));
    let clients = traffic(fronts.to_vec(), ends.clone());
    for (zone, _) in EVACUATED {
        let acknowledged = order(
            &deployment.fleet,
            &["core-2", "core-3"],
            &begin(zone),
            record,
        );
        acknowledged.ok_or("no acknowledgement")?;
    }
    sleep(Duration::from_millis(EVACUATE_MS));
    let mut broken = 0;
    for _ in 0..ROUNDS {
        broken += round(&mut deployment, trouble, record)?;
    }
    ends.store(true, Ordering::SeqCst);
    let _ = clients.join();
    record.note(&format!("{broken} late starts in {ROUNDS} rounds"));
    Ok(Verdict::from_breaks(broken))
}
