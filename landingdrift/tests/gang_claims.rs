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

/// A harness whose worker has 4 CPU: one job that needs `cpu` runs on it, a gang that needs all 4 has been waiting for
/// it, and a small job was just submitted.
fn harness_with_waiting_gang(running: StepSpec, cpu: u32) -> NodeHarness {
    let mut harness = NodeHarness::new();
    harness.submit_single("running", running, cpu);
    harness.append_start("running");
    harness.install_full_copy();
    harness.submit_single("gang", gang(), 4);
    harness.install_full_copy();
    assert_eq!(harness.pass_time(4000, &["running"]), Vec::<String>::new());
    harness.submit_single("small", StepSpec::default(), 1);
    harness.install_full_copy();
    harness
}

#[test]
fn a_gang_does_not_claim_a_worker_that_can_not_become_free_enough() {
    let mut harness = harness_with_waiting_gang(long_running(), 1);
    assert_eq!(harness.pass_time(3000, &["running"]), ["small"]);
}

/// Regression test for a violation of the rule LOST in RULES.md: a job had no running attempt for 3 s because a gang
/// claimed a worker that was busy for minutes. The gang may have priority only for a part of these 3 s.
#[test]
fn an_idle_job_starts_despite_a_claim_when_there_is_spare_capacity() {
    let mut harness = harness_with_waiting_gang(StepSpec::default(), 1);
    assert_eq!(
        harness.pass_time(1000, &["running"]),
        Vec::<String>::new(),
        "the gang goes first"
    );
    assert_eq!(harness.pass_time(2000, &["running"]), ["small"]);
}

/// The job may wait: the rule LOST in RULES.md applies only while "less than half of the service's room is in use".
#[test]
fn a_claim_blocks_idle_jobs_without_spare_capacity() {
    let mut harness = harness_with_waiting_gang(StepSpec::default(), 3);
    assert_eq!(harness.pass_time(4000, &["running"]), Vec::<String>::new());
}
