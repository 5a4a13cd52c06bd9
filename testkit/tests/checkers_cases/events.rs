//! Events for small histories of job `j` with queue `q`, worker `w` and node `n`.

use landingdrift::state::{JobSpec, Outcome, TaskSpec};
use landingdrift_testkit::history::{CheckedSettings, Event, FinalState};

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

pub fn worker_up(worker: &str) -> Event {
    Event::WorkerUp {
        worker: worker.into(),
        incarnation: 1,
        service: "s".into(),
        labels: vec!["l".into()],
        zone: "z".into(),
        cpu: 3,
    }
}

pub fn run_started(worker: &str, attempt: u64, task: &str) -> Event {
    Event::RunStarted {
        worker: worker.into(),
        attempt,
        job: "j".into(),
        task: task.into(),
        cpu: 2,
        copy: false,
    }
}

pub fn run_ended(worker: &str, attempt: u64, task: &str, outcome: Outcome) -> Event {
    Event::RunEnded {
        worker: worker.into(),
        attempt,
        job: "j".into(),
        task: task.into(),
        outcome,
    }
}

pub fn rule_settings(state: &str, max_attempts: u32, quota: u32) -> CheckedSettings {
    CheckedSettings {
        zones: [("z".to_string(), state.to_string())].into(),
        max_attempts: [("q".to_string(), max_attempts)].into(),
        quotas: [("q".to_string(), quota)].into(),
    }
}

pub fn config_requested(change: &str, settings: CheckedSettings) -> Event {
    Event::ConfigRequested {
        change: change.into(),
        settings,
    }
}

pub fn config_acknowledged(
    change: &str,
    base: u64,
    version: u64,
    settings: CheckedSettings,
) -> Event {
    Event::ConfigAnswered {
        change: change.into(),
        base,
        status: 200,
        version,
        settings,
    }
}

pub fn zone_config_acknowledged(change: &str, base: u64, version: u64, state: &str) -> Event {
    config_acknowledged(change, base, version, rule_settings(state, 2, 100))
}

pub fn config_refused(change: &str, base: u64) -> Event {
    Event::ConfigAnswered {
        change: change.into(),
        base,
        status: 409,
        version: base + 1,
        settings: CheckedSettings::default(),
    }
}

pub fn node_version(version: u64, change: &str, ready: bool) -> Event {
    Event::NodeVersion {
        node: "n".into(),
        version,
        change: change.into(),
        ready,
    }
}

pub fn config_read(version: u64, change: &str) -> Event {
    Event::ConfigRead {
        version,
        change: change.into(),
        requested_ms: 5,
    }
}

pub fn day_ended_with(state: &str, version: u64, change: &str) -> Event {
    Event::DayEnded {
        version,
        change: change.into(),
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

pub fn day_ended(state: &str, version: u64) -> Event {
    day_ended_with(state, version, "")
}

pub fn zone_order_requested(evacuate: bool) -> Event {
    let zone = "z".into();
    Event::ZoneOrderRequested { zone, evacuate }
}

pub fn zone_order_acknowledged(evacuate: bool) -> Event {
    let zone = "z".into();
    Event::ZoneOrderAcknowledged { zone, evacuate }
}

pub fn submit_requested(id: &str) -> Event {
    Event::SubmitRequested { id: id.into() }
}

pub fn submit_answered(id: &str, status: u16, code: &str) -> Event {
    Event::SubmitAnswered {
        id: id.into(),
        status,
        code: code.into(),
    }
}

pub fn submit_accepted() -> Event {
    submit_answered("j", 202, "")
}

pub fn state_answered(status: u16, state: &str) -> Event {
    Event::StateAnswered {
        id: "j".into(),
        status,
        state: state.into(),
        unsure: false,
        stale: false,
    }
}

pub fn availability(replicas: usize) -> Event {
    Event::Availability {
        replicas,
        nodes: vec!["n".into()],
    }
}

pub fn state_requested() -> Event {
    Event::StateRequested { id: "j".into() }
}

pub fn worker_changed(cpu: u32, labels: &[&str]) -> Event {
    Event::WorkerChanged {
        worker: "w".into(),
        labels: labels.iter().map(ToString::to_string).collect(),
        cpu,
    }
}

/// The offer of a job with one task, `a`.
pub fn one_task_job_offered() -> Event {
    offered(vec![task("a")])
}

/// A task in gang `g`.
pub fn gang_member(name: &str) -> TaskSpec {
    TaskSpec {
        gang: "g".into(),
        ..task(name)
    }
}

/// A task that depends on another.
pub fn dependent_task(name: &str, dependency: &str) -> TaskSpec {
    TaskSpec {
        depends_on: vec![dependency.into()],
        ..task(name)
    }
}
