//! What becomes of jobs: none is forgotten, none runs that was rejected, all come to an end.

use super::events::{able, accepted, ask, closed, handed, one, polled, started, submitted, up};
use super::Case;
use landingdrift_testkit::history::Event;

pub(super) fn never_forgotten() -> Vec<Case> {
    vec![
        Case {
            rule: "never forgotten",
            violating: vec![(0, one()), (1, accepted()), (4000, polled(404, ""))],
            sound: vec![(0, one()), (1, accepted()), (4000, polled(200, "running"))],
        },
        Case {
            rule: "never forgotten",
            violating: vec![
                (0, one()),
                (1, accepted()),
                (4000, polled(200, "done")),
                (5000, polled(200, "running")),
            ],
            sound: vec![
                (0, one()),
                (1, accepted()),
                (4000, polled(200, "running")),
                (5000, polled(200, "done")),
            ],
        },
    ]
}

pub(super) fn state_within_its_bound() -> Vec<Case> {
    vec![
        // Silence and 503 count as much as a wrong word, but for the time in which the replica had no majority, and its return.
        Case {
            rule: "state within its bound",
            violating: vec![
                (0, one()),
                (0, able(3)),
                (1, accepted()),
                (2, ask()),
                (1000, polled(503, "")),
                (3100, polled(200, "running")),
            ],
            sound: vec![
                (0, one()),
                (0, able(3)),
                (1, accepted()),
                (2, ask()),
                (3, able(1)),
                (1000, polled(503, "")),
                (1001, able(3)),
                (8000, polled(200, "running")),
            ],
        },
        Case {
            rule: "state within its bound",
            violating: vec![
                (0, one()),
                (1, accepted()),
                (2, ask()),
                (3100, closed("done", 0)),
            ],
            sound: vec![
                (0, one()),
                (1, accepted()),
                (2, ask()),
                (2100, closed("done", 0)),
            ],
        },
    ]
}

pub(super) fn turned_away_never_runs() -> Vec<Case> {
    vec![
        Case {
            rule: "turned away never runs",
            violating: vec![
                (0, one()),
                (1, handed("j")),
                (2, submitted("j", 429, "overQuota")),
                (3, up("w")),
                (4, started("w", 1, "a")),
            ],
            sound: vec![
                (0, one()),
                (1, handed("j")),
                (2, submitted("j", 429, "overQuota")),
                (3, handed("j")),
                (3, up("w")),
                (4, started("w", 1, "a")),
            ],
        },
        // A refusal of one call says nothing of an earlier call without an answer; a refusal of the job does.
        Case {
            rule: "turned away never runs",
            violating: vec![
                (0, one()),
                (1, handed("j")),
                (2, submitted("j", 503, "busy")),
                (3, up("w")),
                (4, started("w", 1, "a")),
            ],
            sound: vec![
                (0, one()),
                (1, handed("j")),
                (2, handed("j")),
                (3, submitted("j", 503, "busy")),
                (3, up("w")),
                (4, started("w", 1, "a")),
            ],
        },
        Case {
            rule: "turned away never runs",
            violating: vec![
                (0, one()),
                (1, handed("j")),
                (2, handed("j")),
                (3, submitted("j", 400, "wrongJob")),
                (3, up("w")),
                (4, started("w", 1, "a")),
            ],
            sound: vec![
                (0, one()),
                (1, handed("j")),
                (2, submitted("j", 503, "unsure")),
                (3, up("w")),
                (4, started("w", 1, "a")),
            ],
        },
    ]
}

pub(super) fn cancelled_stays_cancelled() -> Vec<Case> {
    vec![Case {
        rule: "cancelled stays cancelled",
        violating: vec![
            (0, one()),
            (1, up("w")),
            (2, Event::CancelAcknowledged { id: "j".into() }),
            (4000, started("w", 1, "a")),
        ],
        sound: vec![
            (0, one()),
            (1, up("w")),
            (2, Event::CancelAcknowledged { id: "j".into() }),
            (2000, started("w", 1, "a")),
        ],
    }]
}

pub(super) fn all_come_to_an_end() -> Vec<Case> {
    vec![Case {
        rule: "all come to an end",
        violating: vec![(0, one()), (1, accepted()), (2, closed("running", 0))],
        sound: vec![(0, one()), (1, accepted()), (2, closed("done", 0))],
    }]
}
