//! The command line of the simulation kit.

mod capacity;
mod digest;
mod explore;
mod fleet;
mod measure;
mod run;
mod scale;
mod sweep;

use crate::scenario::{Scenario, Shape};
use std::ffi::OsString;

/// The words of a command: flags with their values, and the rest.
pub(crate) struct Arguments {
    flags: Vec<(String, String)>,
    pub rest: Vec<String>,
}

impl Arguments {
    pub fn text(&self, name: &str) -> Option<&str> {
        self.flags
            .iter()
            .rev()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }
    pub fn has(&self, name: &str) -> bool {
        self.flags.iter().any(|(n, _)| n == name)
    }
    pub fn number(&self, name: &str, or: u64) -> Result<u64, String> {
        self.text(name).map_or(Ok(or), |v| {
            v.parse()
                .map_err(|_| format!("--{name} takes a whole number, not '{v}'"))
        })
    }
}

const HELP: &str = "testkit COMMAND ...

  run FILE [--seed N] [--random N] [--shape S] [--last] [--log] [--history FILE]
                                                 rehearse a scenario in virtual time
  sweep FILE [--from N] [--seeds N] [--random N] [--shape S] [--last] [--threads N]
                                                 rehearse it with many seeds; a failing one is shrunk;
                                                 --last adds a fault straight before the closing reads
  digest FILE [--from N] [--seeds N] [--random N] [--shape S] [--last] [--threads N]
                                                 fingerprints of the days and of walks of the explorer: equal before
                                                 and after a change that changes no behaviour
  explore [--voters N] [--standbys N] [--from N] [--seeds N] [--random N] [--seconds N] [--threads N]
                                                 random walks of the replicas alone, under the model checker
  fleet [--shape odvoza|gunasekera] [--seconds N] [--settle N] [--rate N] [--folder DIR]
        [--program FILE] [--scenario FILE] [--history FILE]
                                                 real processes on this machine; a leader and a node are killed midway
  measure [--shape S] [--seeds N] [--seconds N] [--load U,..] [--beta B,..] [--vary NAME=VALUE,..]
                                                 admission against FIFO and SRPT with best-effort copies
  capacity [--sizes N,N,N] [--warm SECONDS] [--seconds N] [--seed N]
                                                 what each role costs in virtual time, and at the users' target;
                                                 with --record FILE: bytes of memory a byte of a packed record
  scale [--sizes N,..] [--nodes N] [--starts N] [--seconds N] [--seed N] [--folder DIR] [--program FILE]
                                                 real cores and nodes beside hollow workers and nodes, on this machine

Exit codes: 0 no rule was broken, 1 a rule was broken, 2 wrong command line.";

fn read(arguments: Vec<OsString>) -> Result<Arguments, String> {
    let bad = |e: lexopt::Error| e.to_string();
    let mut p = lexopt::Parser::from_args(arguments);
    let mut w = Arguments {
        flags: Vec::new(),
        rest: Vec::new(),
    };
    let plain = ["log", "help", "last"];
    let valued = [
        "seed", "history", "from", "seeds", "random", "threads", "shape", "seconds", "settle",
        "rate", "folder", "program", "scenario", "out", "load", "beta", "vary", "sizes", "warm",
        "nodes", "starts", "record", "voters", "standbys",
    ];
    while let Some(arg) = p.next().map_err(bad)? {
        match arg {
            lexopt::Arg::Long(n) if plain.contains(&n) => {
                w.flags.push((n.to_string(), String::new()))
            }
            lexopt::Arg::Short('h') => w.flags.push(("help".into(), String::new())),
            lexopt::Arg::Long(n) if valued.contains(&n) => {
                let n = n.to_string();
                let v = p
                    .value()
                    .map_err(bad)?
                    .into_string()
                    .map_err(|_| format!("--{n} takes text in UTF-8"))?;
                w.flags.push((n, v));
            }
            lexopt::Arg::Value(v) => w.rest.push(
                v.into_string()
                    .map_err(|_| "arguments are text in UTF-8".to_string())?,
            ),
            other => return Err(other.unexpected().to_string()),
        }
    }
    Ok(w)
}

/// A scenario file, with what the command line says otherwise.
pub(crate) fn scenario(w: &Arguments, file: &str) -> Result<Scenario, String> {
    let mut s = Scenario::load(file).map_err(|e| e.to_string())?;
    s.random = w.number("random", s.random as u64)? as usize;
    s.last |= w.has("last");
    if let Some(named) = w.text("shape") {
        s.shape = Shape::named(named)
            .ok_or_else(|| format!("no shape is called '{named}': give odvoza or gunasekera"))?;
    }
    s.check().map(|()| s)
}

/// Runs a command; the result is the exit code.
pub fn run(arguments: Vec<OsString>) -> i32 {
    let done = read(arguments).and_then(|w| {
        if w.has("help") {
            landingdrift::outln!("{HELP}");
            return Ok(true);
        }
        match w.rest.first().map(String::as_str) {
            Some("run") => run::run(&w),
            Some("sweep") => sweep::run(&w),
            Some("digest") => digest::run(&w),
            Some("explore") => explore::run(&w),
            Some("fleet") => fleet::run(&w),
            Some("measure") => measure::run(&w),
            Some("capacity") => capacity::run(&w),
            Some("scale") => scale::run(&w),
            Some(other) => Err(format!("no command is called '{other}'")),
            None => Err("no command was given".into()),
        }
    });
    match done {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(why) => {
            eprintln!("testkit: {why}\n\n{HELP}");
            2
        }
    }
}

pub(crate) fn quantiles(of: &[u64]) -> String {
    let mut s = of.to_vec();
    s.sort_unstable();
    let at = |q: f64| {
        s.get(((s.len().saturating_sub(1)) as f64 * q) as usize)
            .copied()
            .unwrap_or(0)
    };
    let mean = s
        .iter()
        .sum::<u64>()
        .checked_div(s.len() as u64)
        .unwrap_or(0);
    format!(
        "{} done: mean {mean} ms, median {} ms, p95 {} ms, p99 {} ms",
        s.len(),
        at(0.5),
        at(0.95),
        at(0.99)
    )
}
