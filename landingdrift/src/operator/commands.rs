//! Executes the operator's commands.

use super::apply::apply;
use super::client::{ClientError, ControlClient};
use super::command_line::{help, parse_arguments, Arguments};
use super::rollout::rollout;
use super::show::show;
use super::zones::change_zone;
use crate::sans_io::roles::Role;
use serde_json::{json, Value};
use std::ffi::OsString;
use std::time::Duration;

inventory::submit! { Role { name: "operator", summary: "changes the configuration, manages zones and jobs, prints the status", run } }

fn run(arguments: Vec<OsString>) -> i32 {
    let result = parse_arguments(arguments).and_then(|arguments| execute(&arguments));
    match result {
        Ok(()) => 0,
        Err(error) => {
            eprintln!("landingdrift operator: {error}");
            error.exit_code()
        }
    }
}

/// Executes a command and prints the response.
fn execute(arguments: &Arguments) -> Result<(), ClientError> {
    let command = arguments.command();
    if arguments.help || command.is_empty() {
        crate::outln!("{}", help(command));
        if arguments.help {
            return Ok(());
        }
        return Err(ClientError::Usage("no command given".into()));
    }
    let response = call_nodes(command, arguments)?;
    let text = if arguments.json {
        response.to_string()
    } else {
        show(command, &response)
    };
    crate::outln!("{text}");
    Ok(())
}

fn call_nodes(command: &str, arguments: &Arguments) -> Result<Value, ClientError> {
    let client = ControlClient::new(
        arguments.nodes.clone(),
        Duration::from_secs(arguments.timeout_s),
    )?;
    let get = |path: &str| client.call("GET", path, None);
    match command {
        "apply" => apply(&client, arguments, &read_file(arguments)?),
        "rollout" => {
            let watch = Duration::from_secs(arguments.watch_s);
            rollout(
                &client,
                &arguments.stages,
                watch,
                arguments.timeout_s,
                &read_file(arguments)?,
            )
        }
        "get" => get("/v1/desired"),
        "change" => get(&format!("/v1/changes/{}", arguments.argument(1, "an ID")?)),
        "status" => get("/v1/status"),
        "drain" | "evacuate" | "restore" => change_zone(
            &client,
            arguments,
            command,
            arguments.argument(1, "a ZONE")?,
        ),
        "submit" => client.call("POST", "/v1/jobs", Some(&read_file(arguments)?)),
        "job" => get(&format!("/v1/jobs/{}", arguments.argument(1, "an ID")?)),
        "jobs" => get(&format!("/v1/jobs?{}", jobs_query(arguments))),
        "cancel" => {
            let id = arguments.argument(1, "an ID")?;
            client.call("DELETE", &format!("/v1/jobs/{id}"), None)
        }
        "resolve" => resolve(&client, arguments),
        "workers" => get("/v1/workers"),
        other => Err(ClientError::Usage(format!("unknown command '{other}'"))),
    }
}

/// Parses the JSON file whose path is the command's first argument.
fn read_file(arguments: &Arguments) -> Result<Value, ClientError> {
    let path = arguments.argument(1, "a FILE")?;
    let text = std::fs::read_to_string(path)
        .map_err(|error| ClientError::Usage(format!("failed to read '{path}': {error}")))?;
    serde_json::from_str(&text)
        .map_err(|error| ClientError::Usage(format!("'{path}' is not valid JSON: {error}")))
}

/// The query of a request for a list of jobs, with the filters that were given as flags.
fn jobs_query(arguments: &Arguments) -> String {
    let given = [
        ("queue", &arguments.queue),
        ("limit", &arguments.limit),
        ("after", &arguments.after),
    ];
    let query: Vec<String> = given
        .iter()
        .filter(|(_, value)| !value.is_empty())
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    query.join("&")
}

/// Sets the outcome of an attempt whose outcome is unknown.
fn resolve(client: &ControlClient, arguments: &Arguments) -> Result<Value, ClientError> {
    let job = arguments.argument(1, "a JOB")?;
    let task = arguments.argument(2, "a TASK")?;
    let outcome = arguments.argument(3, "'well' or 'defect'")?;
    let path = format!("/v1/jobs/{job}/tasks/{task}/resolve");
    client.call("POST", &path, Some(&json!({"outcome": outcome})))
}
