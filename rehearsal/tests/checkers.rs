//! Each checker is shown a history that breaks its rule, and one that doesn't.

use landingdrift::record::{JobSpec, Outcome, TaskSpec};
use rehearsal::checkers::{check, Promised, ALL};
use rehearsal::history::{Event, History};
use std::collections::{BTreeMap, BTreeSet};

fn task(name: &str) -> TaskSpec {
    TaskSpec {
        name: name.into(),
        service: "s".into(),
        room: 2,
        ..TaskSpec::default()
    }
}

fn offered(tasks: Vec<TaskSpec>) -> Event {
    Event::Offered {
        spec: JobSpec {
            id: "j".into(),
            queue: "q".into(),
            tasks,
        },
    }
}

fn up(worker: &str) -> Event {
    Event::WorkerUp {
        worker: worker.into(),
        incarnation: 1,
        service: "s".into(),
        labels: vec!["l".into()],
        zone: "z".into(),
        room: 3,
    }
}

fn started(worker: &str, no: u64, task: &str) -> Event {
    Event::Started {
        worker: worker.into(),
        no,
        job: "j".into(),
        task: task.into(),
        room: 2,
        copy: false,
    }
}

fn ended(worker: &str, no: u64, task: &str, outcome: Outcome) -> Event {
    Event::Ended {
        worker: worker.into(),
        no,
        job: "j".into(),
        task: task.into(),
        outcome,
    }
}

fn configured(change: &str, base: u64, version: u64, state: &str) -> Event {
    let zones = [("z".to_string(), state.to_string())].into();
    Event::Configured {
        change: change.into(),
        base,
        status: 200,
        version,
        zones,
        tries: [("q".to_string(), 2)].into(),
    }
}

fn closed(state: &str, version: u64) -> Event {
    Event::Closed {
        version,
        jobs: [("j".to_string(), (state.to_string(), false))].into(),
    }
}

fn accepted() -> Event {
    Event::Submitted { id: "j".into(), status: 202 }
}

fn history(events: Vec<(u64, Event)>) -> History {
    let mut h = History::default();
    events.into_iter().for_each(|(t, e)| h.add(t, e));
    h
}

type Day = Vec<(u64, Event)>;

