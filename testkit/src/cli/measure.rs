use super::Arguments;
use crate::measure::{compare, order_delay, product, workload, Figures, Policy, SPECULATION};
use crate::scenario::Shape;
use landingdrift::settings::Hopper;
use std::sync::Mutex;

fn size(id: &str) -> u64 {
    id.rsplit('-')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Mean over seeds with the smallest and the largest.
fn spread(of: &[f64]) -> String {
    let mean = of.iter().sum::<f64>() / of.len().max(1) as f64;
    let (low, high) = of
        .iter()
        .fold((f64::MAX, 0f64), |(l, h), x| (l.min(*x), h.max(*x)));
    format!("{mean:>6.0} [{low:.0}..{high:.0}]")
}

fn row(name: &str, of: &[Figures], base: &[Figures]) {
    let q = |i: usize, f: &dyn Fn(&str) -> bool| {
        of.iter().map(|x| x.quantiles(f)[i]).collect::<Vec<f64>>()
    };
    let all = |_: &str| true;
    let slowed: Vec<f64> = of
        .iter()
        .zip(base)
        .map(|(x, b)| {
            100.0
                * x.took
                    .iter()
                    .filter(|(k, t)| {
                        b.took
                            .get(*k)
                            .is_some_and(|o| **t as f64 > *o as f64 * 1.05)
                    })
                    .count() as f64
                / x.took.len().max(1) as f64
        })
        .collect();
    let share: Vec<f64> = of
        .iter()
        .map(|x| 100.0 * x.copies as f64 / x.starts.max(1) as f64)
        .collect();
    let won: Vec<f64> = of
        .iter()
        .map(|x| 100.0 * x.copies_won as f64 / x.copies.max(1) as f64)
        .collect();
    landingdrift::outln!(
        "  {name:<22} mean {}  median {}  p95 {}  p99 {}  small {}  large {}  copies% {}  won% {}  slowed% {}",
        spread(&q(0, &all)),
        spread(&q(1, &all)),
        spread(&q(2, &all)),
        spread(&q(3, &all)),
        spread(&q(0, &|k| size(k) <= 3)),
        spread(&q(0, &|k| size(k) > 10)),
        spread(&share),
        spread(&won),
        spread(&slowed)
    );
}

/// The mean of differences over seeds, with its 95 % interval.
fn interval(of: &[f64]) -> String {
    let n = of.len().max(1) as f64;
    let mean = of.iter().sum::<f64>() / n;
    let sd = (of.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0)).sqrt();
    let half = 2.09 * sd / n.sqrt();
    format!("{mean:+.1} % [{:+.1}..{:+.1}]", mean - half, mean + half)
}

/// Against a base with the same arrivals and the same luck of every task: by how much jobs take longer, seed by seed.
fn differences(name: &str, of: &[Figures], base: &[Figures]) {
    let longer = |f: &dyn Fn(&str) -> bool| -> Vec<f64> {
        of.iter()
            .zip(base)
            .map(|(x, b)| 100.0 * (x.quantiles(f)[0] / b.quantiles(f)[0].max(1.0) - 1.0))
            .collect()
    };
    let share = |worse: f64| -> Vec<f64> {
        let slowed = |x: &Figures, b: &Figures| {
            x.took
                .iter()
                .filter(|(k, t)| {
                    b.took
                        .get(*k)
                        .is_some_and(|o| **t as f64 > *o as f64 * worse)
                })
                .count()
        };
        of.iter()
            .zip(base)
            .map(|(x, b)| 100.0 * slowed(x, b) as f64 / x.took.len().max(1) as f64)
            .collect()
    };
    landingdrift::outln!(
        "  {name:<22} against srpt, paired: all {}  small {}  middle {}  large {}  slowed by 5 % {}, by 50 % {}",
        interval(&longer(&|_| true)),
        interval(&longer(&|k| size(k) <= 3)),
        interval(&longer(&|k| (4..=10).contains(&size(k)))),
        interval(&longer(&|k| size(k) > 10)),
        interval(&share(1.05)),
        interval(&share(1.5))
    );
}

