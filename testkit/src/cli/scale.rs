use super::capacity::{commit, list};
use super::Arguments;
use crate::fleet::program;
use crate::measure::capacity::TARGET;
use crate::scale::{run as drive, Options, Outcome};
use hdrhistogram::Histogram;
use std::path::PathBuf;

/// The most hollow nodes: each has an address and some threads of this process.
const NODES: u64 = 200;

fn quantiles(h: &Histogram<u64>) -> String {
    let at = |q| h.value_at_quantile(q);
    format!("{} / {} / {} / {}", at(0.5), at(0.95), at(0.99), h.max())
}

fn rows(o: &Options, out: &Outcome) {
    landingdrift::outln!(
        "| {} | {} | {:.0} | {:.1} | {} | {} | {} | {} | {} / {} | {} |",
        o.workers,
        o.nodes,
        o.starts,
        out.starts,
        out.running,
        out.jobs,
        quantiles(&out.first),
        quantiles(&out.each),
        out.lag.1,
        out.lag.0,
        out.dropped
    );
}

pub fn run(w: &Arguments) -> Result<bool, String> {
    let sizes = list(w, "100,300,600", 1000)?;
    (sizes.len() <= 20)
        .then_some(())
        .ok_or("--sizes: give at most 20 sizes at once")?;
    let limits = |name: &str, or: u64, least: u64, most: u64| {
        let n = w.number(name, or)?;
        (least..=most)
            .contains(&n)
            .then_some(n)
            .ok_or_else(|| format!("--{name}: give {least} to {most}"))
    };
    let nodes = limits("nodes", 24, 1, NODES)? as usize;
    let seconds = limits("seconds", 75, 6, 600)?;
    let starts = limits("starts", 0, 0, 2000)? as f64;
    let seed = w.number("seed", 1)?;
    let folder = w.text("folder").map_or_else(
        || std::env::temp_dir().join(format!("landingdrift-scale-{}", std::process::id())),
        PathBuf::from,
    );
    let own = w.text("folder").is_none();
    landingdrift::outln!(
        "    testkit scale --sizes {} --nodes {nodes} --starts {starts} --seconds {seconds} --seed {seed}\n\nCheckout at {}; wall clock of this machine, last two thirds of each run.\n",
        sizes.iter().map(ToString::to_string).collect::<Vec<_>>().join(","),
        commit()
    );
    let runs = sizes
        .iter()
        .enumerate()
        .map(|(log_index, workers)| {
            let o = Options {
                workers: *workers,
                nodes,
                log_index,
                starts: if starts > 0.0 {
                    starts
                } else {
                    TARGET.starts / TARGET.workers * *workers as f64
                },
                seconds,
                program: w.text("program").map_or_else(program, PathBuf::from),
                folder: folder.join(workers.to_string()),
                seed,
            };
            eprintln!("{workers} workers, {:.0} starts a second wanted", o.starts);
            let out = drive(&o)
                .map_err(|e| format!("the scale run of {workers} workers could not be made: {e}"));
            out.map(|out| (o, out))
        })
        .collect::<Vec<_>>();
    landingdrift::outln!("| workers | hollow nodes | starts/s wanted | starts/s reached | running at the end | jobs accepted | hand-in to first start of a job, ms (p50 / p95 / p99 / most) | hand-in to each start, ms | round of the hollow process, ms (p50 / most) | frames it dropped |");
    landingdrift::outln!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let done = || runs.iter().filter_map(|r| r.as_ref().ok());
    done().for_each(|(o, out)| rows(o, out));
    landingdrift::outln!("\n| workers | process | resident, MB | at the most, MB | of a core, % |");
    landingdrift::outln!("| --- | --- | --- | --- | --- |");
    done().for_each(|(o, out)| {
        out.taken.iter().for_each(|t| {
            landingdrift::outln!(
                "| {} | {} | {:.0} | {:.0} | {:.1} |",
                o.workers,
                t.name,
                t.resident as f64 / 1e6,
                t.most as f64 / 1e6,
                t.core_percent
            );
        });
    });
    if own {
        let _ = std::fs::remove_dir_all(&folder);
    }
    runs.into_iter()
        .try_for_each(|r| r.map(|_| ()))
        .map(|()| true)
}
