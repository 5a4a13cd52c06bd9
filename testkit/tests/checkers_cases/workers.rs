//! Where tasks run: in capacity and on workers and in zones that may have them.

use super::events::{changed, configured, ended, offered, one, started, task, up};
use super::Case;
use landingdrift::state::{Outcome, TaskSpec};
use landingdrift_testkit::history::Event;

pub(super) fn cpu() -> Vec<Case> {
    vec![
        Case {
            rule: "room",
            violating: vec![
                (0, offered(vec![task("a"), task("b")])),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, started("w", 2, "b")),
            ],
            sound: vec![
                (0, offered(vec![task("a"), task("b")])),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Succeeded)),
                (4, started("w", 2, "b")),
            ],
        },
        // Room and labels may change under way.
        Case {
            rule: "room",
            violating: vec![
                (0, one()),
                (1, up("w")),
                (2, changed(1, &["l"])),
                (3, started("w", 1, "a")),
            ],
            sound: vec![
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, changed(1, &["l"])),
            ],
        },
    ]
}

pub(super) fn fitting_workers() -> Vec<Case> {
    vec![
        Case {
            rule: "fitting workers",
            violating: vec![
                (
                    0,
                    offered(vec![TaskSpec {
                        labels: vec!["l".into()],
                        ..task("a")
                    }]),
                ),
                (1, up("w")),
                (2, changed(3, &[])),
                (3, started("w", 1, "a")),
            ],
            sound: vec![
                (
                    0,
                    offered(vec![TaskSpec {
                        labels: vec!["l".into()],
                        ..task("a")
                    }]),
                ),
                (1, up("w")),
                (2, changed(3, &["l"])),
                (3, started("w", 1, "a")),
            ],
        },
        Case {
            rule: "fitting workers",
            violating: vec![
                (
                    0,
                    offered(vec![TaskSpec {
                        labels: vec!["other".into()],
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
                        labels: vec!["l".into()],
                        ..task("a")
                    }]),
                ),
                (1, up("w")),
                (2, started("w", 1, "a")),
            ],
        },
    ]
}

pub(super) fn leaving_workers() -> Vec<Case> {
    vec![Case {
        rule: "leaving workers",
        violating: vec![
            (0, one()),
            (1, up("w")),
            (2, Event::WorkerLeaving { worker: "w".into() }),
            (2500, started("w", 1, "a")),
        ],
        sound: vec![
            (0, one()),
            (1, up("w")),
            (2, Event::WorkerLeaving { worker: "w".into() }),
            (1500, started("w", 1, "a")),
        ],
    }]
}

pub(super) fn emptied_zones() -> Vec<Case> {
    vec![Case {
        rule: "emptied zones",
        violating: vec![
            (0, one()),
            (1, up("w")),
            (2, configured("c", 0, 1, "evacuated")),
            (6000, started("w", 1, "a")),
        ],
        sound: vec![
            (0, one()),
            (1, up("w")),
            (2, configured("c", 0, 1, "evacuated")),
            (3, configured("d", 1, 2, "serving")),
            (6000, started("w", 1, "a")),
        ],
    }]
}
