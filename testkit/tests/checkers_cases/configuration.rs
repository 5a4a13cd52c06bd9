//! Changes of configuration: one of two rivals, never back, in force in time.

use super::events::{
    able, accepted, acked, asked, closed, closed_by, configured, handed, node, one, polled, read,
    refused, rule_settings, submitted, task,
};
use super::Case;
use landingdrift::state::JobSpec;
use landingdrift_testkit::history::Event;

pub(super) fn one_of_two_rivals() -> Vec<Case> {
    vec![
        Case {
            rule: "one of two rivals",
            violating: vec![
                (0, configured("c", 0, 1, "")),
                (1, configured("d", 0, 2, "")),
            ],
            sound: vec![
                (0, configured("c", 0, 1, "")),
                (1, configured("d", 1, 2, "")),
            ],
        },
        // Content counts, not the number alone.
        Case {
            rule: "one of two rivals",
            violating: vec![
                (0, configured("c", 0, 1, "")),
                (1, refused("d", 0)),
                (6, read(1, "d")),
            ],
            sound: vec![
                (0, configured("c", 0, 1, "")),
                (1, refused("d", 0)),
                (6, read(1, "c")),
            ],
        },
        Case {
            rule: "one of two rivals",
            violating: vec![
                (0, configured("c", 0, 1, "")),
                (1, configured("d", 1, 2, "")),
                (6, closed_by("done", 2, "c")),
            ],
            sound: vec![
                (0, configured("c", 0, 1, "")),
                (1, configured("d", 1, 2, "")),
                (6, closed_by("done", 2, "d")),
            ],
        },
    ]
}

pub(super) fn takes_effect() -> Vec<Case> {
    vec![
        Case {
            rule: "configuration takes hold",
            violating: vec![(0, configured("c", 0, 1, "")), (5000, node(0, "", true))],
            sound: vec![(0, configured("c", 0, 1, "")), (5000, node(1, "c", true))],
        },
        // Nobody escapes the bound by saying that it is not ready.
        Case {
            rule: "configuration takes hold",
            violating: vec![
                (0, able(3)),
                (1, node(0, "", false)),
                (6000, node(0, "", false)),
            ],
            sound: vec![
                (0, able(3)),
                (1, node(0, "", false)),
                (3000, able(1)),
                (3500, able(3)),
                (6000, node(0, "", false)),
            ],
        },
    ]
}

pub(super) fn takes_hold_in_effect() -> Vec<Case> {
    vec![
        // The effect counts, not the number shown.
        Case {
            rule: "configuration takes hold",
            violating: vec![
                (0, one()),
                (
                    0,
                    Event::Offered {
                        spec: JobSpec {
                            id: "k".into(),
                            queue: "q".into(),
                            tasks: vec![task("a")],
                            ..JobSpec::default()
                        },
                    },
                ),
                (1, handed("j")),
                (2, accepted()),
                (3, asked("c", rule_settings("", 2, 1))),
                (4, acked("c", 0, 1, rule_settings("", 2, 1))),
                (3000, handed("k")),
                (3001, submitted("k", 202, "")),
                (3500, polled(200, "running")),
            ],
            sound: vec![
                (0, one()),
                (
                    0,
                    Event::Offered {
                        spec: JobSpec {
                            id: "k".into(),
                            queue: "q".into(),
                            tasks: vec![task("a")],
                            ..JobSpec::default()
                        },
                    },
                ),
                (1, handed("j")),
                (2, accepted()),
                (3, asked("c", rule_settings("", 2, 1))),
                (4, acked("c", 0, 1, rule_settings("", 2, 1))),
                (3000, handed("k")),
                (3001, submitted("k", 429, "overQuota")),
                (3500, polled(200, "running")),
            ],
        },
    ]
}

pub(super) fn never_slides_back() -> Vec<Case> {
    vec![
        Case {
            rule: "configuration never slides back",
            violating: vec![(0, node(2, "", true)), (1, node(1, "", true))],
            sound: vec![(0, node(1, "", true)), (1, node(2, "", true))],
        },
        Case {
            rule: "configuration never slides back",
            violating: vec![(0, configured("c", 0, 1, "")), (9, closed("done", 0))],
            sound: vec![(0, configured("c", 0, 1, "")), (9, closed("done", 1))],
        },
        Case {
            rule: "configuration never slides back",
            violating: vec![(0, configured("c", 0, 1, "")), (9, read(0, ""))],
            sound: vec![(0, configured("c", 0, 1, "")), (9, read(1, "c"))],
        },
    ]
}
