use super::calls::Calls;
use super::control::{Clock, Control, Input};
use super::disks::Disk;
use super::signals::{self, Ended, Watch};
use super::traffic::{Bounded, Frames, Manner, Traffic};
use super::{logs, threads};
use crate::agreement::Core;
use crate::disk::Folder;
use crate::kernel::roles::Role;
use crate::kernel::{digest, Now, Part};
use crate::node::Node;
use crate::settings::{from_words, Settings, FLAGS};
use std::ffi::OsString;
use std::path::Path;
use std::sync::mpsc::channel;
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
        (Box::new(part), Some(Disk::start(folder, tx.clone())?))
    } else {
        (Box::new(Node::new(s.clone(), now, seed)), None)
    };
    let traffic = Traffic::start()?;
    let transport = traffic.listen(frames(&s), tx.clone())?;
    let calls = Calls::default();
    let addr = s
        .http
        .parse()
        .map_err(|_| format!("'{}' is no address: correct --http", s.http))?;
    traffic.http(
        addr,
        bounded(&s),
        Manner::default(),
        calls.clone(),
        tx.clone(),
    )?;
    let mut signals = signals::take()?;
    log::info!("{role} {} in zone {}, HTTP at {}", s.listen, s.zone, s.http);
    let control = Control {
        part,
        clock,
        transport,
        disk,
        calls,
        tick: Duration::from_millis(s.bounds.tick()),
    };
    let ended = Ended(signals.handle());
    let control = threads::spawn("control", threads::CONTROL, move || {
        let _ended = ended;
        control.run(&rx);
    })?;
    let watch = Watch {
        core: role == "core",
        current: s,
        words,
        inputs: tx,
        logger,
    };
    watch.run(&mut signals);
    control
        .join()
        .map_err(|_| "the control thread panicked: start the process again".to_string())?;
    // The last frames and verdicts get a moment to leave.
    std::thread::sleep(Duration::from_millis(100));
    Ok(0)
}

fn frames(s: &Settings) -> Frames {
    Frames {
        cluster: s.cluster.clone(),
        me: s.listen.clone(),
        patience: Duration::from_millis(s.bounds.election()),
        longest: Frames::longest(&s.limits),
    }
}

/// A part turns away calls beyond its limit itself; as many places again are for the beats and probes it always takes.
fn bounded(s: &Settings) -> Bounded {
    Bounded {
        patience: Duration::from_millis(s.bounds.state_ms),
        bytes: s.limits.job_bytes.max(s.limits.desired_bytes) + 1024,
        calls: s.limits.calls.saturating_mul(2),
    }
}
