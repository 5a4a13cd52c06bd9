//! Each checker is shown a history that breaks its rule, and one that doesn't.

use landingdrift::state::{JobSpec, Outcome, TaskSpec};
use landingdrift_testkit::checkers::{check, Promised, ALL};
use landingdrift_testkit::history::{Event, History, Says};
use std::collections::{BTreeMap, BTreeSet};

fn task(name: &str) -> TaskSpec {
    TaskSpec {
        name: name.into(),
        service: "s".into(),
        cpu: 2,
        ..TaskSpec::default()
    }
}

fn offered(tasks: Vec<TaskSpec>) -> Event {
    Event::Offered {
        spec: JobSpec {
            id: "j".into(),
            queue: "q".into(),
            tasks,
            ..JobSpec::default()
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
        cpu: 3,
    }
}

fn started(worker: &str, no: u64, task: &str) -> Event {
    Event::Started {
        worker: worker.into(),
        no,
        job: "j".into(),
        task: task.into(),
        cpu: 2,
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

fn says(state: &str, max_attempts: u32, quota: u32) -> Says {
    Says {
        zones: [("z".to_string(), state.to_string())].into(),
        max_attempts: [("q".to_string(), max_attempts)].into(),
        quotas: [("q".to_string(), quota)].into(),
    }
}

fn asked(change: &str, says: Says) -> Event {
    Event::ConfigAsked {
        change: change.into(),
        says,
    }
}

fn acked(change: &str, base: u64, version: u64, says: Says) -> Event {
    Event::Configured {
        change: change.into(),
        base,
        status: 200,
        version,
        says,
    }
}

fn configured(change: &str, base: u64, version: u64, state: &str) -> Event {
    acked(change, base, version, says(state, 2, 100))
}

fn refused(change: &str, base: u64) -> Event {
    Event::Configured {
        change: change.into(),
        base,
        status: 409,
        version: base + 1,
        says: Says::default(),
    }
}

fn node(version: u64, by: &str, ready: bool) -> Event {
    Event::NodeVersion {
        node: "n".into(),
        version,
        by: by.into(),
        ready,
    }
}

fn read(version: u64, by: &str) -> Event {
    Event::ConfigRead {
        version,
        by: by.into(),
        asked: 5,
    }
}

fn closed_by(state: &str, version: u64, by: &str) -> Event {
    Event::Closed {
        version,
        by: by.into(),
        jobs: [("j".to_string(), (state.to_string(), false))].into(),
    }
}

fn closed(state: &str, version: u64) -> Event {
    closed_by(state, version, "")
}

fn handed(id: &str) -> Event {
    Event::Handed { id: id.into() }
}

fn submitted(id: &str, status: u16, code: &str) -> Event {
    Event::Submitted {
        id: id.into(),
        status,
        code: code.into(),
    }
}

fn accepted() -> Event {
    submitted("j", 202, "")
}

fn polled(status: u16, state: &str) -> Event {
    Event::Polled {
        id: "j".into(),
        status,
        state: state.into(),
        unsure: false,
        stale: false,
    }
}

fn able(replicas: usize) -> Event {
    Event::Able {
        replicas,
        nodes: vec!["n".into()],
    }
}

fn ask() -> Event {
    Event::Asked { id: "j".into() }
}

fn changed(cpu: u32, labels: &[&str]) -> Event {
    Event::WorkerChanged {
        worker: "w".into(),
        labels: labels.iter().map(ToString::to_string).collect(),
        cpu,
    }
}

fn muster(ends: &str) -> Day {
    let id = "muster-1".to_string();
    let spec = JobSpec {
        id: id.clone(),
        queue: "q".into(),
        tasks: vec![task("a")],
        ..JobSpec::default()
    };
    let mut run = started("w", 1, "a");
    if let Event::Started { job, .. } = &mut run {
        *job = id.clone();
    }
    vec![
        (0, up("w")),
        (0, Event::OutageOver),
        (0, able(3)),
        (1, Event::Offered { spec }),
        (2, submitted(&id, 202, "")),
        (3, run),
        (
            9000,
            Event::Polled {
                id,
                status: 200,
                state: ends.into(),
                unsure: false,
                stale: false,
            },
        ),
        (9500, node(0, "", true)),
        (13_000, Event::Calm),
    ]
}

fn history(events: Vec<(u64, Event)>) -> History {
    let mut h = History::default();
    events.into_iter().for_each(|(t, e)| h.add(t, e));
    h
}

type Day = Vec<(u64, Event)>;

/// For each rule: events that break it, and the same day as it should have been.
fn cases() -> Vec<(&'static str, Day, Day)> {
    let gang = |name: &str| TaskSpec {
        gang: "g".into(),
        ..task(name)
    };
    let after = |name: &str, of: &str| TaskSpec {
        depends_on: vec![of.into()],
        ..task(name)
    };
    let one = || offered(vec![task("a")]);
    vec![
        (
            "never forgotten",
            vec![(0, one()), (1, accepted()), (4000, polled(404, ""))],
            vec![(0, one()), (1, accepted()), (4000, polled(200, "running"))],
        ),
        (
            "never forgotten",
            vec![
                (0, one()),
                (1, accepted()),
                (4000, polled(200, "done")),
                (5000, polled(200, "running")),
            ],
            vec![
                (0, one()),
                (1, accepted()),
                (4000, polled(200, "running")),
                (5000, polled(200, "done")),
            ],
        ),
        // Silence and 503 count as much as a wrong word, but for the time in which the replica had no majority, and its return.
        (
            "state within its bound",
            vec![
                (0, one()),
                (0, able(3)),
                (1, accepted()),
                (2, ask()),
                (1000, polled(503, "")),
                (3100, polled(200, "running")),
            ],
            vec![
                (0, one()),
                (0, able(3)),
                (1, accepted()),
                (2, ask()),
                (3, able(1)),
                (1000, polled(503, "")),
                (1001, able(3)),
                (8000, polled(200, "running")),
            ],
        ),
        (
            "state within its bound",
            vec![
                (0, one()),
                (1, accepted()),
                (2, ask()),
                (3100, closed("done", 0)),
            ],
            vec![
                (0, one()),
                (1, accepted()),
                (2, ask()),
                (2100, closed("done", 0)),
            ],
        ),
        (
            "turned away never runs",
            vec![
                (0, one()),
                (1, handed("j")),
                (2, submitted("j", 429, "overQuota")),
                (3, up("w")),
                (4, started("w", 1, "a")),
            ],
            vec![
                (0, one()),
                (1, handed("j")),
                (2, submitted("j", 429, "overQuota")),
                (3, handed("j")),
                (3, up("w")),
                (4, started("w", 1, "a")),
            ],
        ),
        // A refusal of one call says nothing of an earlier call without an answer; a refusal of the job does.
        (
            "turned away never runs",
            vec![
                (0, one()),
                (1, handed("j")),
                (2, submitted("j", 503, "busy")),
                (3, up("w")),
                (4, started("w", 1, "a")),
            ],
            vec![
                (0, one()),
                (1, handed("j")),
                (2, handed("j")),
                (3, submitted("j", 503, "busy")),
                (3, up("w")),
                (4, started("w", 1, "a")),
            ],
        ),
        (
            "turned away never runs",
            vec![
                (0, one()),
                (1, handed("j")),
                (2, handed("j")),
                (3, submitted("j", 400, "wrongJob")),
                (3, up("w")),
                (4, started("w", 1, "a")),
            ],
            vec![
                (0, one()),
                (1, handed("j")),
                (2, submitted("j", 503, "unsure")),
                (3, up("w")),
                (4, started("w", 1, "a")),
            ],
        ),
        (
            "no repeat without leave",
            vec![
                (0, one()),
                (1, up("w")),
                (1, up("v")),
                (2, started("w", 1, "a")),
                (3, started("v", 2, "a")),
            ],
            vec![
                (0, one()),
                (1, up("w")),
                (1, up("v")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Failed)),
                (4, started("v", 2, "a")),
            ],
        ),
        (
            "no repeat without leave",
            vec![
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Succeeded)),
                (4, started("w", 2, "a")),
            ],
            vec![
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Succeeded)),
            ],
        ),
        (
            "steps in order",
            vec![
                (0, offered(vec![task("a"), after("b", "a")])),
                (1, up("w")),
                (2, started("w", 1, "b")),
            ],
            vec![
                (0, offered(vec![task("a"), after("b", "a")])),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Succeeded)),
                (4, started("w", 2, "b")),
            ],
        ),
        (
            "not before its time",
            vec![
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
            vec![
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
        ),
        (
            "room",
            vec![
                (0, offered(vec![task("a"), task("b")])),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, started("w", 2, "b")),
            ],
            vec![
                (0, offered(vec![task("a"), task("b")])),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Succeeded)),
                (4, started("w", 2, "b")),
            ],
        ),
        // Room and labels may change under way.
        (
            "room",
            vec![
                (0, one()),
                (1, up("w")),
                (2, changed(1, &["l"])),
                (3, started("w", 1, "a")),
            ],
            vec![
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, changed(1, &["l"])),
            ],
        ),
        (
            "fitting workers",
            vec![
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
            vec![
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
                (0, asked("c", says("serving", 2, 100))),
                (0, configured("c", 0, 1, "serving")),
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Failed)),
                (4, started("w", 2, "a")),
                (5, ended("w", 2, "a", Outcome::Failed)),
                (6, started("w", 3, "a")),
            ],
            vec![
                (0, asked("c", says("serving", 2, 100))),
                (0, configured("c", 0, 1, "serving")),
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Failed)),
                (4, started("w", 2, "a")),
            ],
        ),
        // The limit in force counts, not the largest there ever was.
        (
            "tries",
            vec![
                (0, asked("c", says("", 3, 9))),
                (0, acked("c", 0, 1, says("", 3, 9))),
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Failed)),
                (4, asked("d", says("", 1, 9))),
                (5, acked("d", 1, 2, says("", 1, 9))),
                (2100, started("w", 2, "a")),
            ],
            vec![
                (0, asked("c", says("", 1, 9))),
                (0, acked("c", 0, 1, says("", 1, 9))),
                (0, one()),
                (1, up("w")),
                (2, started("w", 1, "a")),
                (3, ended("w", 1, "a", Outcome::Failed)),
                (4, asked("d", says("", 3, 9))),
                (2100, started("w", 2, "a")),
            ],
        ),
        (
            "cancelled stays cancelled",
            vec![
                (0, one()),
                (1, up("w")),
                (2, Event::CancelAcked { id: "j".into() }),
                (4000, started("w", 1, "a")),
            ],
            vec![
                (0, one()),
                (1, up("w")),
                (2, Event::CancelAcked { id: "j".into() }),
                (2000, started("w", 1, "a")),
            ],
        ),
        (
            "leaving workers",
            vec![
                (0, one()),
                (1, up("w")),
                (2, Event::WorkerLeaving { worker: "w".into() }),
                (2500, started("w", 1, "a")),
            ],
            vec![
                (0, one()),
                (1, up("w")),
                (2, Event::WorkerLeaving { worker: "w".into() }),
                (1500, started("w", 1, "a")),
            ],
        ),
        (
            "emptied zones",
            vec![
                (0, one()),
                (1, up("w")),
                (2, configured("c", 0, 1, "evacuated")),
                (6000, started("w", 1, "a")),
            ],
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
                (9000, ended("w", 1, "a", Outcome::Succeeded)),
            ],
            vec![
                (0, offered(vec![gang("a"), gang("b")])),
                (1, up("w")),
                (1, up("v")),
                (2, started("w", 1, "a")),
                (50, started("v", 2, "b")),
                (9000, ended("w", 1, "a", Outcome::Succeeded)),
            ],
        ),
        // Half a second alone is nothing, two seconds are too long unless a fault struck.
        (
            "gangs together",
            vec![
                (0, offered(vec![gang("a"), gang("b")])),
                (1, up("w")),
                (1, up("v")),
                (2, started("w", 1, "a")),
                (2000, started("v", 2, "b")),
                (9000, ended("w", 1, "a", Outcome::Succeeded)),
            ],
            vec![
                (0, offered(vec![gang("a"), gang("b")])),
                (
                    0,
                    Event::Fault {
                        what: "WorkerCut 1".into(),
                    },
                ),
                (1, up("w")),
                (1, up("v")),
                (2, started("w", 1, "a")),
                (2000, started("v", 2, "b")),
                (9000, ended("w", 1, "a", Outcome::Succeeded)),
            ],
        ),
        (
            "one of two rivals",
            vec![
                (0, configured("c", 0, 1, "")),
                (1, configured("d", 0, 2, "")),
            ],
            vec![
                (0, configured("c", 0, 1, "")),
                (1, configured("d", 1, 2, "")),
            ],
        ),
        // Content counts, not the number alone.
        (
            "one of two rivals",
            vec![
                (0, configured("c", 0, 1, "")),
                (1, refused("d", 0)),
                (6, read(1, "d")),
            ],
            vec![
                (0, configured("c", 0, 1, "")),
                (1, refused("d", 0)),
                (6, read(1, "c")),
            ],
        ),
        (
            "one of two rivals",
            vec![
                (0, configured("c", 0, 1, "")),
                (1, configured("d", 1, 2, "")),
                (6, closed_by("done", 2, "c")),
            ],
            vec![
                (0, configured("c", 0, 1, "")),
                (1, configured("d", 1, 2, "")),
                (6, closed_by("done", 2, "d")),
            ],
        ),
        (
            "configuration takes hold",
            vec![(0, configured("c", 0, 1, "")), (5000, node(0, "", true))],
            vec![(0, configured("c", 0, 1, "")), (5000, node(1, "c", true))],
        ),
        // Nobody escapes the bound by saying that it is not ready.
        (
            "configuration takes hold",
            vec![
                (0, able(3)),
                (1, node(0, "", false)),
                (6000, node(0, "", false)),
            ],
            vec![
                (0, able(3)),
                (1, node(0, "", false)),
                (3000, able(1)),
                (3500, able(3)),
                (6000, node(0, "", false)),
            ],
        ),
        // The effect counts, not the number shown.
        (
            "configuration takes hold",
            vec![
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
                (3, asked("c", says("", 2, 1))),
                (4, acked("c", 0, 1, says("", 2, 1))),
                (3000, handed("k")),
                (3001, submitted("k", 202, "")),
                (3500, polled(200, "running")),
            ],
            vec![
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
                (3, asked("c", says("", 2, 1))),
                (4, acked("c", 0, 1, says("", 2, 1))),
                (3000, handed("k")),
                (3001, submitted("k", 429, "overQuota")),
                (3500, polled(200, "running")),
            ],
        ),
        (
            "configuration never slides back",
            vec![(0, node(2, "", true)), (1, node(1, "", true))],
            vec![(0, node(1, "", true)), (1, node(2, "", true))],
        ),
        (
            "configuration never slides back",
            vec![(0, configured("c", 0, 1, "")), (9, closed("done", 0))],
            vec![(0, configured("c", 0, 1, "")), (9, closed("done", 1))],
        ),
        (
            "configuration never slides back",
            vec![(0, configured("c", 0, 1, "")), (9, read(0, ""))],
            vec![(0, configured("c", 0, 1, "")), (9, read(1, "c"))],
        ),
        // One accepted job and one start don't make normal service.
        ("back after an outage", muster("running"), muster("done")),
        (
            "back after an outage",
            muster("done")
                .into_iter()
                .filter(|(t, _)| *t != 9500)
                .collect(),
            muster("done"),
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
        let rules: BTreeSet<&str> = check(&history(bad), &Promised::default())
            .iter()
            .map(|b| b.rule)
            .collect();
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
    assert!(check(
        &history(vec![(
            0,
            Event::Closed {
                version: 0,
                by: String::new(),
                jobs: empty
            }
        )]),
        &Promised::default()
    )
    .is_empty());
}
