use super::{rerun, Day, Summary};
use crate::config;
use crate::sans_io::roles::Role;
use crate::settings::Settings;
use serde_json::json;
use std::ffi::OsString;
use std::path::Path;

inventory::submit! { Role { name: "replay", summary: "records days and decides them anew", run } }

const HELP: &str = "landingdrift replay record FOLDER OUT    record what a stopped core's data folder holds
landingdrift replay check DAY           apply a day's entries with this build; differing verdicts are listed
landingdrift replay run DAY [--desired FILE] [--settings FILE] [--json]
                                        decide a day anew in virtual time and compare

Exit codes: 0 done, 1 verdicts differ (check), 2 wrong command line, recording or file.";

fn run(arguments: Vec<OsString>) -> i32 {
    perform(arguments).unwrap_or_else(|why| {
        eprintln!("landingdrift replay: {why}");
        2
    })
}

fn perform(arguments: Vec<OsString>) -> Result<i32, String> {
    let bad = |e: lexopt::Error| format!("{e}\n\n{HELP}");
    let (mut rest, mut new_config, mut new_settings, mut as_json) = (Vec::new(), None, None, false);
    let text = |p: &mut lexopt::Parser| {
        p.value().map_err(bad).and_then(|v| {
            v.into_string()
                .map_err(|_| "flags take text in UTF-8".to_string())
        })
    };
    let mut p = lexopt::Parser::from_args(arguments);
    while let Some(arg) = p.next().map_err(bad)? {
        match arg {
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
                crate::outln!("{HELP}");
                return Ok(0);
            }
            lexopt::Arg::Long("desired") => new_config = Some(text(&mut p)?),
            lexopt::Arg::Long("settings") => new_settings = Some(text(&mut p)?),
            lexopt::Arg::Long("json") => as_json = true,
            lexopt::Arg::Value(v) => rest.push(
                v.into_string()
                    .map_err(|_| "arguments are text in UTF-8".to_string())?,
            ),
            other => return Err(bad(other.unexpected())),
        }
    }
    let arg = |i: usize| {
        rest.get(i)
            .map(String::as_str)
            .ok_or_else(|| format!("a word is missing\n\n{HELP}"))
    };
    match arg(0)? {
        "record" => {
            let day = Day::state(Path::new(arg(1)?)).map_err(|e| e.to_string())?;
            let out = arg(2)?;
            std::fs::write(out, day.text())
                .map_err(|e| format!("'{out}' can't be written ({e}): name another file"))?;
            crate::outln!("{} entries recorded", day.lines.len());
            Ok(0)
        }
        "check" => {
            let day = Day::read(arg(1)?).map_err(|e| e.to_string())?;
            let of = day.differences();
            of.iter().take(20).for_each(|(log_index, then, now)| {
                crate::outln!("place {log_index}: recorded {then}, now {now}")
            });
            crate::outln!("{} entries, {} verdicts differ", day.lines.len(), of.len());
            Ok(i32::from(!of.is_empty()))
        }
        "run" => {
            let day = Day::read(arg(1)?).map_err(|e| e.to_string())?;
            let read = |f: &String| {
                std::fs::read_to_string(f)
                    .map_err(|e| format!("'{f}' can't be read ({e}): name another file"))
            };
            let config = new_config
                .as_ref()
                .map(|f| {
                    read(f)
                        .and_then(|t| {
                            serde_json::from_str(&t)
                                .map_err(|e| format!("'{f}' is no JSON ({e}): correct it"))
                        })
                        .and_then(|v| config::read(&v).map_err(|e| e.to_string()))
                })
                .transpose()?;
            let settings = new_settings
                .as_ref()
                .map(|f| {
                    read(f).and_then(|t| {
                        toml::from_str::<Settings>(&t).map_err(|e| format!("'{f}' is wrong: {e}"))
                    })
                })
                .transpose()?
                .unwrap_or_default();
            let (then, now) = (
                Summary::of(&day.end()),
                rerun(&day, config.as_ref(), &settings),
            );
            tell(&then, &now, as_json);
            Ok(0)
        }
        other => Err(format!("'{other}' is no word of replay\n\n{HELP}")),
    }
}

fn tell(then: &Summary, now: &Summary, as_json: bool) {
    let quantile = |s: &Summary, q: f64| {
        let mut of: Vec<u64> = s.took.values().copied().collect();
        of.sort_unstable();
        of.get(((of.len().saturating_sub(1)) as f64 * q) as usize)
            .copied()
            .unwrap_or(0)
    };
    let ends: Vec<_> = then
        .states
        .iter()
        .filter(|(k, s)| now.states.get(*k) != Some(s))
        .map(|(k, s)| json!({"job": k, "recorded": s, "now": now.states.get(k)}))
        .collect();
    let moved = then
        .placed
        .iter()
        .filter(|(k, w)| now.placed.get(*k).is_some_and(|x| x != *w))
        .count();
    let sum = |s: &Summary| json!({"jobs": s.states.len(), "done": s.took.len(), "medianMs": quantile(s, 0.5), "p95Ms": quantile(s, 0.95), "kept": s.kept, "missed": s.missed, "copies": s.copies});
    if as_json {
        crate::outln!(
            "{}",
            json!({"recorded": sum(then), "now": sum(now), "otherEnds": ends, "otherWorkers": moved, "tasks": then.placed.len()})
        );
        return;
    }
    crate::outln!("recorded {}\nnow      {}", sum(then), sum(now));
    crate::outln!(
        "{moved} of {} tasks ended on another worker",
        then.placed.len()
    );
    crate::outln!("{} jobs ended otherwise", ends.len());
    ends.iter().take(20).for_each(|e| crate::outln!("  {e}"));
}
