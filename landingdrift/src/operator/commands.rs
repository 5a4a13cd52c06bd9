use super::client::{ClientError, ControlClient};
use super::show::show;
use crate::sans_io::roles::Role;
use serde_json::{json, Value};
use std::ffi::OsString;
use std::time::{Duration, Instant};

inventory::submit! { Role { name: "operator", summary: "declares, watches and steers", run } }

const COMMANDS: &[(&str, &str)] = &[
    ("apply", "FILE [--base N] [--patch] [--wait]  put a configuration into force (base: the current version when left out)"),
    (
        "rollout",
        "FILE --stages Q,.. [--watch SECONDS]  put it into force queue by queue, the rest last; halt and go back when a queue spends its allowance or a node stays behind",
    ),
    ("get", "the desired state in force, with its version"),
    ("change", "ID  how far a change has come, node by node"),
    ("status", "queues, promises, zones, nodes, cores"),
    ("drain", "ZONE [--worker W] [--wait]  nothing new there; running work ends"),
    ("evacuate", "ZONE [--wait]  nothing new there; repeatable work is stopped and runs elsewhere"),
    ("restore", "ZONE [--worker W]  take work there again"),
    ("submit", "FILE  hand a job in"),
    ("job", "ID  the state of a job"),
    ("jobs", "[--queue Q] [--limit N] [--after ID]  list jobs"),
    ("cancel", "ID  cancel a job"),
    ("resolve", "JOB TASK well|defect  say how an unsure send ended"),
    ("workers", "list the workers"),
];

fn usage() -> String {
    let list: String = COMMANDS
        .iter()
        .map(|(c, what)| format!("  {c:<9} {what}\n"))
        .collect();
    format!(
        "landingdrift operator [--at IP:PORT,...] [--json] [--within SECONDS] COMMAND ...\n\n{list}\n  --at      nodes to ask, one after the other (default 127.0.0.1:8000)\n  --json    print JSON instead of text\n  --within  how long to try (default 10)\n\nExit codes: 0 done, 1 refused, 2 wrong command line, 3 no node answered, 4 a rival change came first, 5 a roll-out was halted, 6 not known whether it was taken."
    )
}

#[derive(Default)]
struct Arguments {
    at: Vec<String>,
    json: bool,
    within: u64,
    patch: bool,
    wait: bool,
    help: bool,
    base: Option<u64>,
    stages: Vec<String>,
    watch: u64,
    queue: String,
    limit: String,
    after: String,
    worker: String,
    rest: Vec<String>,
}

fn read_arguments(arguments: Vec<OsString>) -> Result<Arguments, ClientError> {
    let bad = |e: lexopt::Error| ClientError::Usage(e.to_string());
    let mut w = Arguments {
        at: vec!["127.0.0.1:8000".into()],
        within: 10,
        watch: 5,
        ..Arguments::default()
    };
    let mut p = lexopt::Parser::from_args(arguments);
    while let Some(arg) = p.next().map_err(bad)? {
        let text = |p: &mut lexopt::Parser| {
            p.value().map_err(bad).and_then(|v| {
                v.into_string()
                    .map_err(|_| ClientError::Usage("flags take text in UTF-8".into()))
            })
        };
        let number = |name: &str, v: String| {
            v.parse::<u64>().map_err(|_| {
                ClientError::Usage(format!("--{name} takes a whole number, not '{v}'"))
            })
        };
        match arg {
            lexopt::Arg::Long("at") => {
                w.at = text(&mut p)?.split(',').map(str::to_string).collect()
            }
            lexopt::Arg::Long("json") => w.json = true,
            lexopt::Arg::Long("patch") => w.patch = true,
            lexopt::Arg::Long("wait") => w.wait = true,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => w.help = true,
            lexopt::Arg::Long("within") => w.within = number("within", text(&mut p)?)?,
            lexopt::Arg::Long("base") => w.base = Some(number("base", text(&mut p)?)?),
            lexopt::Arg::Long("stages") => {
                w.stages = text(&mut p)?
                    .split(',')
                    .filter(|s| !s.is_empty())
                    .map(str::to_string)
                    .collect()
            }
            lexopt::Arg::Long("watch") => w.watch = number("watch", text(&mut p)?)?,
            lexopt::Arg::Long("queue") => w.queue = text(&mut p)?,
            lexopt::Arg::Long("limit") => w.limit = text(&mut p)?,
            lexopt::Arg::Long("after") => w.after = text(&mut p)?,
            lexopt::Arg::Long("worker") => w.worker = text(&mut p)?,
            lexopt::Arg::Value(v) => w.rest.push(
                v.into_string()
                    .map_err(|_| ClientError::Usage("arguments are text in UTF-8".into()))?,
            ),
            other => return Err(bad(other.unexpected())),
        }
    }
    Ok(w)
}

fn run(arguments: Vec<OsString>) -> i32 {
    let done = read_arguments(arguments).and_then(|w| {
        let command = w.rest.first().cloned().unwrap_or_default();
        if w.help || command.is_empty() {
            let one = COMMANDS
                .iter()
                .find(|(c, _)| *c == command)
                .map(|(c, what)| format!("landingdrift operator {c} {what}"));
            crate::outln!("{}", one.unwrap_or_else(usage));
            return if w.help {
                Ok(())
            } else {
                Err(ClientError::Usage("no command was given".into()))
            };
        }
        let v = perform(&command, &w)?;
        crate::outln!(
            "{}",
            if w.json {
                v.to_string()
            } else {
                show(&command, &v)
            }
        );
        Ok(())
    });
    done.map_or_else(
        |e| {
            eprintln!("landingdrift operator: {e}");
            e.code()
        },
        |()| 0,
    )
}

