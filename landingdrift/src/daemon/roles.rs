//! The commands that run a replica, a node or a worker proxy as a process of its own.

use super::error::ProcessError;
use super::process::Process;
use super::traffic::{HttpAdapter, HttpLimits};
use crate::node::Node;
use crate::sans_io::roles::Role;
use crate::settings::{from_arguments, Settings, FLAGS};
use crate::worker_proxy::WorkerProxy;
use std::ffi::OsString;
use std::time::Duration;

/// The role of a process that runs a replica.
const CORE: &str = "core";
/// The role of a process that runs a node.
const NODE: &str = "node";

/// The role of a process that runs a worker proxy.
const PROXY: &str = "proxy";

inventory::submit! { Role { name: CORE, summary: "keeps the record on disk, with two others", run: run_replica } }
inventory::submit! { Role { name: NODE, summary: "serves callers, workers and operators; places jobs", run: run_node } }
inventory::submit! { Role { name: PROXY, summary: "beside a worker: passes its calls to the node of its zone", run: run_worker_proxy } }

fn run_replica(arguments: Vec<OsString>) -> i32 {
    run(CORE, arguments)
}

fn run_node(arguments: Vec<OsString>) -> i32 {
    run(NODE, arguments)
}

fn run_worker_proxy(arguments: Vec<OsString>) -> i32 {
    run(PROXY, arguments)
}

fn usage(role: &str) {
    crate::outln!("landingdrift {role} [flags]\n\nFlags win over the settings file.\n");
    for (flag, help) in FLAGS {
        // Only a replica has a data folder.
        if role == CORE || *flag != "data" {
            crate::outln!("  --{flag} {help}");
        }
    }
    crate::outln!("  --check  check the settings and end\n  --help");
}

fn run(role: &'static str, arguments: Vec<OsString>) -> i32 {
    let is_replica = role == CORE;
    let parsed = match from_arguments(arguments.clone(), is_replica) {
        Ok(parsed) => parsed,
        Err(why) => {
            eprintln!("landingdrift {role}: {why}");
            return 2;
        }
    };
    if parsed.help {
        usage(role);
        return 0;
    }
    if parsed.check_only {
        crate::outln!("settings are right");
        return 0;
    }
    start(role, parsed.settings, arguments).unwrap_or_else(|why| {
        eprintln!("landingdrift {role}: {why}");
        1
    })
}

fn start(
    role: &'static str,
    settings: Settings,
    arguments: Vec<OsString>,
) -> Result<i32, ProcessError> {
    let is_replica = role == CORE;
    let mut process = Process::start(&settings.log)?;
    let (seed, now) = (process.seed(&settings.listen), process.now());
    let part = match role {
        CORE => process.replica(&settings)?,
        PROXY => {
            let proxy = WorkerProxy::new(settings.clone(), seed);
            process.part(Box::new(proxy), &settings)?
        }
        _ => {
            let node = Node::new(settings.clone(), now, seed);
            process.part(Box::new(node), &settings)?
        }
    };
    let addr = settings
        .http
        .parse()
        .map_err(|_| ProcessError::NoAddress(settings.http.clone()))?;
    process.http(addr, limits(&settings), HttpAdapter::default(), &part)?;
    log::info!(
        "{role} {} serves HTTP at {}",
        settings.listen,
        settings.http
    );
    let reread = || {
        from_arguments(arguments.clone(), is_replica)
            .map(|parsed| vec![parsed.settings])
            .map_err(|why| why.to_string())
    };
    process.run(&reread).map(|()| 0)
}

/// How many HTTP calls are served at once, as a multiple of the limit that the part itself applies: the rest is for the
/// heartbeats and probes that it always takes.
const HTTP_CALLS_FACTOR: u64 = 2;
/// What a body may have beside a job or a configuration, in bytes.
const BODY_OVERHEAD: u64 = 1024;

fn limits(settings: &Settings) -> HttpLimits {
    HttpLimits {
        timeout: Duration::from_millis(settings.bounds.state_ms),
        body_bytes: settings.limits.job_bytes.max(settings.limits.config_bytes) + BODY_OVERHEAD,
        calls: settings.limits.calls.saturating_mul(HTTP_CALLS_FACTOR),
    }
}
