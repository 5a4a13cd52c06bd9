use super::control::{Clock, Control, Input, Waiting};
use super::disks::Disk;
use super::transport::Transport;
use super::{http, logs};
use crate::agreement::Core;
use crate::disk::Folder;
use crate::kernel::roles::Role;
use crate::kernel::{digest, Msg, Now, Part};
use crate::node::Node;
use crate::settings::{from_words, Settings, FLAGS};
use dashmap::DashMap;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::ffi::OsString;
use std::path::Path;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::time::Duration;

inventory::submit! { Role { name: "core", summary: "keeps the record on disk, with two others", run: run_core } }
inventory::submit! { Role { name: "node", summary: "serves callers, workers and operators; places jobs", run: run_node } }

fn run_core(words: Vec<OsString>) -> i32 {
    run("core", words)
}

fn run_node(words: Vec<OsString>) -> i32 {
    run("node", words)
}

fn usage(role: &str) {
    crate::say!("landingdrift {role} [flags]\n\nFlags win over the settings file.\n");
    FLAGS
        .iter()
        .filter(|(f, _)| role == "core" || *f != "data")
        .for_each(|(f, what)| crate::say!("  --{f} {what}"));
    crate::say!("  --check  check the settings and end\n  --help");
}

fn run(role: &'static str, words: Vec<OsString>) -> i32 {
    let core = role == "core";
    let asked = match from_words(words.clone(), core) {
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
        crate::say!("settings are right");
        return 0;
    }
    start(role, asked.settings, words).unwrap_or_else(|why| {
        eprintln!("landingdrift {role}: {why}");
        1
    })
}

fn seed(name: &str, now: Now) -> u64 {
    digest(name.as_bytes()) ^ now.wall ^ (u64::from(std::process::id()) << 40)
}

fn start(role: &'static str, s: Settings, words: Vec<OsString>) -> Result<i32, String> {
    let clock = Clock::start();
    let now = clock.now();
    let logger = logs::start(&s.log);
    let (tx, rx) = channel::<Input>();
    let patience = Duration::from_millis(s.bounds.election());
    let seed = seed(&s.listen, now);
    let (part, disk): (Box<dyn Part>, Option<Disk>) = if role == "core" {
        let (folder, loaded) = Folder::open(
            Path::new(&s.data),
            &s.cluster,
            s.limits.segment_bytes,
            seed | 1,
        )
        .map_err(|e| e.to_string())?;
        let part = Core::new(s.clone(), loaded, now, seed)?;
        (Box::new(part), Some(Disk::start(folder, tx.clone())))
    } else {
        (Box::new(Node::new(s.clone(), now, seed)), None)
    };
    let transport = Transport::start(&s.cluster, &s.listen, patience, tx.clone()).map_err(|e| {
        format!(
            "can't listen at {} ({e}): free the address or name another with --listen",
            s.listen
        )
    })?;
    let waiting: Waiting = Arc::new(DashMap::new());
    let addr = s
        .http
        .parse()
        .map_err(|_| format!("'{}' is no address: correct --http", s.http))?;
    let most = s.limits.job_bytes.max(s.limits.desired_bytes) + 1024;
    http::start(
        addr,
        tx.clone(),
        waiting.clone(),
        Duration::from_millis(s.bounds.state_ms),
        most,
    )
    .map_err(|e| {
        format!("can't serve HTTP at {addr} ({e}): free the address or name another with --http")
    })?;
    signals(role, s.clone(), words, tx, logger)
        .map_err(|e| format!("can't listen for signals ({e})"))?;
    log::info!("{role} {} in zone {}, HTTP at {}", s.listen, s.zone, s.http);
    Control {
        part,
        clock,
        transport,
        disk,
        waiting,
        settings: s,
    }
    .run(&rx);
    // The last frames and verdicts get a moment to leave.
    std::thread::sleep(Duration::from_millis(100));
    Ok(0)
}

fn signals(
    role: &'static str,
    mut current: Settings,
    words: Vec<OsString>,
    tx: Sender<Input>,
    logger: Option<flexi_logger::LoggerHandle>,
) -> std::io::Result<()> {
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if signal != SIGHUP {
                log::info!("asked to stop");
                let _ = tx.send(Input::Msg(Msg::Stop));
                continue;
            }
            match from_words(words.clone(), role == "core") {
                Ok(asked) => {
                    let (live, fixed) = current.take_live(&asked.settings);
                    fixed.iter().for_each(|f| {
                        log::warn!("setting '{f}' can't change while the process runs: restart it")
                    });
                    if live != current {
                        log::info!("settings reread");
                        logger
                            .iter()
                            .for_each(|l| l.set_new_spec(logs::spec(&live.log)));
                        current = live.clone();
                        let _ = tx.send(Input::Msg(Msg::Changed(Box::new(live))));
                    }
                }
                Err(e) => log::error!("settings not reread: {e}"),
            }
        }
    });
    Ok(())
}
