//! Workers that are kept free for a gang: only where they will come free, and not from jobs that are idle for long.

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

/// A worker of four units on which a job goes on, and a gang that needs the whole worker and has waited in vain.
fn gang_waits_beside(running: StepSpec, cpu: u32) -> NodeHarness {
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
fn a_gang_that_fits_beside_no_long_running_task_keeps_no_worker_from_other_jobs() {
    let mut harness = gang_waits_beside(long_running(), 1);
    assert_eq!(harness.pass_time(3000, &["running"]), ["small"]);
}

/// Guards against LOST: a job with nothing running for 3 s, beside a claim on a worker whose work takes minutes.
/// The gang goes first for a part of these 3 s.
#[test]
fn a_claim_keeps_no_spare_capacity_from_a_job_with_nothing_running() {
    let mut harness = gang_waits_beside(StepSpec::default(), 1);
    assert_eq!(
        harness.pass_time(1000, &["running"]),
        Vec::<String>::new(),
        "the gang goes first"
    );
    assert_eq!(harness.pass_time(2000, &["running"]), ["small"]);
}

/// RULES.md, LOST, allows the wait: it counts while "less than half of the service's room is in use".
#[test]
fn in_a_busy_service_a_claim_holds() {
    let mut harness = gang_waits_beside(StepSpec::default(), 3);
    assert_eq!(harness.pass_time(4000, &["running"]), Vec::<String>::new());
}
