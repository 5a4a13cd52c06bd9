//! The report on capacity, as Markdown.

use super::fit::{fit, Fit};
use super::footprint::State;
use super::load::TASKS;
use super::meter::Tally;
use super::metered_day::{Role, Run};
use super::target::{Target, TARGET};
use landingdrift::settings::Settings;

/// The least number of starts a second that anything is divided by.
const MIN_STARTS: f64 = 1e-9;

/// So many microseconds a second are one percent of a core.
const MICROSECONDS_PER_PERCENT: f64 = 1e4;

/// A figure of a role: its name with the unit, and how it is read.
type Figure = (&'static str, fn(&Tally) -> f64);

const FIGURES: [Figure; 8] = [
    ("messages in a second", |t| t.messages_in),
    ("messages out a second", |t| t.messages_out),
    ("bytes in a second", |t| t.bytes_in),
    ("bytes out a second", |t| t.bytes_out),
    ("calls a second", |t| t.calls),
    ("log bytes a second", |t| t.log_bytes),
    ("processor in `step`, µs a second", |t| t.step / 1000.0),
    ("processor in `pack` and `unpack`, µs a second", |t| {
        t.wire / 1000.0
    }),
];

/// The terms that a role's cost may depend on.
fn terms(role: Role, workers: f64, nodes: f64, starts: f64) -> Vec<f64> {
    if role.is_replica() {
        vec![1.0, workers, nodes, starts, nodes * starts]
    } else {
        vec![1.0, workers, workers / nodes, starts, workers * starts]
    }
}

fn term_names(role: Role) -> [&'static str; 5] {
    if role.is_replica() {
        [
            "fixed",
            "a worker",
            "a node",
            "a start/s",
            "a node · start/s",
        ]
    } else {
        [
            "fixed",
            "a worker",
            "a worker per node",
            "a start/s",
            "a worker · start/s",
        ]
    }
}

/// A number with about three digits.
fn short(number: f64) -> String {
    let size = number.abs();
    if size == 0.0 {
        "0".into()
    } else if size >= 100.0 {
        format!("{number:.0}")
    } else if size >= 1.0 {
        format!("{number:.1}")
    } else {
        format!("{number:.2e}")
    }
}

fn row(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}

fn head(cells: &[&str]) -> String {
    let rule: Vec<String> = cells.iter().map(|_| "---".to_string()).collect();
    let names: Vec<String> = cells.iter().map(|cell| (*cell).to_string()).collect();
    row(&names) + &row(&rule)
}

fn verdict(holds: bool) -> &'static str {
    if holds {
        "holds"
    } else {
        "**does not hold**"
    }
}

fn measured(runs: &[Run]) -> String {
    let mut out = String::from("### Measured, a second\n\nMean over the processes of a role. Bytes are packed envelopes between processes; calls over HTTP are counted, not weighed.\n\n");
    out += &head(&[
        "workers, nodes",
        "starts/s",
        "role",
        "how many",
        "messages in",
        "out",
        "bytes in",
        "out",
        "calls",
        "log bytes",
        "`step`, µs",
        "`pack`, `unpack`, µs",
    ]);
    for run in runs {
        for (role, of_role) in &run.roles {
            let cells = [
                format!("{}, {}", run.size.workers, run.size.nodes),
                format!("{:.1}", run.starts),
                role.name().to_string(),
                of_role.processes.to_string(),
            ];
            let figures = FIGURES.iter();
            let figures = figures.map(|(_, figure)| short(figure(&of_role.tally)));
            out += &row(&cells.into_iter().chain(figures).collect::<Vec<_>>());
        }
    }
    out
}

fn a_start(runs: &[Run]) -> String {
    let mut out = String::from("\n### Measured, a start\n\nThe same divided by the starts of the whole cluster; processor time also as the ratio to the reference work (a digest of 64 KiB, paired: done every virtual second of the same run).\n\n");
    out += &head(&[
        "workers, nodes",
        "starts/s",
        "role",
        "messages in",
        "out",
        "bytes in",
        "out",
        "log bytes",
        "`step`, µs",
        "`step`, ratio to the reference",
        "reference, µs",
    ]);
    for run in runs {
        for (role, of_role) in &run.roles {
            let per_start = of_role.tally.per(run.starts.max(MIN_STARTS));
            out += &row(&[
                format!("{}, {}", run.size.workers, run.size.nodes),
                format!("{:.1}", run.starts),
                role.name().to_string(),
                short(per_start.messages_in),
                short(per_start.messages_out),
                short(per_start.bytes_in),
                short(per_start.bytes_out),
                short(per_start.log_bytes),
                short(per_start.step / 1000.0),
                short(per_start.step / run.reference),
                short(run.reference / 1000.0),
            ]);
        }
    }
    out
}

