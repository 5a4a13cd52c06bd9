//! The subcommands that run a replica, a node or a worker proxy, each in its own process.

use super::body_limits::{has_large_response, BodyLimits};
use super::error::ProcessError;
use super::process::Process;
use super::settings_file::SettingsSource;
use super::traffic::{ClientLimits, HttpAdapter, HttpLimits};
use crate::node::Node;
use crate::sans_io::roles::Role;
use crate::settings::{from_arguments, ParsedArguments, Settings, FLAGS};
use crate::worker_proxy::WorkerProxy;
use std::ffi::OsString;
use std::time::Duration;

/// The subcommand that runs a replica.
const REPLICA: &str = "core";
/// The subcommand that runs a node.
const NODE: &str = "node";
/// The subcommand that runs a worker proxy.
const WORKER_PROXY: &str = "proxy";

inventory::submit! { Role { name: REPLICA, summary: "keeps the replicated log on disk, with the other cores", run: run_replica } }
inventory::submit! { Role { name: NODE, summary: "serves clients, workers and operators; schedules jobs", run: run_node } }
inventory::submit! { Role { name: WORKER_PROXY, summary: "runs beside a worker and forwards its calls to the node of its zone", run: run_worker_proxy } }

fn run_replica(arguments: Vec<OsString>) -> i32 {
    run(REPLICA, arguments)
}

fn run_node(arguments: Vec<OsString>) -> i32 {
    run(NODE, arguments)
}

fn run_worker_proxy(arguments: Vec<OsString>) -> i32 {
    run(WORKER_PROXY, arguments)
}

fn usage(role: &str) {
    crate::outln!("landingdrift {role} [flags]\n\nFlags override the settings file.\n");
    for (flag, help) in FLAGS {
        // Only a replica has a data folder.
        if role == REPLICA || *flag != "data" {
            crate::outln!("  --{flag} {help}");
        }
    }
    crate::outln!("  --check  check the settings and exit\n  --help  print this help and exit");
}

fn run(role: &'static str, arguments: Vec<OsString>) -> i32 {
    let is_replica = role == REPLICA;
    let parsed = match from_arguments(arguments.clone(), is_replica) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("landingdrift {role}: {error}");
            return 2;
        }
    };
    if parsed.help {
        usage(role);
        return 0;
    }
    if parsed.check_only {
        crate::outln!("settings are valid");
        return 0;
    }
    start(role, parsed, arguments).unwrap_or_else(|error| {
        eprintln!("landingdrift {role}: {error}");
        1
    })
}

fn start(
    role: &'static str,
    parsed: ParsedArguments,
    arguments: Vec<OsString>,
) -> Result<i32, ProcessError> {
    let ParsedArguments { settings, file, .. } = parsed;
    let is_replica = role == REPLICA;
    let mut process = Process::start(&settings.log, ClientLimits::from_settings(&settings.limits))?;
    let (seed, now) = (process.seed(&settings.listen), process.now());
    let part = match role {
        REPLICA => process.start_replica(&settings)?,
        WORKER_PROXY => {
            let proxy = WorkerProxy::new(settings.clone(), seed);
            process.start_part(Box::new(proxy), &settings)?
        }
        _ => {
            let node = Node::new(settings.clone(), now, seed);
            process.start_part(Box::new(node), &settings)?
        }
    };
    let addr = settings
        .http
        .parse()
        .map_err(|_| ProcessError::InvalidAddress(settings.http.clone()))?;
    let limits = http_limits(&settings);
    let body_limits = BodyLimits::from_settings(&settings.limits);
    let http_adapter = HttpAdapter::default()
        .with_body_limit(move |method, path| body_limits.for_request(method, path))
        .with_large_responses(has_large_response);
    process.serve_http(addr, limits, http_adapter, &part)?;
    log::info!(
        "{role} {} is serving HTTP at {}",
        settings.listen,
        settings.http
    );
    let reload = || {
        from_arguments(arguments.clone(), is_replica)
            .map(|parsed| vec![parsed.settings])
            .map_err(|error| error.to_string())
    };
    let source = SettingsSource::new(file, &reload);
    process.run(source).map(|()| 0)
}

/// The limit of concurrent HTTP calls, as a multiple of the limit that the part itself enforces. The margin is for
/// heartbeats and probes, which the part always accepts.
const HTTP_CALLS_FACTOR: u64 = 2;

fn http_limits(settings: &Settings) -> HttpLimits {
    let BodyLimits { job, config } = BodyLimits::from_settings(&settings.limits);
    HttpLimits {
        timeout: Duration::from_millis(settings.bounds.state_ms),
        body_bytes: job.max(config),
        calls: settings.limits.calls.saturating_mul(HTTP_CALLS_FACTOR),
    }
}
