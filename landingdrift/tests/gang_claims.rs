//! Claims of workers for a gang: only workers that can become free enough are claimed, and claims do not starve idle
//! jobs.

mod node_harness;

use landingdrift::state::{StepSpec, TaskSpec};
use node_harness::NodeHarness;

fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        ..StepSpec::default()
    }
}

fn long_running() -> StepSpec {
    StepSpec {
        task: TaskSpec {
            long_running: true,
            ..TaskSpec::default()
        },
        ..StepSpec::default()
    }
}

/// A worker with 4 CPU on which a job with `cpu` runs, a gang that has been waiting for all of the worker, and a small
/// job.
fn gang_waiting_beside(running: StepSpec, cpu: u32) -> NodeHarness {
    let mut harness = NodeHarness::new();
    harness.accept_single("running", running, cpu);
    harness.append_start("running");
    harness.follow();
    harness.accept_single("gang", gang(), 4);
    harness.follow();
    assert_eq!(harness.pass_time(4000, &["running"]), Vec::<String>::new());
    harness.accept_single("small", StepSpec::default(), 1);
    harness.follow();
    harness
}

#[test]
fn a_gang_does_not_claim_a_worker_that_a_long_running_task_keeps_too_full_for_it() {
    let mut harness = gang_waiting_beside(long_running(), 1);
    assert_eq!(harness.pass_time(3000, &["running"]), ["small"]);
}

/// Guards against LOST: a job had nothing running for 3 s because a gang claimed a worker that was busy for minutes.
/// The gang has priority only for a part of these 3 s.
#[test]
fn a_claim_keeps_no_spare_capacity_from_a_job_with_nothing_running() {
    let mut harness = gang_waiting_beside(StepSpec::default(), 1);
    assert_eq!(
        harness.pass_time(1000, &["running"]),
        Vec::<String>::new(),
        "the gang goes first"
    );
    assert_eq!(harness.pass_time(2000, &["running"]), ["small"]);
}

/// RULES.md, LOST, allows the wait: it counts while "less than half of the service's room is in use".
#[test]
fn a_claim_applies_to_idle_jobs_while_the_service_has_no_spare_capacity() {
    let mut harness = gang_waiting_beside(StepSpec::default(), 3);
    assert_eq!(harness.pass_time(4000, &["running"]), Vec::<String>::new());
}
