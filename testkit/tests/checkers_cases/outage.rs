//! Normal service after an outage.

use super::events::{able, node, started, submitted, task, up};
use super::{Case, Day};
use landingdrift::state::JobSpec;
use landingdrift_testkit::history::Event;

fn recovery_job(ends: &str) -> Day {
    let id = "muster-1".to_string();
    let spec = JobSpec {
        id: id.clone(),
        queue: "q".into(),
        tasks: vec![task("a")],
        ..JobSpec::default()
    };
    let mut run = started("w", 1, "a");
    if let Event::RunStarted { job, .. } = &mut run {
        *job = id.clone();
    }
    vec![
        (0, up("w")),
        (0, Event::OutageEnded),
        (0, able(3)),
        (1, Event::Offered { spec }),
        (2, submitted(&id, 202, "")),
        (3, run),
        (
            9000,
            Event::StateAnswered {
                id,
                status: 200,
                state: ends.into(),
                unsure: false,
                stale: false,
            },
        ),
        (9500, node(0, "", true)),
        (13_000, Event::LoadEnded),
    ]
}

pub(super) fn back_after_an_outage() -> Vec<Case> {
    vec![
        // One accepted job and one start don't make normal service.
        Case {
            rule: "back after an outage",
            violating: recovery_job("running"),
            sound: recovery_job("done"),
        },
        Case {
            rule: "back after an outage",
            violating: recovery_job("done")
                .into_iter()
                .filter(|(t, _)| *t != 9500)
                .collect(),
            sound: recovery_job("done"),
        },
    ]
}
