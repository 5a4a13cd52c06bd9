//! Cases for runs: repetition, dependencies, due times, limits on attempts, gangs.

use super::events::{
    config_acknowledged, config_requested, dependent_task, gang_member, offered,
    one_task_job_offered, rule_settings, run_ended, run_started, task, worker_up,
    zone_config_acknowledged,
};
use super::Case;
use landingdrift::state::{Outcome, TaskSpec};
use landingdrift_testkit::history::Event;

pub(super) fn no_repeat_without_leave() -> Vec<Case> {
    vec![
        Case {
            rule: "no repeat without leave",
            violating: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (1, worker_up("v")),
                (2, run_started("w", 1, "a")),
                (3, run_started("v", 2, "a")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (1, worker_up("v")),
                (2, run_started("w", 1, "a")),
                (3, run_ended("w", 1, "a", Outcome::Failed)),
                (4, run_started("v", 2, "a")),
            ],
        },
        Case {
            rule: "no repeat without leave",
            violating: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, run_started("w", 1, "a")),
                (3, run_ended("w", 1, "a", Outcome::Succeeded)),
                (4, run_started("w", 2, "a")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, run_started("w", 1, "a")),
                (3, run_ended("w", 1, "a", Outcome::Succeeded)),
            ],
        },
    ]
}

pub(super) fn steps_in_order() -> Vec<Case> {
    vec![Case {
        rule: "steps in order",
        violating: vec![
            (0, offered(vec![task("a"), dependent_task("b", "a")])),
            (1, worker_up("w")),
            (2, run_started("w", 1, "b")),
        ],
        conforming: vec![
            (0, offered(vec![task("a"), dependent_task("b", "a")])),
            (1, worker_up("w")),
            (2, run_started("w", 1, "a")),
            (3, run_ended("w", 1, "a", Outcome::Succeeded)),
            (4, run_started("w", 2, "b")),
        ],
    }]
}

pub(super) fn not_before_its_time() -> Vec<Case> {
    vec![Case {
        rule: "not before its time",
        violating: vec![
            (
                0,
                offered(vec![TaskSpec {
                    due: 9000,
                    ..task("a")
                }]),
            ),
            (1, worker_up("w")),
            (2, run_started("w", 1, "a")),
        ],
        conforming: vec![
            (
                0,
                offered(vec![TaskSpec {
                    due: 9000,
                    ..task("a")
                }]),
            ),
            (1, worker_up("w")),
            (9001, run_started("w", 1, "a")),
        ],
    }]
}

pub(super) fn not_long_after_its_time() -> Vec<Case> {
    let due_task = || TaskSpec {
        due: 20_000,
        ..task("a")
    };
    let accepted = || Event::SubmitAnswered {
        id: "j".into(),
        status: 201,
        code: String::new(),
    };
    let until = |started_ms: u64| {
        vec![
            (0, worker_up("w")),
            (0, worker_up("v")),
            (1, offered(vec![due_task()])),
            (2, accepted()),
            (started_ms, run_started("w", 1, "a")),
            (40_000, run_ended("w", 1, "a", Outcome::Succeeded)),
        ]
    };
    vec![Case {
        rule: "not long after its time",
        violating: until(23_001),
        conforming: until(23_000),
    }]
}

pub(super) fn max_attempts() -> Vec<Case> {
    vec![
        Case {
            rule: "tries",
            violating: vec![
                (0, config_requested("c", rule_settings("serving", 2, 100))),
                (0, zone_config_acknowledged("c", 0, 1, "serving")),
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, run_started("w", 1, "a")),
                (3, run_ended("w", 1, "a", Outcome::Failed)),
                (4, run_started("w", 2, "a")),
                (5, run_ended("w", 2, "a", Outcome::Failed)),
                (6, run_started("w", 3, "a")),
            ],
            conforming: vec![
                (0, config_requested("c", rule_settings("serving", 2, 100))),
                (0, zone_config_acknowledged("c", 0, 1, "serving")),
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, run_started("w", 1, "a")),
                (3, run_ended("w", 1, "a", Outcome::Failed)),
                (4, run_started("w", 2, "a")),
            ],
        },
        // The limit in force at the start of a run applies, not the largest of the day.
        Case {
            rule: "tries",
            violating: vec![
                (0, config_requested("c", rule_settings("", 3, 9))),
                (0, config_acknowledged("c", 0, 1, rule_settings("", 3, 9))),
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, run_started("w", 1, "a")),
                (3, run_ended("w", 1, "a", Outcome::Failed)),
                (4, config_requested("d", rule_settings("", 1, 9))),
                (5, config_acknowledged("d", 1, 2, rule_settings("", 1, 9))),
                (2100, run_started("w", 2, "a")),
            ],
            conforming: vec![
                (0, config_requested("c", rule_settings("", 1, 9))),
                (0, config_acknowledged("c", 0, 1, rule_settings("", 1, 9))),
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, run_started("w", 1, "a")),
                (3, run_ended("w", 1, "a", Outcome::Failed)),
                (4, config_requested("d", rule_settings("", 3, 9))),
                (2100, run_started("w", 2, "a")),
            ],
        },
    ]
}

pub(super) fn gangs_together() -> Vec<Case> {
    vec![
        Case {
            rule: "gangs together",
            violating: vec![
                (0, offered(vec![gang_member("a"), gang_member("b")])),
                (1, worker_up("w")),
                (2, run_started("w", 1, "a")),
                (9000, run_ended("w", 1, "a", Outcome::Succeeded)),
            ],
            conforming: vec![
                (0, offered(vec![gang_member("a"), gang_member("b")])),
                (1, worker_up("w")),
                (1, worker_up("v")),
                (2, run_started("w", 1, "a")),
                (50, run_started("v", 2, "b")),
                (9000, run_ended("w", 1, "a", Outcome::Succeeded)),
            ],
        },
        // Two seconds without the partner exceed the bound, unless a fault was active.
        Case {
            rule: "gangs together",
            violating: vec![
                (0, offered(vec![gang_member("a"), gang_member("b")])),
                (1, worker_up("w")),
                (1, worker_up("v")),
                (2, run_started("w", 1, "a")),
                (2000, run_started("v", 2, "b")),
                (9000, run_ended("w", 1, "a", Outcome::Succeeded)),
            ],
            conforming: vec![
                (0, offered(vec![gang_member("a"), gang_member("b")])),
                (
                    0,
                    Event::FaultBegan {
                        description: "WorkerCut 1".into(),
                    },
                ),
                (1, worker_up("w")),
                (1, worker_up("v")),
                (2, run_started("w", 1, "a")),
                (2000, run_started("v", 2, "b")),
                (9000, run_ended("w", 1, "a", Outcome::Succeeded)),
            ],
        },
    ]
}