fn file(path: &str) -> Result<Value, ClientError> {
    std::fs::read_to_string(path)
        .map_err(|e| ClientError::Usage(format!("'{path}' can't be read ({e})")))
        .and_then(|t| {
            serde_json::from_str(&t)
                .map_err(|e| ClientError::Usage(format!("'{path}' is no JSON ({e})")))
        })
}

fn perform(command: &str, w: &Arguments) -> Result<Value, ClientError> {
    let client = ControlClient::new(w.at.clone(), Duration::from_secs(w.within))?;
    let arg = |i: usize, what: &str| {
        w.rest
            .get(i)
            .cloned()
            .ok_or_else(|| ClientError::Usage(format!("{command} needs {what}")))
    };
    match command {
        "apply" => apply(&client, w, &file(&arg(1, "a FILE")?)?, w.patch),
        "rollout" => super::rollout::rollout(
            &client,
            &w.stages,
            Duration::from_secs(w.watch),
            w.within,
            &file(&arg(1, "a FILE")?)?,
        ),
        "get" => client.call("GET", "/v1/desired", None),
        "change" => client.call("GET", &format!("/v1/changes/{}", arg(1, "an ID")?), None),
        "status" => client.call("GET", "/v1/status", None),
        "drain" | "evacuate" | "restore" => steer(&client, w, command, &arg(1, "a ZONE")?),
        "submit" => client.call("POST", "/v1/jobs", Some(&file(&arg(1, "a FILE")?)?)),
        "job" => client.call("GET", &format!("/v1/jobs/{}", arg(1, "an ID")?), None),
        "jobs" => {
            let query: Vec<String> = [
                ("queue", &w.queue),
                ("limit", &w.limit),
                ("after", &w.after),
            ]
            .iter()
            .filter(|(_, v)| !v.is_empty())
            .map(|(k, v)| format!("{k}={v}"))
            .collect();
            client.call("GET", &format!("/v1/jobs?{}", query.join("&")), None)
        }
        "cancel" => client.call("DELETE", &format!("/v1/jobs/{}", arg(1, "an ID")?), None),
        "resolve" => client.call(
            "POST",
            &format!(
                "/v1/jobs/{}/tasks/{}/resolve",
                arg(1, "a JOB")?,
                arg(2, "a TASK")?
            ),
            Some(&json!({"outcome": arg(3, "'well' or 'defect'")?})),
        ),
        "workers" => client.call("GET", "/v1/workers", None),
        other => Err(ClientError::Usage(format!(
            "no command is called '{other}'"
        ))),
    }
}

pub(super) fn change_id() -> String {
    let t = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_nanos());
    format!("op-{t:x}-{}", std::process::id())
}

fn apply(
    client: &ControlClient,
    w: &Arguments,
    value: &Value,
    patch: bool,
) -> Result<Value, ClientError> {
    let base = w.base.map_or_else(
        || {
            client
                .call("GET", "/v1/desired", None)
                .map(|v| v["version"].as_u64().unwrap_or(0))
        },
        Ok,
    )?;
    // One identity for all tries: a lost answer changes nothing twice.
    let change = change_id();
    let done = client.call(
        if patch { "PATCH" } else { "PUT" },
        &format!("/v1/desired?base={base}&change={change}"),
        Some(value),
    )?;
    if w.wait {
        wait(w.within, || {
            client
                .call("GET", &format!("/v1/changes/{change}"), None)
                .map(|v| (v["inForceEverywhere"] == json!(true), v))
        })
    } else {
        Ok(done)
    }
}

/// Drains, evacuates and restores by a change of the zone alone; a rival change is taken in and the patch tried again.
fn steer(
    client: &ControlClient,
    w: &Arguments,
    command: &str,
    zone: &str,
) -> Result<Value, ClientError> {
    let mut max_attempts = 0;
    let done = loop {
        let current = client.call("GET", "/v1/desired", None)?;
        let patch = if w.worker.is_empty() {
            let state = match command {
                "drain" => "draining",
                "evacuate" => "evacuated",
                _ => "serving",
            };
            json!({"zones": {zone: {"state": state}}})
        } else {
            let mut of: Vec<String> =
                serde_json::from_value(current["desired"]["zones"][zone]["drainedWorkers"].clone())
                    .unwrap_or_default();
            of.retain(|x| *x != w.worker);
            if command != "restore" {
                of.push(w.worker.clone());
            }
            json!({"zones": {zone: {"drainedWorkers": of}}})
        };
        let base = current["version"].as_u64().unwrap_or(0);
        match client.call(
            "PATCH",
            &format!("/v1/desired?base={base}&change={}", change_id()),
            Some(&patch),
        ) {
            Err(ClientError::Refused { status: 409, .. }) if max_attempts < 20 => max_attempts += 1,
            other => break other?,
        }
    };
    if w.wait && command != "restore" {
        wait(w.within, || {
            client.call("GET", "/v1/status", None).map(|v| {
                (
                    v["zones"][zone]["empty"] == json!(true),
                    json!({"zone": zone, "status": v["zones"][zone]}),
                )
            })
        })
    } else {
        Ok(done)
    }
}

pub(super) fn wait(
    within: u64,
    mut look: impl FnMut() -> Result<(bool, Value), ClientError>,
) -> Result<Value, ClientError> {
    let start = Instant::now();
    loop {
        let (done, v) = look()?;
        if done {
            return Ok(v);
        }
        if start.elapsed() > Duration::from_secs(within) {
            return Err(ClientError::Refused {
                status: 504,
                body: json!({"message": format!("not yet after {within} s, it goes on: look again with status; {v}")}),
            });
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}
