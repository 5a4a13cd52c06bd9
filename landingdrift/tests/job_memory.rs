//! Jobs are accepted within the limits on memory and on unfinished jobs; others are refused before they enter the log.

mod node_harness;
mod replicas;

use landingdrift::sans_io::{Effect, Msg, Request, Response, StateMachine};
use landingdrift::settings::Limits;
use landingdrift::state::{Command, Job, JobSpec, StepSpec, TaskSpec};
use landingdrift::wire::{
    Body, ProposeRequest, ProposeResponse, PROPOSAL_APPLIED, PROPOSAL_NO_CAPACITY,
};
use node_harness::{NodeHarness, REPLICA};
use replicas::TestCluster;
use serde_json::json;

const CALL: u64 = 1000;
const MEMORY_BYTES: u64 = 64 << 20;

/// A recurring job with ten tasks per repetition.
fn recurring(id: &str, times: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        queue: "q".into(),
        payload: "p".repeat(1000),
        steps: vec![StepSpec {
            count: 10,
            task: TaskSpec {
                service: "s".into(),
                cpu: 1,
                ..TaskSpec::default()
            },
            ..StepSpec::default()
        }],
        times,
        first_due: 3_600_000,
        period_ms: 60_000,
        ..JobSpec::default()
    }
}

/// Submits a job to the leader; returns the outcome of the proposal.
fn submit(cluster: &mut TestCluster, spec: JobSpec) -> u8 {
    let leader = cluster.leader().expect("a leader");
    let seen = cluster.replica(leader).state().applied_index;
    let command = Command::SubmitJob {
        spec,
        hash: 1,
        seen,
    };
    let token = cluster.propose_command(leader, &command);
    assert!(cluster.run_until(2000, |cluster| cluster.proposal_response(token).is_some()));
    cluster
        .proposal_response(token)
        .expect("a response")
        .outcome
}

fn cluster_with_memory_limit() -> TestCluster {
    cluster_with_queue(Limits {
        jobs_memory_bytes: MEMORY_BYTES,
        ..Limits::default()
    })
}

fn cluster_with_queue(limits: Limits) -> TestCluster {
    let mut cluster = TestCluster::start(limits);
    let leader = cluster.leader().expect("a leader");
    let command = Command::UpdateConfig {
        change: "c".into(),
        base_version: cluster.version(leader),
        is_patch: true,
        version: 0,
        value: json!({"queues": {"q": {"tries": 3, "quota": 100_000, "windowMs": 1000, "unsureBoundMs": 1000, "speculationPercent": 0}},
            "services": {"s": {"taskRoom": 4, "gangRoom": 8}}}),
    };
    let token = cluster.propose_command(leader, &command);
    assert!(cluster.run_until(2000, |cluster| cluster.is_confirmed(token)));
    cluster
}

#[test]
fn recurring_jobs_do_not_exceed_the_memory_limit() {
    let mut cluster = cluster_with_memory_limit();
    let outcomes: Vec<u8> = (0..120)
        .map(|number| submit(&mut cluster, recurring(&format!("r{number}"), 1440)))
        .collect();
    let leader = cluster.leader().expect("a leader");
    let bytes = cluster.replica(leader).state().job_bytes();
    assert!(bytes <= MEMORY_BYTES, "{bytes} bytes of {MEMORY_BYTES}");
    assert_eq!(outcomes[0], PROPOSAL_APPLIED);
    assert_eq!(outcomes[119], PROPOSAL_NO_CAPACITY);
    assert!(cluster.counter(leader, "jobs_without_capacity") > 0);
    // A retry of an accepted job is still acknowledged, and a small job still fits.
    assert_eq!(
        submit(&mut cluster, recurring("r0", 1440)),
        PROPOSAL_APPLIED
    );
    assert_eq!(
        submit(&mut cluster, recurring("small", 1)),
        PROPOSAL_APPLIED
    );
}

#[test]
fn uncommitted_jobs_count_towards_the_memory_limit() {
    let mut cluster = cluster_with_memory_limit();
    let leader = cluster.leader().expect("a leader");
    let tokens: Vec<u64> = (0..120)
        .map(|number| {
            let command = Command::SubmitJob {
                spec: recurring(&format!("r{number}"), 1440),
                hash: 1,
                seen: 0,
            };
            cluster.propose_command(leader, &command)
        })
        .collect();
    let last = *tokens.last().expect("a token");
    assert!(cluster.run_until(2000, |cluster| cluster.proposal_response(last).is_some()));
    cluster.run(1000);
    let bytes = cluster.replica(leader).state().job_bytes();
    assert!(bytes <= MEMORY_BYTES, "{bytes} bytes of {MEMORY_BYTES}");
}

/// A due time long after the end of these tests, in milliseconds since 1970.
const LATER: u64 = 4_000_000_000_000;

