//! The operator's commands, each asked of a node.

use super::apply::apply;
use super::client::{ClientError, ControlClient};
use super::command_line::{help, read_arguments, Arguments};
use super::rollout::rollout;
use super::show::show;
use super::steer::steer;
use crate::sans_io::roles::Role;
use serde_json::{json, Value};
use std::ffi::OsString;
use std::time::Duration;

inventory::submit! { Role { name: "operator", summary: "declares, watches and steers", run } }

fn run(arguments: Vec<OsString>) -> i32 {
    let done = read_arguments(arguments).and_then(|w| obey(&w));
    match done {
        Ok(()) => 0,
        Err(e) => {
            eprintln!("landingdrift operator: {e}");
            e.code()
        }
    }
}

/// Does what the words ask for, and prints what came of it.
fn obey(w: &Arguments) -> Result<(), ClientError> {
    let command = w.command();
    if w.help || command.is_empty() {
        crate::outln!("{}", help(command));
        if w.help {
            return Ok(());
        }
        return Err(ClientError::Usage("no command was given".into()));
    }
    let told = perform(command, w)?;
    let text = if w.json {
        told.to_string()
    } else {
        show(command, &told)
    };
    crate::outln!("{text}");
    Ok(())
}

fn perform(command: &str, w: &Arguments) -> Result<Value, ClientError> {
    let client = ControlClient::new(w.at.clone(), Duration::from_secs(w.within))?;
    let get = |path: &str| client.call("GET", path, None);
    match command {
        "apply" => apply(&client, w, &file_named(w)?),
        "rollout" => {
            let watch = Duration::from_secs(w.watch);
            rollout(&client, &w.stages, watch, w.within, &file_named(w)?)
        }
        "get" => get("/v1/desired"),
        "change" => get(&format!("/v1/changes/{}", w.argument(1, "an ID")?)),
        "status" => get("/v1/status"),
        "drain" | "evacuate" | "restore" => steer(&client, w, command, w.argument(1, "a ZONE")?),
        "submit" => client.call("POST", "/v1/jobs", Some(&file_named(w)?)),
        "job" => get(&format!("/v1/jobs/{}", w.argument(1, "an ID")?)),
        "jobs" => get(&format!("/v1/jobs?{}", jobs_query(w))),
        "cancel" => {
            let id = w.argument(1, "an ID")?;
            client.call("DELETE", &format!("/v1/jobs/{id}"), None)
        }
        "resolve" => resolve(&client, w),
        "workers" => get("/v1/workers"),
        other => Err(ClientError::Usage(format!(
            "no command is called '{other}'"
        ))),
    }
}

/// The JSON of the file that a command names.
fn file_named(w: &Arguments) -> Result<Value, ClientError> {
    let path = w.argument(1, "a FILE")?;
    let text = std::fs::read_to_string(path)
        .map_err(|e| ClientError::Usage(format!("'{path}' can't be read ({e})")))?;
    serde_json::from_str(&text)
        .map_err(|e| ClientError::Usage(format!("'{path}' is no JSON ({e})")))
}

/// The query of a list of jobs: only what was given.
fn jobs_query(w: &Arguments) -> String {
    let given = [
        ("queue", &w.queue),
        ("limit", &w.limit),
        ("after", &w.after),
    ];
    let query: Vec<String> = given
        .iter()
        .filter(|(_, value)| !value.is_empty())
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    query.join("&")
}

/// Says how an unsure attempt ended.
fn resolve(client: &ControlClient, w: &Arguments) -> Result<Value, ClientError> {
    let job = w.argument(1, "a JOB")?;
    let task = w.argument(2, "a TASK")?;
    let outcome = w.argument(3, "'well' or 'defect'")?;
    let path = format!("/v1/jobs/{job}/tasks/{task}/resolve");
    client.call("POST", &path, Some(&json!({"outcome": outcome})))
}
