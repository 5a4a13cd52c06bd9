//! Events of small histories.

use landingdrift::state::{JobSpec, Outcome, TaskSpec};
use landingdrift_testkit::history::{Event, FinalState, RuleSettings};

pub fn task(name: &str) -> TaskSpec {
    TaskSpec {
        name: name.into(),
        service: "s".into(),
        cpu: 2,
        ..TaskSpec::default()
    }
}

pub fn offered(tasks: Vec<TaskSpec>) -> Event {
    Event::Offered {
        spec: JobSpec {
            id: "j".into(),
            queue: "q".into(),
            tasks,
            ..JobSpec::default()
        },
    }
}

pub fn up(worker: &str) -> Event {
    Event::WorkerUp {
        worker: worker.into(),
        incarnation: 1,
        service: "s".into(),
        labels: vec!["l".into()],
        zone: "z".into(),
        cpu: 3,
    }
}

pub fn started(worker: &str, no: u64, task: &str) -> Event {
    Event::RunStarted {
        worker: worker.into(),
        attempt: no,
        job: "j".into(),
        task: task.into(),
        cpu: 2,
        copy: false,
    }
}

pub fn ended(worker: &str, no: u64, task: &str, outcome: Outcome) -> Event {
    Event::RunEnded {
        worker: worker.into(),
        attempt: no,
        job: "j".into(),
        task: task.into(),
        outcome,
    }
}

pub fn rule_settings(state: &str, max_attempts: u32, quota: u32) -> RuleSettings {
    RuleSettings {
        zones: [("z".to_string(), state.to_string())].into(),
        max_attempts: [("q".to_string(), max_attempts)].into(),
        quotas: [("q".to_string(), quota)].into(),
    }
}

pub fn asked(change: &str, settings: RuleSettings) -> Event {
    Event::ConfigRequested {
        change: change.into(),
        settings,
    }
}

pub fn acked(change: &str, base: u64, version: u64, settings: RuleSettings) -> Event {
    Event::ConfigAnswered {
        change: change.into(),
        base,
        status: 200,
        version,
        settings,
    }
}

pub fn configured(change: &str, base: u64, version: u64, state: &str) -> Event {
    acked(change, base, version, rule_settings(state, 2, 100))
}

pub fn refused(change: &str, base: u64) -> Event {
    Event::ConfigAnswered {
        change: change.into(),
        base,
        status: 409,
        version: base + 1,
        settings: RuleSettings::default(),
    }
}

pub fn node(version: u64, by: &str, ready: bool) -> Event {
    Event::NodeVersion {
        node: "n".into(),
        version,
        change: by.into(),
        ready,
    }
}

pub fn read(version: u64, by: &str) -> Event {
    Event::ConfigRead {
        version,
        change: by.into(),
        requested_ms: 5,
    }
}

pub fn closed_by(state: &str, version: u64, by: &str) -> Event {
    Event::DayEnded {
        version,
        change: by.into(),
        jobs: [(
            "j".to_string(),
            FinalState {
                state: state.into(),
                unsure: false,
            },
        )]
        .into(),
    }
}

pub fn closed(state: &str, version: u64) -> Event {
    closed_by(state, version, "")
}

pub fn handed(id: &str) -> Event {
    Event::SubmitRequested { id: id.into() }
}

pub fn submitted(id: &str, status: u16, code: &str) -> Event {
    Event::SubmitAnswered {
        id: id.into(),
        status,
        code: code.into(),
    }
}

pub fn accepted() -> Event {
    submitted("j", 202, "")
}

pub fn polled(status: u16, state: &str) -> Event {
    Event::StateAnswered {
        id: "j".into(),
        status,
        state: state.into(),
        unsure: false,
        stale: false,
    }
}

pub fn able(replicas: usize) -> Event {
    Event::Availability {
        replicas,
        nodes: vec!["n".into()],
    }
}

pub fn ask() -> Event {
    Event::StateRequested { id: "j".into() }
}

pub fn changed(cpu: u32, labels: &[&str]) -> Event {
    Event::WorkerChanged {
        worker: "w".into(),
        labels: labels.iter().map(ToString::to_string).collect(),
        cpu,
    }
}

/// A job of one task is handed in.
pub fn one() -> Event {
    offered(vec![task("a")])
}

/// A member of the only gang.
pub fn gang(name: &str) -> TaskSpec {
    TaskSpec {
        gang: "g".into(),
        ..task(name)
    }
}

/// A task that waits for another.
pub fn after(name: &str, of: &str) -> TaskSpec {
    TaskSpec {
        depends_on: vec![of.into()],
        ..task(name)
    }
}
