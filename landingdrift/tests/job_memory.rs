//! Jobs are accepted as far as there is memory for them; the others are refused before they are in the log.

mod node_harness;
mod replicas;

use landingdrift::sans_io::{Effect, Msg, Part, Request, Response};
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

/// A recurring job of ten tasks a time.
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

/// Submits a job to the leader; the outcome.
fn submit(cores: &mut TestCluster, spec: JobSpec) -> u8 {
    let leader = cores.leader().expect("somebody leads");
    let seen = cores.replica(leader).state().applied_index;
    let command = Command::AcceptJob {
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
fn recurring_jobs_do_not_bring_a_replica_over_its_memory() {
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
    // A job that was taken is acknowledged again, and there is a place for small ones.
    assert_eq!(submit(&mut cores, recurring("r0", 1440)), PROPOSAL_APPLIED);
    assert_eq!(submit(&mut cores, recurring("small", 1)), PROPOSAL_APPLIED);
}

#[test]
fn jobs_that_are_appended_and_not_yet_committed_count() {
    let mut cores = cores_with_memory();
    let leader = cores.leader().expect("somebody leads");
    let tokens: Vec<u64> = (0..120)
        .map(|number| {
            let command = Command::AcceptJob {
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

/// Due long after all that these tests play, in milliseconds since 1970.
const LATER: u64 = 4_000_000_000_000;

/// A job that is due at a time, 0 for at once, with as long a payload as clients may send.
fn single(id: &str, first_due: u64) -> JobSpec {
    JobSpec {
        payload: "p".repeat(4000),
        times: 1,
        first_due,
        ..recurring(id, 1)
    }
}

/// Guards against the refusal of all jobs that are due now, because others that are due later took the last of the
/// memory.
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

/// The same by number, where the jobs are small. PROTOCOL.md, Jobs, allows the refusals: "A 429 or 503 means it was not taken and will
/// never run".
#[test]
fn jobs_that_are_due_later_leave_places_for_those_that_are_due_now() {
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
fn the_bytes_of_a_job_are_no_fewer_than_its_tasks_take() {
    let spec = recurring("r", 1440);
    let job = Job::new(spec.clone(), Vec::new());
    let in_tasks = job.tasks.capacity() * std::mem::size_of_val(&job.tasks[0]);
    assert!(spec.memory_bytes() > in_tasks as u64);
    assert_eq!(job.memory_bytes(), spec.memory_bytes());
}

/// Hands a job in at a node; its proposal.
fn hand_in(harness: &mut NodeHarness) -> ProposeRequest {
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

/// The leader has no memory for a proposal; the answer to the caller.
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
    let effects = harness.node.step(now, Msg::Wire(REPLICA.into(), body));
    effects.into_iter().find_map(|effect| match effect {
        Effect::Answer(CALL, response) => Some(response),
        _ => None,
    })
}

#[test]
fn a_caller_whose_job_there_is_no_memory_for_is_told_when_to_come_back() {
    let mut harness = NodeHarness::new();
    harness.follow();
    let request = hand_in(&mut harness);
    let response = no_capacity(&mut harness, &request).expect("an answer");
    assert_eq!(response.status, 503);
    assert!(response.retry_ms > 0);
    assert_eq!(response.body["error"], "full");
}

#[test]
fn a_job_of_which_an_earlier_copy_may_be_in_the_log_is_not_refused() {
    let mut harness = NodeHarness::new();
    harness.follow();
    hand_in(&mut harness);
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
