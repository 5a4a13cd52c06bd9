use super::Arguments;
use crate::scenario::{Fault, Scenario};
use crate::simulator::simulate;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Leaves faults out one by one as long as the same rule still breaks.
fn shrink(s: &Scenario, seed: u64, all: Vec<Fault>, rule: &str) -> Vec<Fault> {
    let breaks = |faults: &[Fault]| {
        let t = Scenario {
            faults: faults.to_vec(),
            random: 0,
            last: false,
            ..s.clone()
        };
        simulate(&t, seed).1.iter().any(|b| b.rule == rule)
    };
    if !breaks(&all) {
        return all;
    }
    let mut kept = all;
    let mut i = 0;
    while i < kept.len() {
        let mut fewer = kept.clone();
        fewer.remove(i);
        if breaks(&fewer) {
            kept = fewer;
        } else {
            i += 1;
        }
    }
    kept
}

pub fn run(w: &Arguments) -> Result<bool, String> {
    let file = w.rest.get(1).ok_or("sweep needs a scenario FILE")?;
    let s = super::scenario(w, file)?;
    let (from, number, threads) = (
        w.number("from", 1)?,
        w.number("seeds", 100)?,
        w.number("threads", 8)?.max(1),
    );
    let next = AtomicU64::new(from);
    let bad: Mutex<Vec<u64>> = Mutex::new(Vec::new());
    let margins: Mutex<BTreeMap<&str, u64>> = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from.saturating_add(number) {
                    return;
                }
                let (report, broken) = simulate(&s, seed);
                if let Ok(mut m) = margins.lock() {
                    let sum = &report.summary;
                    let seen = [
                        ("accepted", sum.accepted as u64, true),
                        ("starts", sum.starts as u64, true),
                        ("unsure", sum.unsure as u64, true),
                        ("latest start after a cancel, ms", sum.latest_start_after_cancel_ms, false),
                        ("latest start after leaving, ms", sum.latest_start_after_leaving_ms, false),
                        ("longest outage, ms", sum.longest_outage_ms, false),
                        ("latest start after emptying a zone, ms", sum.latest_start_after_emptying_ms, false),
                        ("latest old version on a ready node, ms", sum.latest_old_version_ms, false),
                        ("longest unknown state of an accepted job, ms", sum.longest_unknown_state_ms, false),
                        ("longest time a gang's member was alone, ms", sum.longest_alone_ms, false),
                        ("longest time a gang's member was alone when a fault struck, ms", sum.longest_alone_struck_ms, false),
                    ];
                    for (k, v, sums) in seen {
                        let e = m.entry(k).or_default();
                        *e = if sums { *e + v } else { (*e).max(v) };
                    }
                }
                if let Some(b) = broken.first() {
                    let kept = shrink(&s, seed, report.faults.clone(), b.rule);
                    let faults: Vec<String> = kept.iter().map(|f| format!("[[faults]]\n{}", toml::to_string(f).unwrap_or_default())).collect();
                    let last = if s.last { " --last" } else { "" };
                    let flags = format!(" --random {} --shape {}{last}", s.random, s.shape.name());
                    let text = format!(
                        "seed {seed}: {b}\n  repeat: testkit run {file} --seed {seed}{flags} --log\n  shrunk to {} of {} faults:\n{}",
                        kept.len(),
                        report.faults.len(),
                        faults.join("")
                    );
                    landingdrift::outln!("{text}");
                    bad.lock().iter_mut().for_each(|l| l.push(seed));
                }
            });
        }
    });
    let mut bad = bad.into_inner().unwrap_or_default();
    bad.sort();
    landingdrift::outln!(
        "{number} seeds from {from}: {} broke a rule {:?}",
        bad.len(),
        bad.iter().take(40).collect::<Vec<_>>()
    );
    landingdrift::outln!(
        "{}",
        serde_json::to_string(&margins.into_inner().unwrap_or_default()).unwrap_or_default()
    );
    Ok(bad.is_empty())
}
