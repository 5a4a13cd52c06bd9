//! A timed job, while a core machine is frozen and the process of the leading one is killed meanwhile.

use crate::client::{configuration, hand_in, job_call};
use crate::deployment::{Deployment, SIGCONT, SIGKILL, SIGSTOP};
use crate::record::{wall_ms, Record};
use crate::worker::{Runs, Worker};
use crate::Outcome;
use serde_json::json;
use std::thread::sleep;
use std::time::Duration;

const EDGES: usize = 7;
const SIDES: usize = 6;
const PERIOD_MS: u64 = 5000;
const TIMES: u64 = 14;
const WORK_MS: u64 = 800;
const ID: &str = "5c0e7a21d94b36f8";

/// The trouble comes twice, this far apart: whose clock the new leader brings along is a matter of chance.
const ROUNDS: u64 = 2;
const ROUND_MS: u64 = 15_000;
/// How long the follower is frozen.
const FREEZE_MS: u64 = 4500;
/// When the process of the leader is killed, after the freeze has begun.
const KILL_AFTER_MS: u64 = 500;
/// How long the process of the leader is away.
const DOWN_MS: u64 = 5000;
const FINISH_MS: u64 = 14_000;
const RECOVERY_MS: u64 = 12_000;
/// For so long a job may have nothing running although a task's turn has come.
const IDLE_LIMIT_MS: u64 = 3000;

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let deployment = Deployment::prepare(record.clone(), EDGES, SIDES)?;
    deployment.start_all()?;
    deployment.configure(&configuration(1, 3000))?;
    deployment.wait_ready()?;
    let runs = Runs::default();
    let mut workers = Vec::new();
    for (number, side) in deployment.sides.iter().enumerate() {
        let id = format!("i-{number}");
        workers.push(Worker::start(side, &id, number / 3, record.clone(), runs.clone()));
    }
    sleep(Duration::from_secs(4));

    let first_due = record.now() + 4000;
    let first_run = wall_ms() + 4000;
    let job = json!({
        "jobSpec": format!("ms={WORK_MS}"),
        "stages": [{"count": 1, "cpu": 500, "memMb": 256, "estRuntimeMs": WORK_MS}],
        "firstRunMs": first_run, "periodMs": PERIOD_MS, "repeatCount": TIMES,
    });
    if !hand_in(&deployment, &[0, 1, 2, 3], ID, &job.to_string()) {
        return Err("the job was not accepted".into());
    }
    let traffic_ended = record.now();

    // The trouble comes at quiet moments between two times.
    let mut calm_from = record.now();
    for round in 0..ROUNDS {
        sleep_until(record, first_due + PERIOD_MS / 2 + round * ROUND_MS);
        if trouble {
            lose_leader_while_follower_is_frozen(&deployment)?;
        }
        calm_from = record.now();
    }

    // The rule is judged once all machines have been back for `recoveryS`, and `finish_s` after the end of the traffic.
    let judged_from = (calm_from + RECOVERY_MS).max(traffic_ended + FINISH_MS);
    let last_due = first_due + (TIMES - 1) * PERIOD_MS;
    sleep_until(record, last_due + IDLE_LIMIT_MS + 4000);
    let _ = job_call(record, &deployment.edges[0], "GET", ID, "");
    let mut broken = false;
    for time in 0..TIMES {
        let due = first_due + time * PERIOD_MS;
        let task = format!("{ID}.{time}.0.0");
        let started = runs
            .lock()
            .unwrap()
            .iter()
            .filter(|run| run.task == task)
            .map(|run| run.started)
            .min();
        let late = started.map(|started| started as i64 - due as i64);
        let is_judged = due >= judged_from;
        let is_idle_too_long = late.is_none_or(|late| late >= IDLE_LIMIT_MS as i64);
        record.line(&format!(
            "time {time}: due at {due}, started {late:?} ms after that, judged: {is_judged}"
        ));
        broken |= is_judged && is_idle_too_long;
    }
    workers.iter_mut().for_each(Worker::stop);
    Ok(broken)
}

/// Freezes a follower, kills the process of the leader meanwhile, and starts it again some time after the follower has
/// gone on.
fn lose_leader_while_follower_is_frozen(deployment: &Deployment) -> Result<(), String> {
    let record = &deployment.record;
    let leader = deployment.leader().ok_or("no leader")?;
    let follower = (leader + 1) % 3;
    let (leader, follower) = (&deployment.edges[leader], &deployment.edges[follower]);
    let frozen = record.now();
    deployment.signal(follower, SIGSTOP);
    sleep_until(record, frozen + KILL_AFTER_MS);
    deployment.signal(leader, SIGKILL);
    sleep_until(record, frozen + FREEZE_MS);
    deployment.signal(follower, SIGCONT);
    sleep_until(record, frozen + KILL_AFTER_MS + DOWN_MS);
    deployment.start(leader)
}

fn sleep_until(record: &Record, time: u64) {
    sleep(Duration::from_millis(time.saturating_sub(record.now())));
}
