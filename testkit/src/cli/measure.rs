//! `testkit measure`: the product's admission against FIFO and SRPT with best-effort copies, over many seeds.

use super::{for_each_seed, shape, Arguments};
use crate::measure::{
    compare, order_delay_ms, product, workload, Figures, FreeValues, LatencyStatistics, Load,
    Policy,
};
use crate::scenario::Shape;

/// A small job has at most so many tasks.
const SMALL: u64 = 3;
/// A large job has more tasks than this.
const LARGE: u64 = 10;
/// A job counts as slowed that takes so many times as long as under the base.
const SLOWED: f64 = 1.05;
/// A job counts as slowed much that takes so many times as long as under the base.
const SLOWED_MUCH: f64 = 1.5;
/// Student's t for a 95 % interval of about 20 seeds.
const STUDENT_T: f64 = 2.09;

/// The tasks of a job of a workload, which are the end of its id.
fn size(id: &str) -> u64 {
    let number = id.rsplit('-').next().and_then(|number| number.parse().ok());
    number.unwrap_or(0)
}

fn any(_: &str) -> bool {
    true
}

fn is_small(id: &str) -> bool {
    size(id) <= SMALL
}

fn is_middle(id: &str) -> bool {
    !is_small(id) && !is_large(id)
}

fn is_large(id: &str) -> bool {
    size(id) > LARGE
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The mean over seeds with the smallest and the largest.
fn spread(values: &[f64]) -> String {
    let least = values.iter().copied().fold(f64::MAX, f64::min);
    let most = values.iter().copied().fold(0.0, f64::max);
    format!("{:>6.0} [{least:.0}..{most:.0}]", mean(values))
}

/// The mean of differences over seeds, with its 95 % interval.
fn interval(values: &[f64]) -> String {
    let count = values.len().max(1) as f64;
    let mean = mean(values);
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let deviation = (squares / (count - 1.0).max(1.0)).sqrt();
    let half = STUDENT_T * deviation / count.sqrt();
    format!("{mean:+.1} % [{:+.1}..{:+.1}]", mean - half, mean + half)
}

/// The percentage of jobs that took so many times as long as under the base.
fn slowed_percent(figures: &Figures, base: &Figures, times: f64) -> f64 {
    let is_slowed = |id: &String, latency_ms: u64| {
        let base_ms = base.latency_of_job_ms.get(id);
        base_ms.is_some_and(|base_ms| latency_ms as f64 > *base_ms as f64 * times)
    };
    let jobs = &figures.latency_of_job_ms;
    let slowed = jobs.iter().filter(|(id, ms)| is_slowed(id, **ms)).count();
    100.0 * slowed as f64 / jobs.len().max(1) as f64
}

/// A figure of each seed, with its base.
fn paired(
    figures: &[Figures],
    base: &[Figures],
    value: impl Fn(&Figures, &Figures) -> f64,
) -> Vec<f64> {
    let pairs = figures.iter().zip(base);
    pairs.map(|(figures, base)| value(figures, base)).collect()
}

/// A line with the figures of a policy, by seed.
fn print_row(name: &str, figures: &[Figures], base: &[Figures]) {
    let latency = |is_included: fn(&str) -> bool, value: fn(&LatencyStatistics) -> f64| {
        let values = figures.iter().map(|f| value(&f.latencies(is_included)));
        spread(&values.collect::<Vec<f64>>())
    };
    let percent = |part: fn(&Figures) -> u64, whole: fn(&Figures) -> u64| {
        let values = figures.iter();
        let values = values.map(|f| 100.0 * part(f) as f64 / whole(f).max(1) as f64);
        spread(&values.collect::<Vec<f64>>())
    };
    let slowed = paired(figures, base, |f, base| slowed_percent(f, base, SLOWED));
    landingdrift::outln!(
        "  {name:<22} mean {}  median {}  p95 {}  p99 {}  small {}  large {}  copies% {}  won% {}  slowed% {}",
        latency(any, |l| l.mean_ms),
        latency(any, |l| l.median_ms),
        latency(any, |l| l.p95_ms),
        latency(any, |l| l.p99_ms),
        latency(is_small, |l| l.mean_ms),
        latency(is_large, |l| l.mean_ms),
        percent(|f| f.copies, |f| f.starts),
        percent(|f| f.copies_won, |f| f.copies),
        spread(&slowed)
    );
}

/// A line with how much longer jobs take than under a base with the same arrivals and the same random durations, seed
/// by seed.
fn print_differences(name: &str, figures: &[Figures], base: &[Figures]) {
    let longer = |is_included: fn(&str) -> bool| {
        interval(&paired(figures, base, |figures, base| {
            let mean_ms = figures.latencies(is_included).mean_ms;
            let base_ms = base.latencies(is_included).mean_ms.max(1.0);
            100.0 * (mean_ms / base_ms - 1.0)
        }))
    };
    let slowed = |times: f64| {
        interval(&paired(figures, base, |f, base| {
            slowed_percent(f, base, times)
        }))
    };
    landingdrift::outln!(
        "  {name:<22} against srpt, paired: all {}  small {}  middle {}  large {}  slowed by 5 % {}, by 50 % {}",
        longer(any),
        longer(is_small),
        longer(is_middle),
        longer(is_large),
        slowed(SLOWED),
        slowed(SLOWED_MUCH)
    );
}

/// The numbers of a list that a flag gives.
fn numbers(arguments: &Arguments, name: &str, default: &str) -> Result<Vec<f64>, String> {
    let texts = arguments.text(name).unwrap_or(default).split(',');
    let parse = |text: &str| {
        let number = text.parse();
        number.map_err(|_| format!("--{name} takes numbers, not '{text}'"))
    };
    texts.map(parse).collect()
}

/// The product with some of its free values.
struct Variant {
    name: String,
    values: FreeValues,
}

/// The product as it is, and with one free value at a time changed to what `--vary` says.
fn variants(arguments: &Arguments) -> Result<Vec<Variant>, String> {
    let mut variants = vec![Variant {
        name: "hopper".into(),
        values: FreeValues::default(),
    }];
    let changes = arguments.text("vary").unwrap_or("").split(',');
    for change in changes.filter(|change| !change.is_empty()) {
        let (name, value) = change
            .split_once('=')
            .ok_or("--vary takes name=value,...")?;
        let number: f64 = value
            .parse()
            .map_err(|_| format!("--vary {name} takes a number, not '{value}'"))?;
        let mut values = FreeValues::default();
        match name {
            "probe_ratio" => values.hopper.probe_ratio = number as u32,
            "refusals" => values.hopper.refusals = number as u32,
            "epsilon" => values.hopper.epsilon = number,
            "locality" => values.hopper.locality = number,
            "slow_factor" => values.hopper.slow_factor = number,
            "speculation" => values.speculation_percent = number as u32,
            other => return Err(format!("no free value is called '{other}'")),
        }
        variants.push(Variant {
            name: change.into(),
            values,
        });
    }
    Ok(variants)
}

/// What all loads of a command have in common.
struct Comparison {
    shape: Shape,
    seeds: u64,
    seconds: u64,
    delay_ms: u64,
    variants: Vec<Variant>,
}

impl Comparison {
    /// Prints the figures of all policies under loads of a utilisation and a Pareto shape.
    fn print(&self, utilisation: f64, beta: f64) -> Result<(), String> {
        landingdrift::outln!("utilisation {utilisation}, beta {beta}");
        let load = |seed| workload(self.shape, utilisation, beta, self.seconds, seed);
        let loads: Vec<Load> = (1..=self.seeds).map(load).collect();
        let compared = |policy: Policy| -> Vec<Figures> {
            let seeded = (1..).zip(&loads);
            seeded
                .map(|(seed, load)| compare(self.shape, load, seed, policy, self.delay_ms))
                .collect()
        };
        let fifo = compared(Policy::Fifo);
        let srpt = compared(Policy::SrptBestEffort);
        print_row("fifo", &fifo, &srpt);
        print_differences("fifo", &fifo, &srpt);
        print_row("srpt+best-effort", &srpt, &srpt);
        for Variant { name, values } in &self.variants {
            // All seeds at once.
            let figures = for_each_seed(1..self.seeds + 1, self.seeds, |seed| {
                let load = &loads[(seed - 1) as usize];
                product(self.shape, load, seed, values)
            })?;
            print_row(name, &figures, &srpt);
            print_differences(name, &figures, &srpt);
            print_costs(&figures);
        }
        Ok(())
    }
}

/// A line with what the product's messages and log cost.
fn print_costs(figures: &[Figures]) {
    let sum = |value: fn(&Figures) -> u64| figures.iter().map(value).sum::<u64>() as f64;
    let jobs = sum(|f| f.latency_of_job_ms.len() as u64);
    landingdrift::outln!(
        "  {:<22} {:.1} messages a start, {:.0} bytes of log a job",
        "",
        sum(|f| f.messages) / sum(|f| f.starts).max(1.0),
        sum(|f| f.log_bytes) / jobs.max(1.0)
    );
}

/// Prints the figures of all policies under all loads.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    let shape = shape(arguments)?;
    let seeds = arguments.number("seeds", 5)?;
    let seconds = arguments.number("seconds", 40)?;
    let utilisations = numbers(arguments, "load", "0.6,0.8,0.95")?;
    let betas = numbers(arguments, "beta", "1.2,1.6")?;
    let delay_ms = order_delay_ms(shape);
    landingdrift::outln!("{}: {seeds} seeds, {seconds} s of load, order delay of the comparators {delay_ms} ms; milliseconds, mean [least..most] over seeds", shape.name());
    let comparison = Comparison {
        shape,
        seeds,
        seconds,
        delay_ms,
        variants: variants(arguments)?,
    };
    for utilisation in &utilisations {
        for beta in &betas {
            comparison.print(*utilisation, *beta)?;
        }
    }
    Ok(true)
}
