use super::{quantiles, Arguments};
use crate::fleet::{program, run as drive, Options};
use crate::scenario::{Fault, Kind, Scenario, Shape};
use std::path::PathBuf;

pub fn run(w: &Arguments) -> Result<bool, String> {
    let named = w.text("shape").unwrap_or("gunasekera");
    let mut shape = Shape::named(named)
        .ok_or_else(|| format!("no shape is called '{named}': give odvoza or gunasekera"))?;
    let mut seconds = w.number("seconds", 20)?;
    let mut faults = vec![
        Fault {
            at: seconds * 300,
            kind: Kind::Kill,
            who: "leader".into(),
            lasts: 2000,
            amount: 0,
            by: 0,
        },
        Fault {
            at: seconds * 600,
            kind: Kind::Kill,
            who: "node:1".into(),
            lasts: 2000,
            amount: 0,
            by: 0,
        },
    ];
    if let Some(file) = w.text("scenario") {
        let s = Scenario::load(file).map_err(|e| e.to_string())?;
        (shape, seconds, faults) = (s.shape, s.seconds, s.faults);
    }
    let own = std::env::temp_dir().join(format!("landingdrift-fleet-{}", std::process::id()));
    let o = Options {
        shape,
        seconds,
        settle: w.number("settle", 60)?,
        rate: w.number("rate", 0)? as f64,
        program: w.text("program").map_or_else(program, PathBuf::from),
        folder: w.text("folder").map_or(own, PathBuf::from),
        faults,
        seed: w.number("seed", 1)?,
        talk: true,
    };
    landingdrift::outln!("folder {}", o.folder.display());
    let outcome = drive(&o).map_err(|e| format!("the fleet could not be rehearsed: {e}"))?;
    if let Some(path) = w.text("history") {
        std::fs::write(path, outcome.history.text())
            .map_err(|e| format!("'{path}' can't be written ({e})"))?;
    }
    landingdrift::outln!(
        "{}",
        serde_json::to_string(&outcome.summary).unwrap_or_default()
    );
    landingdrift::outln!("{}", quantiles(&outcome.latencies));
    landingdrift::outln!("promises kept {}, missed {}", outcome.kept, outcome.missed);
    outcome
        .broken
        .iter()
        .take(20)
        .for_each(|b| landingdrift::outln!("BROKEN {b}"));
    landingdrift::outln!(
        "{}",
        if outcome.broken.is_empty() {
            "no rule was broken"
        } else {
            "rules were broken"
        }
    );
    Ok(outcome.broken.is_empty())
}