/// The cluster state at the target's peak.
struct Peak {
    jobs: f64,
    bytes: f64,
    memory: f64,
    pack_ns: f64,
}

/// Bytes a worker, a task kept, a running task, and the fixed rest.
fn parts(state: &State) -> [f64; 4] {
    let State {
        of_workers,
        of_jobs,
        of_running,
        bytes,
        ..
    } = state;
    [
        of_workers / state.workers.max(1.0),
        of_jobs / state.tasks.max(1.0),
        of_running / state.running.max(1.0),
        bytes - of_workers - of_jobs - of_running,
    ]
}

fn peak(runs: &[Run], target: &Target, memory_of_a_byte: f64) -> Peak {
    let retained_s = Settings::default().limits.retain_ms as f64 / 1000.0;
    let kept_s = retained_s + target.running / target.starts;
    let jobs = (target.starts / TASKS as f64 * kept_s).min(target.jobs_a_day);
    let sum = |figure: fn(&Run) -> f64| runs.iter().map(figure).sum::<f64>();
    // By the largest run; all of them are shown.
    let bytes = runs.last().map_or(0.0, |run| {
        let [worker, task, running, fixed] = parts(&run.state);
        let tasks = jobs * TASKS as f64;
        fixed + worker * target.workers + task * tasks + running * target.running
    });
    let pack = sum(|run| run.state.pack / run.reference) / sum(|run| run.state.bytes).max(1.0);
    Peak {
        jobs,
        bytes,
        memory: bytes * memory_of_a_byte,
        pack_ns: bytes * pack * quietest_reference(runs),
    }
}

fn state(runs: &[Run], peak: &Peak) -> String {
    let mut out = String::from("\n### State\n\nBytes of `ClusterState::pack` at the end of each run. Of jobs, workers, running tasks: what is missing when they are left out; a running task stands in its job and its worker as well.\n\n");
    out += &head(&[
        "workers, nodes",
        "jobs kept",
        "tasks kept",
        "running",
        "all, KB",
        "a job",
        "a task of a job",
        "a worker",
        "a running task",
        "rest, KB",
    ]);
    for run in runs {
        let state = &run.state;
        let [worker, task, running, fixed] = parts(state);
        out += &row(&[
            format!("{}, {}", run.size.workers, run.size.nodes),
            short(state.jobs),
            short(state.tasks),
            short(state.running),
            short(state.bytes / 1000.0),
            short(state.of_jobs / state.jobs.max(1.0)),
            short(task),
            short(worker),
            short(running),
            short(fixed / 1000.0),
        ]);
    }
    out + &format!("\nAt the target {:.0} jobs are kept (peak rate over `limits.retain_ms`, {TASKS} tasks a job): {:.1} MB packed, {:.0} MB resident for one copy ({:.2} resident bytes a packed byte, measured in a process of its own). A snapshot of it takes {:.0} ms of processor time in one step. Tombstones of the day's jobs are not counted.\n", peak.jobs, peak.bytes / 1e6, peak.memory / 1e6, peak.memory / peak.bytes.max(1.0), peak.pack_ns / 1e6)
}

/// The reference's time in the quietest run: processor time is fitted as the ratio to the reference of the same run.
fn quietest_reference(runs: &[Run]) -> f64 {
    let references = runs.iter().map(|run| run.reference);
    references.fold(f64::MAX, f64::min)
}

