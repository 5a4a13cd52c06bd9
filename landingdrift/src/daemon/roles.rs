use super::error::ProcessError;
use super::process::Process;
use super::traffic::{HttpAdapter, HttpLimits};
use crate::node::Node;
use crate::sans_io::roles::Role;
use crate::settings::{from_arguments, Settings, FLAGS};
use std::ffi::OsString;
use std::time::Duration;

inventory::submit! { Role { name: "core", summary: "keeps the record on disk, with two others", run: run_core } }
inventory::submit! { Role { name: "node", summary: "serves callers, workers and operators; places jobs", run: run_node } }

fn run_core(arguments: Vec<OsString>) -> i32 {
    run("core", arguments)
}

fn run_node(arguments: Vec<OsString>) -> i32 {
    run("node", arguments)
}

fn usage(role: &str) {
    crate::outln!("landingdrift {role} [flags]\n\nFlags win over the settings file.\n");
    FLAGS
        .iter()
        .filter(|(f, _)| role == "core" || *f != "data")
        .for_each(|(f, what)| crate::outln!("  --{f} {what}"));
    crate::outln!("  --check  check the settings and end\n  --help");
}

fn run(role: &'static str, arguments: Vec<OsString>) -> i32 {
    let replica = role == "core";
    let asked = match from_arguments(arguments.clone(), replica) {
        Ok(a) => a,
        Err(e) => {
            eprintln!("landingdrift {role}: {e}");
            return 2;
        }
    };
    if asked.help {
        usage(role);
        return 0;
    }
    if asked.check_only {
        crate::outln!("settings are right");
        return 0;
    }
    start(role, asked.settings, arguments).unwrap_or_else(|why| {
        eprintln!("landingdrift {role}: {why}");
        1
    })
}

fn start(role: &'static str, s: Settings, arguments: Vec<OsString>) -> Result<i32, ProcessError> {
    let replica = role == "core";
    let mut process = Process::start(&s.log)?;
    let part = if replica {
        process.replica(&s)?
    } else {
        let (seed, now) = (process.seed(&s.listen), process.now());
        process.part(Box::new(Node::new(s.clone(), now, seed)), &s)?
    };
    let addr = s
        .http
        .parse()
        .map_err(|_| ProcessError::NoAddress(s.http.clone()))?;
    process.http(addr, limits(&s), HttpAdapter::default(), &part)?;
    log::info!("{role} {} serves HTTP at {}", s.listen, s.http);
    let reread = || {
        from_arguments(arguments.clone(), replica)
            .map(|asked| vec![asked.settings])
            .map_err(|e| e.to_string())
    };
    process.run(&reread).map(|()| 0)
}

/// A part rejects calls beyond its limit itself; as many places again are for the heartbeats and probes it always takes.
fn limits(s: &Settings) -> HttpLimits {
    HttpLimits {
        patience: Duration::from_millis(s.bounds.state_ms),
        bytes: s.limits.job_bytes.max(s.limits.config_bytes) + 1024,
        calls: s.limits.calls.saturating_mul(2),
    }
}