/// A job with a large payload and one repetition that is due at `first_due`; 0 for immediately.
fn single(id: &str, first_due: u64) -> JobSpec {
    JobSpec {
        payload: "p".repeat(4000),
        times: 1,
        first_due,
        ..recurring(id, 1)
    }
}

/// Guards against refusing all jobs that are due now because jobs that are due later have filled the memory.
#[test]
fn jobs_that_are_due_later_leave_memory_for_those_that_are_due_now() {
    let mut cluster = cluster_with_queue(Limits {
        jobs_memory_bytes: 1 << 20,
        ..Limits::default()
    });
    let later: Vec<u8> = (0..200)
        .map(|number| submit(&mut cluster, single(&format!("later{number}"), LATER)))
        .collect();
    assert_eq!(later[0], PROPOSAL_APPLIED);
    assert_eq!(*later.last().expect("an outcome"), PROPOSAL_NO_CAPACITY);
    for number in 0..20 {
        let outcome = submit(&mut cluster, single(&format!("now{number}"), 0));
        assert_eq!(outcome, PROPOSAL_APPLIED, "job {number} is due now");
    }
}

/// The limit on the number of unfinished jobs also leaves room for jobs that are due now. The protocol permits the
/// refusals (PROTOCOL.md, section Jobs): "A 429 or 503 means it was not taken and will never run".
#[test]
fn jobs_due_later_leave_capacity_within_the_limit_on_unfinished_jobs() {
    let mut cluster = cluster_with_queue(Limits {
        open_jobs: 20,
        ..Limits::default()
    });
    let later: Vec<u8> = (0..20)
        .map(|number| submit(&mut cluster, single(&format!("later{number}"), LATER)))
        .collect();
    let accepted = later.iter().filter(|outcome| **outcome == PROPOSAL_APPLIED);
    assert_eq!(accepted.count(), 10);
    for number in 0..10 {
        let outcome = submit(&mut cluster, single(&format!("now{number}"), 0));
        assert_eq!(outcome, PROPOSAL_APPLIED, "job {number} is due now");
    }
}

#[test]
fn the_memory_bound_of_a_job_covers_its_tasks() {
    let spec = recurring("r", 1440);
    let job = Job::new(spec.clone(), Vec::new());
    let task_table_bytes = job.tasks.capacity() * std::mem::size_of_val(&job.tasks[0]);
    assert!(spec.memory_bytes() > task_table_bytes as u64);
    assert_eq!(job.memory_bytes(), spec.memory_bytes());
}

/// Submits a job at a node; returns the node's proposal.
fn submit_at_node(harness: &mut NodeHarness) -> ProposeRequest {
    let request = Request {
        method: "POST".into(),
        path: "/v1/jobs".into(),
        body: serde_json::to_vec(&recurring("r", 1440)).expect("JSON"),
        ..Request::default()
    };
    let now = harness.now();
    proposal(&harness.node.step(now, Msg::Call(CALL, request))).expect("it is proposed")
}

fn proposal(effects: &[Effect]) -> Option<ProposeRequest> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send(_, Body::ProposeRequest(request)) => Some((**request).clone()),
        _ => None,
    })
}

/// Delivers a refusal for lack of capacity to the node; returns the node's response to the client.
fn respond_no_capacity(harness: &mut NodeHarness, request: &ProposeRequest) -> Option<Response> {
    let response = ProposeResponse {
        token: request.token,
        outcome: PROPOSAL_NO_CAPACITY,
        log_index: 0,
        leader: REPLICA.into(),
        response: Vec::new(),
    };
    let now = harness.now();
    let body = Body::ProposeResponse(Box::new(response));
    let effects = harness.node.step(now, Msg::Received(REPLICA.into(), body));
    effects.into_iter().find_map(|effect| match effect {
        Effect::Respond(CALL, response) => Some(response),
        _ => None,
    })
}

#[test]
fn a_submission_refused_for_lack_of_capacity_gets_a_retry_hint() {
    let mut harness = NodeHarness::new();
    harness.install_full_copy();
    let request = submit_at_node(&mut harness);
    let response = respond_no_capacity(&mut harness, &request).expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.retry_ms > 0);
    assert_eq!(response.body["error"], "full");
}

#[test]
fn a_refused_retry_is_not_answered_while_an_earlier_copy_may_be_in_the_log() {
    let mut harness = NodeHarness::new();
    harness.install_full_copy();
    submit_at_node(&mut harness);
    let second = loop {
        harness.elapsed_ms += 20;
        harness.install_full_copy();
        let now = harness.now();
        if let Some(request) = proposal(&harness.node.step(now, Msg::Tick)) {
            break request;
        }
    };
    assert_eq!(respond_no_capacity(&mut harness, &second), None);
}
