//! The report on capacity, as Markdown.

use super::fit::{fit, Fit};
use super::footprint::State;
use super::load::TASKS;
use super::meter::Tally;
use super::metered_day::{Role, Run};
use super::target::{Target, TARGET};
use landingdrift::settings::Settings;

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
fn terms(d: Role, workers: f64, nodes: f64, starts: f64) -> Vec<f64> {
    if d.is_replica() {
        vec![1.0, workers, nodes, starts, nodes * starts]
    } else {
        vec![1.0, workers, workers / nodes, starts, workers * starts]
    }
}

fn term_names(d: Role) -> [&'static str; 5] {
    if d.is_replica() {
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
fn short(x: f64) -> String {
    let a = x.abs();
    if a == 0.0 {
        "0".into()
    } else if a >= 100.0 {
        format!("{x:.0}")
    } else if a >= 1.0 {
        format!("{x:.1}")
    } else {
        format!("{x:.2e}")
    }
}

fn row(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}

fn head(cells: &[&str]) -> String {
    let rule: Vec<String> = cells.iter().map(|_| "---".to_string()).collect();
    row(&cells.iter().map(|c| (*c).to_string()).collect::<Vec<_>>()) + &row(&rule)
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
    for r in runs {
        for (d, role) in &r.roles {
            let t = &role.tally;
            let cells = [
                format!("{}, {}", r.size.workers, r.size.nodes),
                format!("{:.1}", r.starts),
                d.name().to_string(),
                role.processes.to_string(),
            ];
            let figures = FIGURES.iter().map(|(_, f)| short(f(t)));
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
    for r in runs {
        for (d, role) in &r.roles {
            let t = role.tally.per(r.starts.max(1e-9));
            out += &row(&[
                format!("{}, {}", r.size.workers, r.size.nodes),
                format!("{:.1}", r.starts),
                d.name().to_string(),
                short(t.messages_in),
                short(t.messages_out),
                short(t.bytes_in),
                short(t.bytes_out),
                short(t.log_bytes),
                short(t.step / 1000.0),
                short(t.step / r.reference),
                short(r.reference / 1000.0),
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
fn parts(s: &State) -> [f64; 4] {
    [
        s.of_workers / s.workers.max(1.0),
        s.of_jobs / s.tasks.max(1.0),
        s.of_running / s.running.max(1.0),
        s.bytes - s.of_workers - s.of_jobs - s.of_running,
    ]
}

fn peak(runs: &[Run], t: &Target, memory_of_a_byte: f64) -> Peak {
    let kept = Settings::default().limits.retain_ms as f64 / 1000.0 + t.running / t.starts;
    let jobs = (t.starts / TASKS as f64 * kept).min(t.jobs_a_day);
    let sum = |f: fn(&Run) -> f64| runs.iter().map(f).sum::<f64>();
    // By the largest run; all of them are shown.
    let bytes = runs.last().map_or(0.0, |r| {
        let [worker, task, running, fixed] = parts(&r.state);
        fixed + worker * t.workers + task * jobs * TASKS as f64 + running * t.running
    });
    let pack = sum(|r| r.state.pack / r.reference) / sum(|r| r.state.bytes).max(1.0);
    Peak {
        jobs,
        bytes,
        memory: bytes * memory_of_a_byte,
        pack_ns: bytes * pack * quietest_reference(runs),
    }
}

fn state(runs: &[Run], s: &Peak) -> String {
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
    for r in runs {
        let x = &r.state;
        let [worker, task, running, fixed] = parts(x);
        out += &row(&[
            format!("{}, {}", r.size.workers, r.size.nodes),
            short(x.jobs),
            short(x.tasks),
            short(x.running),
            short(x.bytes / 1000.0),
            short(x.of_jobs / x.jobs.max(1.0)),
            short(task),
            short(worker),
            short(running),
            short(fixed / 1000.0),
        ]);
    }
    out + &format!("\nAt the target {:.0} jobs are kept (peak rate over `limits.retain_ms`, {TASKS} tasks a job): {:.1} MB packed, {:.0} MB resident for one copy ({:.2} resident bytes a packed byte, measured in a process of its own). A snapshot of it takes {:.0} ms of processor time in one step. Tombstones of the day's jobs are not counted.\n", s.jobs, s.bytes / 1e6, s.memory / 1e6, s.memory / s.bytes.max(1.0), s.pack_ns / 1e6)
}

/// The reference's time in the quietest run: processor time is fitted as the ratio to the reference of the same run.
fn quietest_reference(runs: &[Run]) -> f64 {
    runs.iter().map(|r| r.reference).fold(f64::MAX, f64::min)
}

/// Fits of all figures of a role, in the order of `FIGURES`.
fn fits(runs: &[Run], d: Role) -> Option<Vec<Fit>> {
    let of: Vec<(&Run, &Tally)> = runs
        .iter()
        .filter_map(|r| r.roles.get(&d).map(|role| (r, &role.tally)))
        .collect();
    let x: Vec<Vec<f64>> = of
        .iter()
        .map(|(r, _)| terms(d, r.size.workers as f64, r.size.nodes as f64, r.starts))
        .collect();
    let y = |name: &str, f: fn(&Tally) -> f64| -> Vec<f64> {
        let paired = |r: &Run| {
            if name.starts_with("processor") {
                quietest_reference(runs) / r.reference
            } else {
                1.0
            }
        };
        of.iter().map(|(r, t)| f(t) * paired(r)).collect()
    };
    (!of.is_empty()).then(|| {
        FIGURES
            .iter()
            .map(|(name, f)| fit(&x, &y(name, *f)))
            .collect()
    })
}

fn slopes(all: &[(Role, Vec<Fit>)], t: &Target) -> String {
    let mut out = String::from("\n### Slopes and what they predict\n\nLeast squares of the relative errors, slopes not below 0; processor time as the ratio to the reference of the same run, shown at the reference's time in the quietest one. Residual: root of the mean square of the relative errors. Left out: the relative error at the largest size when the fit doesn't know it. At the target: 600 workers, 602 nodes, 270 starts/s.\n\n");
    out += &head(&[
        "role",
        "figure",
        "slopes",
        "residual, %",
        "left out, %",
        "at the target",
    ]);
    for (d, fits) in all {
        let at = terms(*d, t.workers, t.nodes, t.starts);
        for ((name, _), f) in FIGURES.iter().zip(fits) {
            // Where fakes call is drawn at random, not decided by the product.
            if f.slopes.iter().all(|s| *s == 0.0) || name.starts_with("calls") {
                continue;
            }
            let parts: Vec<String> = f
                .slopes
                .iter()
                .zip(term_names(*d))
                .filter(|(s, _)| **s > 0.0)
                .map(|(s, n)| format!("{} {n}", short(*s)))
                .collect();
            out += &row(&[
                d.name().to_string(),
                (*name).to_string(),
                parts.join(" + "),
                format!("{:.1}", 100.0 * f.residual),
                format!("{:+.1}", 100.0 * f.missed),
                short(f.at(&at)),
            ]);
        }
    }
    out
}

fn against_bounds(all: &[(Role, Vec<Fit>)], s: &Peak, t: &Target) -> String {
    let mut out = String::from("\n### Against the bounds\n\nBytes in and out together; `step`, `pack` and `unpack` together, without sockets, disk and HTTP; memory of one copy of the state alone.\n\n");
    out += &head(&["role", "4.1 % of a core", "", "6 KB/s", "", "256 MB", ""]);
    for (d, fits) in all {
        let at = terms(*d, t.workers, t.nodes, t.starts);
        let v: Vec<f64> = fits.iter().map(|f| f.at(&at)).collect();
        let (percent, bytes) = ((v[6] + v[7]) / 1e4, v[2] + v[3]);
        out += &row(&[
            d.name().to_string(),
            format!("{percent:.2} %"),
            verdict(percent <= t.core_percent).into(),
            format!("{:.1} KB/s", bytes / 1000.0),
            verdict(bytes <= t.bytes).into(),
            format!("{:.0} MB", s.memory / 1e6),
            verdict(s.memory <= t.memory).into(),
        ]);
    }
    out
}

/// All tables, as Markdown; how many bytes a packed byte takes in memory is measured elsewhere.
pub fn report(runs: &[Run], memory_of_a_byte: f64) -> String {
    let s = peak(runs, &TARGET, memory_of_a_byte);
    let all: Vec<(Role, Vec<Fit>)> = Role::ALL
        .iter()
        .filter_map(|d| fits(runs, *d).map(|f| (*d, f)))
        .collect();
    measured(runs)
        + &a_start(runs)
        + &state(runs, &s)
        + &slopes(&all, &TARGET)
        + &against_bounds(&all, &s, &TARGET)
}
