//! Cases for the configuration: at most one of two concurrent changes is accepted, accepted changes are not lost, and
//! they take effect in time.

use super::events::{
    availability, config_acknowledged, config_read, config_refused, config_requested, day_ended,
    day_ended_with, node_version, one_task_job_offered, rule_settings, state_answered,
    submit_accepted, submit_answered, submit_requested, task, zone_config_acknowledged,
};
use super::Case;
use landingdrift::state::JobSpec;
use landingdrift_testkit::history::Event;

pub(super) fn one_of_two_rivals() -> Vec<Case> {
    vec![
        Case {
            rule: "one of two rivals",
            violating: vec![
                (0, zone_config_acknowledged("c", 0, 1, "")),
                (1, zone_config_acknowledged("d", 0, 2, "")),
            ],
            conforming: vec![
                (0, zone_config_acknowledged("c", 0, 1, "")),
                (1, zone_config_acknowledged("d", 1, 2, "")),
            ],
        },
        // The content must be that of the accepted change, not only the version number.
        Case {
            rule: "one of two rivals",
            violating: vec![
                (0, zone_config_acknowledged("c", 0, 1, "")),
                (1, config_refused("d", 0)),
                (6, config_read(1, "d")),
            ],
            conforming: vec![
                (0, zone_config_acknowledged("c", 0, 1, "")),
                (1, config_refused("d", 0)),
                (6, config_read(1, "c")),
            ],
        },
        Case {
            rule: "one of two rivals",
            violating: vec![
                (0, zone_config_acknowledged("c", 0, 1, "")),
                (1, zone_config_acknowledged("d", 1, 2, "")),
                (6, day_ended_with("done", 2, "c")),
            ],
            conforming: vec![
                (0, zone_config_acknowledged("c", 0, 1, "")),
                (1, zone_config_acknowledged("d", 1, 2, "")),
                (6, day_ended_with("done", 2, "d")),
            ],
        },
    ]
}

pub(super) fn takes_effect() -> Vec<Case> {
    vec![
        Case {
            rule: "configuration takes hold",
            violating: vec![
                (0, zone_config_acknowledged("c", 0, 1, "")),
                (5000, node_version(0, "", true)),
            ],
            conforming: vec![
                (0, zone_config_acknowledged("c", 0, 1, "")),
                (5000, node_version(1, "c", true)),
            ],
        },
        // A node must not escape the bound by reporting not ready.
        Case {
            rule: "configuration takes hold",
            violating: vec![
                (0, availability(3)),
                (1, node_version(0, "", false)),
                (6000, node_version(0, "", false)),
            ],
            conforming: vec![
                (0, availability(3)),
                (1, node_version(0, "", false)),
                (3000, availability(1)),
                (3500, availability(3)),
                (6000, node_version(0, "", false)),
            ],
        },
    ]
}

pub(super) fn quota_takes_effect() -> Vec<Case> {
    vec![
        // The quota itself must be in force, not only the version that nodes report.
        Case {
            rule: "configuration takes hold",
            violating: vec![
                (0, one_task_job_offered()),
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
                (1, submit_requested("j")),
                (2, submit_accepted()),
                (3, config_requested("c", rule_settings("", 2, 1))),
                (4, config_acknowledged("c", 0, 1, rule_settings("", 2, 1))),
                (3000, submit_requested("k")),
                (3001, submit_answered("k", 202, "")),
                (3500, state_answered(200, "running")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
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
                (1, submit_requested("j")),
                (2, submit_accepted()),
                (3, config_requested("c", rule_settings("", 2, 1))),
                (4, config_acknowledged("c", 0, 1, rule_settings("", 2, 1))),
                (3000, submit_requested("k")),
                (3001, submit_answered("k", 429, "overQuota")),
                (3500, state_answered(200, "running")),
            ],
        },
    ]
}

pub(super) fn never_reverts() -> Vec<Case> {
    vec![
        Case {
            rule: "configuration never slides back",
            violating: vec![
                (0, node_version(2, "", true)),
                (1, node_version(1, "", true)),
            ],
            conforming: vec![
                (0, node_version(1, "", true)),
                (1, node_version(2, "", true)),
            ],
        },
        Case {
            rule: "configuration never slides back",
            violating: vec![
                (0, zone_config_acknowledged("c", 0, 1, "")),
                (9, day_ended("done", 0)),
            ],
            conforming: vec![
                (0, zone_config_acknowledged("c", 0, 1, "")),
                (9, day_ended("done", 1)),
            ],
        },
        Case {
            rule: "configuration never slides back",
            violating: vec![
                (0, zone_config_acknowledged("c", 0, 1, "")),
                (9, config_read(0, "")),
            ],
            conforming: vec![
                (0, zone_config_acknowledged("c", 0, 1, "")),
                (9, config_read(1, "c")),
            ],
        },
    ]
}