pub fn run(w: &Arguments) -> Result<bool, String> {
    let named = w.text("shape").unwrap_or("gunasekera");
    let shape = Shape::from_name(named)
        .ok_or_else(|| format!("no shape is called '{named}': give odvoza or gunasekera"))?;
    let (seeds, seconds) = (w.number("seeds", 5)?, w.number("seconds", 40)?);
    let list = |name: &str, or: &str| -> Result<Vec<f64>, String> {
        w.text(name)
            .unwrap_or(or)
            .split(',')
            .map(|x| {
                x.parse()
                    .map_err(|_| format!("--{name} takes numbers, not '{x}'"))
            })
            .collect()
    };
    let (loads, betas) = (list("load", "0.6,0.8,0.95")?, list("beta", "1.2,1.6")?);
    let delay = order_delay(shape);
    landingdrift::outln!("{named}: {seeds} seeds, {seconds} s of load, order delay of the comparators {delay} ms; milliseconds, mean [least..most] over seeds");
    let mut variants: Vec<(String, Hopper, u32)> =
        vec![("hopper".into(), Hopper::default(), SPECULATION)];
    // One free value at a time, as name=value.
    for v in w
        .text("vary")
        .unwrap_or("")
        .split(',')
        .filter(|v| !v.is_empty())
    {
        let (name, value) = v.split_once('=').ok_or("--vary takes name=value,...")?;
        let n: f64 = value
            .parse()
            .map_err(|_| format!("--vary {name} takes a number, not '{value}'"))?;
        let (mut h, mut speculation) = (Hopper::default(), SPECULATION);
        match name {
            "probe_ratio" => h.probe_ratio = n as u32,
            "refusals" => h.refusals = n as u32,
            "epsilon" => h.epsilon = n,
            "locality" => h.locality = n,
            "slow_factor" => h.slow_factor = n,
            "speculation" => speculation = n as u32,
            other => return Err(format!("no free value is called '{other}'")),
        }
        variants.push((v.into(), h, speculation));
    }
    for u in &loads {
        for b in &betas {
            landingdrift::outln!("utilisation {u}, beta {b}");
            let sets: Vec<_> = (1..=seeds)
                .map(|s| (s, workload(shape, *u, *b, seconds, s)))
                .collect();
            let of = |p: Policy| {
                sets.iter()
                    .map(|(s, l)| compare(shape, l, *s, p, delay))
                    .collect::<Vec<_>>()
            };
            let (fifo, srpt) = (of(Policy::Fifo), of(Policy::SrptBestEffort));
            row("fifo", &fifo, &srpt);
            differences("fifo", &fifo, &srpt);
            row("srpt+best-effort", &srpt, &srpt);
            for (name, h, speculation) in &variants {
                let got: Mutex<Vec<(u64, Figures)>> = Mutex::new(Vec::new());
                std::thread::scope(|scope| {
                    for (s, l) in &sets {
                        let got = &got;
                        scope.spawn(move || {
                            let f = product(shape, l, *s, (h, *speculation));
                            got.lock().iter_mut().for_each(|g| g.push((*s, f.clone())));
                        });
                    }
                });
                let mut got = got.into_inner().unwrap_or_default();
                got.sort_by_key(|(s, _)| *s);
                let figures: Vec<Figures> = got.into_iter().map(|(_, f)| f).collect();
                row(name, &figures, &srpt);
                differences(name, &figures, &srpt);
                let sum = |f: &dyn Fn(&Figures) -> u64| figures.iter().map(f).sum::<u64>() as f64;
                landingdrift::outln!(
                    "  {:<22} {:.1} messages a start, {:.0} bytes of log a job",
                    "",
                    sum(&|f| f.messages) / sum(&|f| f.starts).max(1.0),
                    sum(&|f| f.log_bytes) / sum(&|f| f.took.len() as u64).max(1.0)
                );
            }
        }
    }
    Ok(true)
}