/// For each rule: events that break it, and the same day as it should have been.
fn cases() -> Vec<(&'static str, Day, Day)> {
    let polled = |status| Event::Polled {
        id: "j".into(),
        status,
        state: String::new(),
        unsure: false,
    };
    let gang = |name: &str| TaskSpec { gang: "g".into(), ..task(name) };
    let after = |name: &str, of: &str| TaskSpec {
        depends_on: vec![of.into()],
        ..task(name)
    };
    let one = || offered(vec![task("a")]);
    let node = |version| Event::NodeVersion { node: "n".into(), version };
    vec![
        (
            "never forgotten",
            vec![(0, one()), (1, accepted()), (4000, polled(404))],
            vec![(0, one()), (1, accepted()), (4000, polled(200))],
        ),
        (
            "turned away never runs",
            vec![(0, one()), (1, Event::GaveUp { id: "j".into() }), (2, up("w")), (3, started("w", 1, "a"))],
            vec![(0, one()), (1, Event::GaveUp { id: "j".into() })],
        ),
        (
            "no repeat without leave",
            vec![(0, one()), (1, up("w")), (1, up("v")), (2, started("w", 1, "a")), (3, started("v", 2, "a"))],
            vec![
                (0, one()),
                (1, up("w")),
                (1, up("v")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Defect)),
                (4, started("v", 2, "a")),
            ],
        ),
        (
            "no repeat without leave",
            vec![(0, one()), (1, up("w")), (2, started("w", 1, "a")), (3, ended("w", 1, "a", Outcome::Well)), (4, started("w", 2, "a"))],
            vec![(0, one()), (1, up("w")), (2, started("w", 1, "a")), (3, ended("w", 1, "a", Outcome::Well))],
        ),
        (
            "steps in order",
            vec![(0, offered(vec![task("a"), after("b", "a")])), (1, up("w")), (2, started("w", 1, "b"))],
            vec![
                (0, offered(vec![task("a"), after("b", "a")])),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Well)),
                (4, started("w", 2, "b")),
            ],
        ),
        (
            "not before its time",
            vec![(0, offered(vec![TaskSpec { due: 9000, ..task("a") }])), (1, up("w")), (2, started("w", 1, "a"))],
            vec![(0, offered(vec![TaskSpec { due: 9000, ..task("a") }])), (1, up("w")), (9001, started("w", 1, "a"))],
        ),
        (
            "room",
            vec![(0, offered(vec![task("a"), task("b")])), (1, up("w")), (2, started("w", 1, "a")), (3, started("w", 2, "b"))],
            vec![
                (0, offered(vec![task("a"), task("b")])),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Well)),
                (4, started("w", 2, "b")),
            ],
        ),
        (
            "fitting workers",
            vec![
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
            vec![
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
        ),
        (
            "tries",
            vec![
                (0, configured("c", 0, 1, "serving")),
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Defect)),
                (4, started("w", 2, "a")),
                (5, ended("w", 2, "a", Outcome::Defect)),
                (6, started("w", 3, "a")),
            ],
            vec![
                (0, configured("c", 0, 1, "serving")),
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Defect)),
                (4, started("w", 2, "a")),
            ],
        ),
        (
            "cancelled stays cancelled",
            vec![(0, one()), (1, up("w")), (2, Event::CancelAcked { id: "j".into() }), (4000, started("w", 1, "a"))],
            vec![(0, one()), (1, up("w")), (2, Event::CancelAcked { id: "j".into() }), (2000, started("w", 1, "a"))],
        ),
        (
            "leaving workers",
            vec![(0, one()), (1, up("w")), (2, Event::WorkerLeaving { worker: "w".into() }), (2500, started("w", 1, "a"))],
            vec![(0, one()), (1, up("w")), (2, Event::WorkerLeaving { worker: "w".into() }), (1500, started("w", 1, "a"))],
        ),
        (
            "emptied zones",
            vec![(0, one()), (1, up("w")), (2, configured("c", 0, 1, "evacuated")), (6000, started("w", 1, "a"))],
            vec![
                (0, one()),
                (1, up("w")),
                (2, configured("c", 0, 1, "evacuated")),
                (3, configured("d", 1, 2, "serving")),
                (6000, started("w", 1, "a")),
            ],
        ),
        (
            "gangs together",
            vec![
                (0, offered(vec![gang("a"), gang("b")])),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (9000, ended("w", 1, "a", Outcome::Well)),
            ],
            vec![
                (0, offered(vec![gang("a"), gang("b")])),
                (1, up("w")),
                (1, up("v")),
                (2, started("w", 1, "a")),
                (50, started("v", 2, "b")),
                (9000, ended("w", 1, "a", Outcome::Well)),
            ],
        ),
        (
            "one of two rivals",
            vec![(0, configured("c", 0, 1, "")), (1, configured("d", 0, 2, ""))],
            vec![(0, configured("c", 0, 1, "")), (1, configured("d", 1, 2, ""))],
        ),
        (
            "configuration holds",
            vec![(0, configured("c", 0, 1, "")), (5000, node(0))],
            vec![(0, configured("c", 0, 1, "")), (5000, node(1))],
        ),
        ("configuration holds", vec![(0, node(2)), (1, node(1))], vec![(0, node(1)), (1, node(2))]),
        (
            "configuration holds",
            vec![(0, configured("c", 0, 1, "")), (9, closed("done", 0))],
            vec![(0, configured("c", 0, 1, "")), (9, closed("done", 1))],
        ),
        (
            "configuration holds",
            vec![(0, configured("c", 0, 1, "")), (9, Event::ConfigRead { version: 0, asked: 5 })],
            vec![(0, configured("c", 0, 1, "")), (9, Event::ConfigRead { version: 1, asked: 5 })],
        ),
        (
            "back after an outage",
            vec![(0, Event::OutageOver), (1, one()), (2, accepted()), (13_000, Event::Calm)],
            vec![(0, Event::OutageOver), (1, one()), (2, accepted()), (3, up("w")), (4, started("w", 1, "a")), (13_000, Event::Calm)],
        ),
        (
            "all come to an end",
            vec![(0, one()), (1, accepted()), (2, closed("running", 0))],
            vec![(0, one()), (1, accepted()), (2, closed("done", 0))],
        ),
    ]
}

#[test]
fn each_checker_sees_its_rule_broken_and_nothing_else() {
    for (rule, bad, good) in cases() {
        let rules: BTreeSet<&str> = check(&history(bad), &Promised::default()).iter().map(|b| b.rule).collect();
        assert_eq!(rules, [rule].into(), "the broken history of '{rule}'");
        let none = check(&history(good), &Promised::default());
        assert!(none.is_empty(), "the sound history of '{rule}': {none:?}");
    }
}

#[test]
fn no_checker_is_left_without_a_case() {
    let shown: BTreeSet<&str> = cases().iter().map(|(r, _, _)| *r).collect();
    let all: BTreeSet<&str> = ALL.iter().map(|(r, _)| *r).collect();
    assert_eq!(shown, all);
    // The end of a day without jobs breaks nothing.
    let empty: BTreeMap<String, (String, bool)> = BTreeMap::new();
    assert!(check(&history(vec![(0, Event::Closed { version: 0, jobs: empty })]), &Promised::default()).is_empty());
}
