//! Cases for the answers that clients get: accepted jobs are not forgotten, refused jobs never run, and all jobs end.

use super::events::{
    availability, day_ended, one_task_job_offered, run_started, state_answered, state_requested,
    submit_accepted, submit_answered, submit_requested, worker_up,
};
use super::Case;
use landingdrift_testkit::history::Event;

pub(super) fn never_forgotten() -> Vec<Case> {
    vec![
        Case {
            rule: "never forgotten",
            violating: vec![
                (0, one_task_job_offered()),
                (1, submit_accepted()),
                (4000, state_answered(404, "")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, submit_accepted()),
                (4000, state_answered(200, "running")),
            ],
        },
        Case {
            rule: "never forgotten",
            violating: vec![
                (0, one_task_job_offered()),
                (1, submit_accepted()),
                (4000, state_answered(200, "done")),
                (5000, state_answered(200, "running")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, submit_accepted()),
                (4000, state_answered(200, "running")),
                (5000, state_answered(200, "done")),
            ],
        },
    ]
}

pub(super) fn state_within_its_bound() -> Vec<Case> {
    vec![
        // Missing answers and 503 count as unavailable, except while the replicas have no majority, and for the bound
        // on recovery after that.
        Case {
            rule: "state within its bound",
            violating: vec![
                (0, one_task_job_offered()),
                (0, availability(3)),
                (1, submit_accepted()),
                (2, state_requested()),
                (1000, state_answered(503, "")),
                (3100, state_answered(200, "running")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (0, availability(3)),
                (1, submit_accepted()),
                (2, state_requested()),
                (3, availability(1)),
                (1000, state_answered(503, "")),
                (1001, availability(3)),
                (8000, state_answered(200, "running")),
            ],
        },
        Case {
            rule: "state within its bound",
            violating: vec![
                (0, one_task_job_offered()),
                (1, submit_accepted()),
                (2, state_requested()),
                (3100, day_ended("done", 0)),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, submit_accepted()),
                (2, state_requested()),
                (2100, day_ended("done", 0)),
            ],
        },
    ]
}

pub(super) fn refused_never_runs() -> Vec<Case> {
    vec![
        Case {
            rule: "turned away never runs",
            violating: vec![
                (0, one_task_job_offered()),
                (1, submit_requested("j")),
                (2, submit_answered("j", 429, "overQuota")),
                (3, worker_up("w")),
                (4, run_started("w", 1, "a")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, submit_requested("j")),
                (2, submit_answered("j", 429, "overQuota")),
                (3, submit_requested("j")),
                (3, worker_up("w")),
                (4, run_started("w", 1, "a")),
            ],
        },
        // A refusal of one call leaves the outcome of an earlier unanswered call open; a refusal of the job itself
        // decides it.
        Case {
            rule: "turned away never runs",
            violating: vec![
                (0, one_task_job_offered()),
                (1, submit_requested("j")),
                (2, submit_answered("j", 503, "busy")),
                (3, worker_up("w")),
                (4, run_started("w", 1, "a")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, submit_requested("j")),
                (2, submit_requested("j")),
                (3, submit_answered("j", 503, "busy")),
                (3, worker_up("w")),
                (4, run_started("w", 1, "a")),
            ],
        },
        Case {
            rule: "turned away never runs",
            violating: vec![
                (0, one_task_job_offered()),
                (1, submit_requested("j")),
                (2, submit_requested("j")),
                (3, submit_answered("j", 400, "wrongJob")),
                (3, worker_up("w")),
                (4, run_started("w", 1, "a")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, submit_requested("j")),
                (2, submit_answered("j", 503, "unsure")),
                (3, worker_up("w")),
                (4, run_started("w", 1, "a")),
            ],
        },
    ]
}

pub(super) fn cancelled_stays_cancelled() -> Vec<Case> {
    vec![
        Case {
            rule: "cancelled stays cancelled",
            violating: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, Event::CancelAcknowledged { id: "j".into() }),
                (4000, run_started("w", 1, "a")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, Event::CancelAcknowledged { id: "j".into() }),
                (2000, run_started("w", 1, "a")),
            ],
        },
        Case {
            rule: "cancelled stays cancelled",
            violating: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, Event::CancelFoundNoJob { id: "j".into() }),
                (4000, run_started("w", 1, "a")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, Event::CancelFoundNoJob { id: "j".into() }),
            ],
        },
        // A job that was not there when it was cancelled is not accepted later, even if it never runs.
        Case {
            rule: "cancelled stays cancelled",
            violating: vec![
                (0, one_task_job_offered()),
                (2, Event::CancelFoundNoJob { id: "j".into() }),
                (6, day_ended("cancelled", 0)),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (2, Event::CancelAcknowledged { id: "j".into() }),
                (6, day_ended("cancelled", 0)),
            ],
        },
    ]
}

pub(super) fn all_come_to_an_end() -> Vec<Case> {
    vec![Case {
        rule: "all come to an end",
        violating: vec![
            (0, one_task_job_offered()),
            (1, submit_accepted()),
            (2, day_ended("running", 0)),
        ],
        conforming: vec![
            (0, one_task_job_offered()),
            (1, submit_accepted()),
            (2, day_ended("done", 0)),
        ],
    }]
}
