//! Cases for placement: capacity, services and labels, leaving workers, emptied zones.

use super::events::{
    offered, one_task_job_offered, run_ended, run_started, task, worker_changed, worker_up,
    zone_config_acknowledged, zone_order_acknowledged, zone_order_requested,
};
use super::Case;
use landingdrift::state::{Outcome, TaskSpec};
use landingdrift_testkit::history::Event;

pub(super) fn capacity() -> Vec<Case> {
    vec![
        Case {
            rule: "room",
            violating: vec![
                (0, offered(vec![task("a"), task("b")])),
                (1, worker_up("w")),
                (2, run_started("w", 1, "a")),
                (3, run_started("w", 2, "b")),
            ],
            conforming: vec![
                (0, offered(vec![task("a"), task("b")])),
                (1, worker_up("w")),
                (2, run_started("w", 1, "a")),
                (3, run_ended("w", 1, "a", Outcome::Succeeded)),
                (4, run_started("w", 2, "b")),
            ],
        },
        // A reduced capacity applies to later starts only.
        Case {
            rule: "room",
            violating: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, worker_changed(1, &["l"])),
                (3, run_started("w", 1, "a")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, run_started("w", 1, "a")),
                (3, worker_changed(1, &["l"])),
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
                (1, worker_up("w")),
                (2, worker_changed(3, &[])),
                (3, run_started("w", 1, "a")),
            ],
            conforming: vec![
                (
                    0,
                    offered(vec![TaskSpec {
                        labels: vec!["l".into()],
                        ..task("a")
                    }]),
                ),
                (1, worker_up("w")),
                (2, worker_changed(3, &["l"])),
                (3, run_started("w", 1, "a")),
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
                (1, worker_up("w")),
                (2, run_started("w", 1, "a")),
            ],
            conforming: vec![
                (
                    0,
                    offered(vec![TaskSpec {
                        labels: vec!["l".into()],
                        ..task("a")
                    }]),
                ),
                (1, worker_up("w")),
                (2, run_started("w", 1, "a")),
            ],
        },
    ]
}

pub(super) fn leaving_workers() -> Vec<Case> {
    vec![Case {
        rule: "leaving workers",
        violating: vec![
            (0, one_task_job_offered()),
            (1, worker_up("w")),
            (2, Event::WorkerLeaving { worker: "w".into() }),
            (2500, run_started("w", 1, "a")),
        ],
        conforming: vec![
            (0, one_task_job_offered()),
            (1, worker_up("w")),
            (2, Event::WorkerLeaving { worker: "w".into() }),
            (1500, run_started("w", 1, "a")),
        ],
    }]
}

pub(super) fn emptied_zones() -> Vec<Case> {
    vec![
        Case {
            rule: "emptied zones",
            violating: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, zone_config_acknowledged("c", 0, 1, "evacuated")),
                (6000, run_started("w", 1, "a")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, zone_config_acknowledged("c", 0, 1, "evacuated")),
                (3, zone_config_acknowledged("d", 1, 2, "serving")),
                (6000, run_started("w", 1, "a")),
            ],
        },
        // An order that ends the evacuation counts until the zone is evacuated again.
        Case {
            rule: "emptied zones",
            violating: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, zone_order_acknowledged(true)),
                (3, zone_order_requested(false)),
                (4, zone_order_requested(true)),
                (5, zone_order_acknowledged(true)),
                (6000, run_started("w", 1, "a")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, zone_order_acknowledged(true)),
                (3, zone_order_requested(false)),
                (6000, run_started("w", 1, "a")),
            ],
        },
        // An evacuated zone stays empty whatever the configuration says of it.
        Case {
            rule: "emptied zones",
            violating: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, zone_order_acknowledged(true)),
                (3, zone_config_acknowledged("c", 0, 1, "serving")),
                (6000, run_started("w", 1, "a")),
            ],
            conforming: vec![
                (0, one_task_job_offered()),
                (1, worker_up("w")),
                (2, zone_order_acknowledged(true)),
                (3, zone_config_acknowledged("c", 0, 1, "serving")),
                (4000, run_started("w", 1, "a")),
            ],
        },
    ]
}