/// Fits of all figures of a role, in the order of `FIGURES`.
fn fits(runs: &[Run], role: Role) -> Option<Vec<Fit>> {
    let mut points = Vec::new();
    let mut tallies: Vec<(&Run, &Tally)> = Vec::new();
    for run in runs {
        let Some(of_role) = run.roles.get(&role) else {
            continue;
        };
        let size = &run.size;
        points.push(terms(
            role,
            size.workers as f64,
            size.nodes as f64,
            run.starts,
        ));
        tallies.push((run, &of_role.tally));
    }
    if tallies.is_empty() {
        return None;
    }
    let quietest = quietest_reference(runs);
    let mut fits = Vec::new();
    for (name, figure) in FIGURES {
        let is_paired = name.starts_with("processor");
        let measured = tallies.iter().map(|(run, tally)| {
            let paired = if is_paired {
                quietest / run.reference
            } else {
                1.0
            };
            figure(tally) * paired
        });
        fits.push(fit(&points, &measured.collect::<Vec<f64>>()));
    }
    Some(fits)
}

fn slopes(all: &[(Role, Vec<Fit>)], target: &Target) -> String {
    let mut out = String::from("\n### Slopes and what they predict\n\nLeast squares of the relative errors, slopes not below 0; processor time as the ratio to the reference of the same run, shown at the reference's time in the quietest one. Residual: root of the mean square of the relative errors. Left out: the relative error at the largest size when the fit doesn't know it. At the target: 600 workers, 602 nodes, 270 starts/s.\n\n");
    out += &head(&[
        "role",
        "figure",
        "slopes",
        "residual, %",
        "left out, %",
        "at the target",
    ]);
    for (role, fits) in all {
        let at_target = terms(*role, target.workers, target.nodes, target.starts);
        for ((name, _), fit) in FIGURES.iter().zip(fits) {
            // Where fakes call is drawn at random, not decided by the product.
            if fit.slopes.iter().all(|slope| *slope == 0.0) || name.starts_with("calls") {
                continue;
            }
            let terms = fit.slopes.iter().zip(term_names(*role));
            let terms = terms.filter(|(slope, _)| **slope > 0.0);
            let parts: Vec<String> = terms
                .map(|(slope, term)| format!("{} {term}", short(*slope)))
                .collect();
            out += &row(&[
                role.name().to_string(),
                (*name).to_string(),
                parts.join(" + "),
                format!("{:.1}", 100.0 * fit.residual),
                format!("{:+.1}", 100.0 * fit.missed),
                short(fit.at(&at_target)),
            ]);
        }
    }
    out
}

fn against_bounds(all: &[(Role, Vec<Fit>)], peak: &Peak, target: &Target) -> String {
    let mut out = String::from("\n### Against the bounds\n\nBytes in and out together; `step`, `pack` and `unpack` together, without sockets, disk and HTTP; memory of one copy of the state alone.\n\n");
    out += &head(&["role", "4.1 % of a core", "", "6 KB/s", "", "256 MB", ""]);
    for (role, fits) in all {
        let at_target = terms(*role, target.workers, target.nodes, target.starts);
        let sum_of = |prefix: &str, suffix: &str| -> f64 {
            let figures = FIGURES.iter().zip(fits);
            let figures =
                figures.filter(|((name, _), _)| name.starts_with(prefix) && name.ends_with(suffix));
            figures.map(|(_, fit)| fit.at(&at_target)).sum()
        };
        let percent = sum_of("processor", "µs a second") / MICROSECONDS_PER_PERCENT;
        let bytes = sum_of("bytes", "a second");
        out += &row(&[
            role.name().to_string(),
            format!("{percent:.2} %"),
            verdict(percent <= target.core_percent).into(),
            format!("{:.1} KB/s", bytes / 1000.0),
            verdict(bytes <= target.bytes).into(),
            format!("{:.0} MB", peak.memory / 1e6),
            verdict(peak.memory <= target.memory).into(),
        ]);
    }
    out
}

/// All tables, as Markdown; how many bytes a packed byte takes in memory is measured elsewhere.
pub fn report(runs: &[Run], memory_of_a_byte: f64) -> String {
    let peak = peak(runs, &TARGET, memory_of_a_byte);
    let roles = Role::ALL.iter();
    let all: Vec<(Role, Vec<Fit>)> = roles
        .filter_map(|role| fits(runs, *role).map(|fits| (*role, fits)))
        .collect();
    measured(runs)
        + &a_start(runs)
        + &state(runs, &peak)
        + &slopes(&all, &TARGET)
        + &against_bounds(&all, &peak, &TARGET)
}
