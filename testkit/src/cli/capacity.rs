use super::Arguments;
use crate::measure::capacity::{memory_of_a_byte, report, sizes, Clockwork, Run};
use std::process::Command;

/// The commit that the figures belong to, where git knows it.
pub(super) fn commit() -> String {
    let git = |arguments: &[&str]| {
        Command::new("git")
            .args(arguments)
            .output()
            .ok()
            .filter(|o| o.status.success())
            .map(|o| String::from_utf8_lossy(&o.stdout).trim().to_string())
    };
    let changed = git(&["status", "--porcelain", "--", "landingdrift", "testkit/src"])
        .is_some_and(|s| !s.is_empty());
    git(&["rev-parse", "--short", "HEAD"]).map_or("unknown".into(), |c| {
        c + if changed { " with changes" } else { "" }
    })
}

/// Sizes from a list of numbers.
pub(super) fn worker_counts(w: &Arguments, or: &str, most: usize) -> Result<Vec<usize>, String> {
    w.text("sizes")
        .unwrap_or(or)
        .split(',')
        .map(|x| {
            x.parse()
                .ok()
                .filter(|n| (1..=most).contains(n))
                .ok_or_else(|| {
                    format!("--sizes takes numbers of workers from 1 to {most}, not '{x}'")
                })
        })
        .collect()
}

/// Has a new process of this program unpack a cluster state, and say what a packed byte takes in memory.
fn footprint(runs: &[Run]) -> Result<f64, String> {
    let file = std::env::temp_dir().join(format!("landingdrift-record-{}", std::process::id()));
    let defect = |e: std::io::Error| {
        format!(
            "a record can't be weighed ({e}): see that {} can be written",
            file.display()
        )
    };
    let packed = runs.last().map_or(&[][..], |r| &r.packed_state);
    std::fs::write(&file, packed).map_err(defect)?;
    let out = std::env::current_exe().and_then(|exe| {
        Command::new(exe)
            .args(["capacity", "--record"])
            .arg(&file)
            .output()
    });
    let _ = std::fs::remove_file(&file);
    let told = out.map_err(defect)?.stdout;
    String::from_utf8_lossy(&told)
        .trim()
        .parse()
        .map_err(|_| "the record could not be unpacked: run the command again".into())
}

pub fn run(w: &Arguments) -> Result<bool, String> {
    if let Some(file) = w.text("record") {
        let packed = std::fs::read(file)
            .map_err(|e| format!("'{file}' can't be read ({e}): name a packed record"))?;
        landingdrift::outln!("{}", memory_of_a_byte(&packed));
        return Ok(true);
    }
    let mut workers = worker_counts(w, "40,80,160", 200)?;
    workers.sort_unstable();
    workers.dedup();
    (workers.len() >= 3)
        .then_some(())
        .ok_or("--sizes: give at least three sizes, so that slopes can be told")?;
    let limits = |name: &str, or: u64| {
        let n = w.number(name, or)?;
        (10..=600)
            .contains(&n)
            .then_some(n)
            .ok_or_else(|| format!("--{name}: give 10 to 600 seconds"))
    };
    let (warm, window, seed) = (
        limits("warm", 75)?,
        limits("seconds", 40)?,
        w.number("seed", 1)?,
    );
    let runs: Vec<_> = sizes(&workers)
        .into_iter()
        .map(|s| {
            eprintln!(
                "{} workers, {} nodes, {:.1} starts a second",
                s.workers, s.nodes, s.starts
            );
            Clockwork::new(s, seed).run(warm, window)
        })
        .collect();
    let named: Vec<String> = workers.iter().map(ToString::to_string).collect();
    landingdrift::outln!(
        "    testkit capacity --sizes {} --warm {warm} --seconds {window} --seed {seed}\n\nCheckout at {}; virtual time, no faults.\n",
        named.join(","),
        commit()
    );
    landingdrift::outln!("{}", report(&runs, footprint(&runs)?));
    Ok(true)
}
