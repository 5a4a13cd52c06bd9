//! How tasks run: in order, in time, not more often than they may, gangs together.

use super::events::{
    acked, after, asked, configured, ended, gang, offered, one, rule_settings, started, task, up,
};
use super::Case;
use landingdrift::state::{Outcome, TaskSpec};
use landingdrift_testkit::history::Event;

pub(super) fn no_repeat_without_leave() -> Vec<Case> {
    vec![
        Case {
            rule: "no repeat without leave",
            violating: vec![
                (0, one()),
                (1, up("w")),
                (1, up("v")),
                (2, started("w", 1, "a")),
                (3, started("v", 2, "a")),
            ],
            sound: vec![
                (0, one()),
                (1, up("w")),
                (1, up("v")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Failed)),
                (4, started("v", 2, "a")),
            ],
        },
        Case {
            rule: "no repeat without leave",
            violating: vec![
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Succeeded)),
                (4, started("w", 2, "a")),
            ],
            sound: vec![
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Succeeded)),
            ],
        },
    ]
}

pub(super) fn steps_in_order() -> Vec<Case> {
    vec![Case {
        rule: "steps in order",
        violating: vec![
            (0, offered(vec![task("a"), after("b", "a")])),
            (1, up("w")),
            (2, started("w", 1, "b")),
        ],
        sound: vec![
            (0, offered(vec![task("a"), after("b", "a")])),
            (1, up("w")),
            (2, started("w", 1, "a")),
            (3, ended("w", 1, "a", Outcome::Succeeded)),
            (4, started("w", 2, "b")),
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
            (1, up("w")),
            (2, started("w", 1, "a")),
        ],
        sound: vec![
            (
                0,
                offered(vec![TaskSpec {
                    due: 9000,
                    ..task("a")
                }]),
            ),
            (1, up("w")),
            (9001, started("w", 1, "a")),
        ],
    }]
}

pub(super) fn max_attempts() -> Vec<Case> {
    vec![
        Case {
            rule: "tries",
            violating: vec![
                (0, asked("c", rule_settings("serving", 2, 100))),
                (0, configured("c", 0, 1, "serving")),
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Failed)),
                (4, started("w", 2, "a")),
                (5, ended("w", 2, "a", Outcome::Failed)),
                (6, started("w", 3, "a")),
            ],
            sound: vec![
                (0, asked("c", rule_settings("serving", 2, 100))),
                (0, configured("c", 0, 1, "serving")),
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Failed)),
                (4, started("w", 2, "a")),
            ],
        },
        // The limit in force counts, not the largest there ever was.
        Case {
            rule: "tries",
            violating: vec![
                (0, asked("c", rule_settings("", 3, 9))),
                (0, acked("c", 0, 1, rule_settings("", 3, 9))),
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Failed)),
                (4, asked("d", rule_settings("", 1, 9))),
                (5, acked("d", 1, 2, rule_settings("", 1, 9))),
                (2100, started("w", 2, "a")),
            ],
            sound: vec![
                (0, asked("c", rule_settings("", 1, 9))),
                (0, acked("c", 0, 1, rule_settings("", 1, 9))),
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Failed)),
                (4, asked("d", rule_settings("", 3, 9))),
                (2100, started("w", 2, "a")),
            ],
        },
    ]
}

pub(super) fn gangs_together() -> Vec<Case> {
    vec![
        Case {
            rule: "gangs together",
            violating: vec![
                (0, offered(vec![gang("a"), gang("b")])),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (9000, ended("w", 1, "a", Outcome::Succeeded)),
            ],
            sound: vec![
                (0, offered(vec![gang("a"), gang("b")])),
                (1, up("w")),
                (1, up("v")),
                (2, started("w", 1, "a")),
                (50, started("v", 2, "b")),
                (9000, ended("w", 1, "a", Outcome::Succeeded)),
            ],
        },
        // Half a second alone is nothing, two seconds are too long unless a fault struck.
        Case {
            rule: "gangs together",
            violating: vec![
                (0, offered(vec![gang("a"), gang("b")])),
                (1, up("w")),
                (1, up("v")),
                (2, started("w", 1, "a")),
                (2000, started("v", 2, "b")),
                (9000, ended("w", 1, "a", Outcome::Succeeded)),
            ],
            sound: vec![
                (0, offered(vec![gang("a"), gang("b")])),
                (
                    0,
                    Event::FaultBegan {
                        description: "WorkerCut 1".into(),
                    },
                ),
                (1, up("w")),
                (1, up("v")),
                (2, started("w", 1, "a")),
                (2000, started("v", 2, "b")),
                (9000, ended("w", 1, "a", Outcome::Succeeded)),
            ],
        },
    ]
}
