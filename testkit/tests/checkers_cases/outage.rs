//! Cases for normal service after an outage.

use super::events::{availability, node_version, run_started, submit_answered, task, worker_up};
use super::{Case, TimedEvents};
use landingdrift::state::JobSpec;
use landingdrift_testkit::history::Event;

/// A history with an outage and a recovery job whose last observed state is `state`.
fn outage_with_recovery_job(state: &str) -> TimedEvents {
    let id = "muster-1".to_string();
    let spec = JobSpec {
        id: id.clone(),
        queue: "q".into(),
        tasks: vec![task("a")],
        ..JobSpec::default()
    };
    let mut run = run_started("w", 1, "a");
    if let Event::RunStarted { job, .. } = &mut run {
        *job = id.clone();
    }
    vec![
        (0, worker_up("w")),
        (0, Event::OutageEnded),
        (0, availability(3)),
        (1, Event::Offered { spec }),
        (2, submit_answered(&id, 202, "")),
        (3, run),
        (
            9000,
            Event::StateAnswered {
                id,
                status: 200,
                state: state.into(),
                unsure: false,
                stale: false,
            },
        ),
        (9500, node_version(0, "", true)),
        (13_000, Event::LoadEnded),
    ]
}

pub(super) fn back_after_an_outage() -> Vec<Case> {
    vec![
        // An accepted job and a start are not enough: recovery jobs have to end.
        Case {
            rule: "back after an outage",
            violating: outage_with_recovery_job("running"),
            conforming: outage_with_recovery_job("done"),
        },
        // The node does not report ready within the bound.
        Case {
            rule: "back after an outage",
            violating: outage_with_recovery_job("done")
                .into_iter()
                .filter(|(_, event)| !matches!(event, Event::NodeVersion { .. }))
                .collect(),
            conforming: outage_with_recovery_job("done"),
        },
    ]
}
