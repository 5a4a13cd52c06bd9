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
fn submit(cores: &mut TestCluster, spec: JobSpec) -> u8 {
    let leader = cores.leader().expect("somebody leads");
    let seen = cores.replica(leader).state().applied_index;
    let command = Command::SubmitJob {
        spec,
        hash: 1,
        seen,
    };
    let token = cores.propose_command(leader, &command);
    assert!(cores.run_until(2000, |cores| cores.proposal_response(token).is_some()));
    cores.proposal_response(token).expect("an answer").outcome
}

fn cores_with_memory() -> TestCluster {
    cores_with_a_queue(Limits {
        jobs_memory_bytes: MEMORY_BYTES,
        ..Limits::default()
    })
}

fn cores_with_a_queue(limits: Limits) -> TestCluster {
    let mut cores = TestCluster::start(limits);
    let leader = cores.leader().expect("somebody leads");
    let command = Command::UpdateConfig {
        change: "c".into(),
        base: cores.version(leader),
        patch: true,
        number: 0,
        value: json!({"queues": {"q": {"tries": 3, "quota": 100_000, "windowMs": 1000, "unsureBoundMs": 1000, "speculationPercent": 0}},
            "services": {"s": {"taskRoom": 4, "gangRoom": 8}}}),
    };
    let token = cores.propose_command(leader, &command);
    assert!(cores.run_until(2000, |cores| cores.is_confirmed(token)));
    cores
}

#[test]
fn recurring_jobs_do_not_exceed_the_memory_limit() {
    let mut cores = cores_with_memory();
    let outcomes: Vec<u8> = (0..120)
        .map(|number| submit(&mut cores, recurring(&format!("r{number}"), 1440)))
        .collect();
    let leader = cores.leader().expect("somebody leads");
    let bytes = cores.replica(leader).state().job_bytes();
    assert!(bytes <= MEMORY_BYTES, "{bytes} bytes of {MEMORY_BYTES}");
    assert_eq!(outcomes[0], PROPOSAL_APPLIED);
    assert_eq!(outcomes[119], PROPOSAL_NO_CAPACITY);
    assert!(cores.counter(leader, "jobs_without_capacity") > 0);
    // A retry of an accepted job is still acknowledged, and a small job still fits.
    assert_eq!(submit(&mut cores, recurring("r0", 1440)), PROPOSAL_APPLIED);
    assert_eq!(submit(&mut cores, recurring("small", 1)), PROPOSAL_APPLIED);
}

#[test]
fn uncommitted_jobs_count_towards_the_memory_limit() {
    let mut cores = cores_with_memory();
    let leader = cores.leader().expect("somebody leads");
    let tokens: Vec<u64> = (0..120)
        .map(|number| {
            let command = Command::SubmitJob {
                spec: recurring(&format!("r{number}"), 1440),
                hash: 1,
                seen: 0,
            };
            cores.propose_command(leader, &command)
        })
        .collect();
    let last = *tokens.last().expect("a token");
    assert!(cores.run_until(2000, |cores| cores.proposal_response(last).is_some()));
    cores.run(1000);
    let bytes = cores.replica(leader).state().job_bytes();
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
    let mut cores = cores_with_a_queue(Limits {
        jobs_memory_bytes: 1 << 20,
        ..Limits::default()
    });
    let later: Vec<u8> = (0..200)
        .map(|number| submit(&mut cores, single(&format!("later{number}"), LATER)))
        .collect();
    assert_eq!(later[0], PROPOSAL_APPLIED);
    assert_eq!(*later.last().expect("an outcome"), PROPOSAL_NO_CAPACITY);
    for number in 0..20 {
        let outcome = submit(&mut cores, single(&format!("now{number}"), 0));
        assert_eq!(outcome, PROPOSAL_APPLIED, "job {number} is due now");
    }
}

/// The same for the number of jobs, where they are small. PROTOCOL.md, Jobs, allows the refusals: "A 429 or 503 means
/// it was not taken and will never run".
#[test]
fn jobs_due_later_leave_capacity_for_jobs_due_now() {
    let mut cores = cores_with_a_queue(Limits {
        open_jobs: 20,
        ..Limits::default()
    });
    let later: Vec<u8> = (0..20)
        .map(|number| submit(&mut cores, single(&format!("later{number}"), LATER)))
        .collect();
    let accepted = later.iter().filter(|outcome| **outcome == PROPOSAL_APPLIED);
    assert_eq!(accepted.count(), 10);
    for number in 0..10 {
        let outcome = submit(&mut cores, single(&format!("now{number}"), 0));
        assert_eq!(outcome, PROPOSAL_APPLIED, "job {number} is due now");
    }
}

#[test]
fn the_memory_bound_of_a_job_covers_its_tasks() {
    let spec = recurring("r", 1440);
    let job = Job::new(spec.clone(), Vec::new());
    let in_tasks = job.tasks.capacity() * std::mem::size_of_val(&job.tasks[0]);
    assert!(spec.memory_bytes() > in_tasks as u64);
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

/// Lets the leader refuse a proposal for lack of capacity; returns the node's response to the client.
fn no_capacity(harness: &mut NodeHarness, request: &ProposeRequest) -> Option<Response> {
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
fn a_job_without_capacity_is_answered_with_a_retry_hint() {
    let mut harness = NodeHarness::new();
    harness.follow();
    let request = submit_at_node(&mut harness);
    let response = no_capacity(&mut harness, &request).expect("an answer");
    assert_eq!(response.status, 503);
    assert!(response.retry_ms > 0);
    assert_eq!(response.body["error"], "full");
}

#[test]
fn a_job_whose_earlier_copy_may_be_in_the_log_is_not_rejected() {
    let mut harness = NodeHarness::new();
    harness.follow();
    submit_at_node(&mut harness);
    let second = loop {
        harness.elapsed_ms += 20;
        harness.follow();
        let now = harness.now();
        if let Some(request) = proposal(&harness.node.step(now, Msg::Tick)) {
            break request;
        }
    };
    assert_eq!(no_capacity(&mut harness, &second), None);
}
