//! Formats responses as text for people.

use serde_json::Value;

/// Formats the response to a command: tables for lists and the status, otherwise indented JSON.
pub fn show(command: &str, response: &Value) -> String {
    match command {
        "workers" => table(
            response["workers"].as_array(),
            &[
                "worker",
                "zone",
                "service",
                "room",
                "used",
                "leaving",
                "lost",
                "onProbation",
            ],
        ),
        "jobs" => {
            let columns = ["id", "queue", "state", "accepted", "ended"];
            let jobs = table(response["jobs"].as_array(), &columns);
            match response["next"].as_str() {
                Some(next) => format!("{jobs}\nmore: --after {next}"),
                None => jobs,
            }
        }
        "job" => job(response),
        "status" => status(response),
        _ => serde_json::to_string_pretty(response).unwrap_or_default(),
    }
}

fn job(response: &Value) -> String {
    let id = text(&response["id"]);
    let state = text(&response["state"]);
    let unsure = if response["unsure"] == true {
        " (outcome unknown)"
    } else {
        ""
    };
    let reason = match response["reason"].as_str() {
        Some(reason) if !reason.is_empty() => format!("\n{reason}"),
        _ => String::new(),
    };
    let columns = ["name", "state", "defects", "unsure"];
    let tasks = table(response["tasks"].as_array(), &columns);
    format!("{id} {state}{unsure}{reason}\n{tasks}")
}

/// Formats a value: strings without quotes, and a dash for null.
fn text(value: &Value) -> String {
    match value {
        Value::String(string) => string.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// A table of the given fields of the rows, with a header. Each column is as wide as its widest cell.
fn table(rows: Option<&Vec<Value>>, columns: &[&str]) -> String {
    let mut lines: Vec<Vec<String>> = vec![columns.iter().map(|name| name.to_string()).collect()];
    for row in rows.into_iter().flatten() {
        lines.push(columns.iter().map(|name| text(&row[*name])).collect());
    }
    let mut widths = vec![0; columns.len()];
    for line in &lines {
        for (width, cell) in widths.iter_mut().zip(line) {
            *width = cell.len().max(*width);
        }
    }
    let padded: Vec<String> = lines.iter().map(|line| padded(line, &widths)).collect();
    padded.join("\n")
}

fn padded(cells: &[String], widths: &[usize]) -> String {
    let cells = cells.iter().zip(widths);
    let padded: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    padded.join("  ").trim_end().to_string()
}

fn status(response: &Value) -> String {
    format!(
        "cluster {}  version {}  log index {}  open jobs {}  attempts with unknown outcome {}\n\n{}\n{}\n{}\nnodes\n{}\n\nchanges\n{}",
        text(&response["cluster"]),
        response["version"],
        response["place"],
        response["jobs"]["open"],
        response["jobs"]["unsureSends"],
        section(response, "queues", &["unfinished", "running", "copies", "kept", "missed", "beta"]),
        section(response, "zones", &["state", "workers", "running", "empty"]),
        section(response, "cores", &["voter"]),
        table(response["nodes"].as_array(), &["node", "place", "version", "silentMs"]),
        table(response["changes"].as_array(), &["change", "version", "inForceOn"])
    )
}

/// A section of the status: a table of items by name.
fn section(response: &Value, key: &str, columns: &[&str]) -> String {
    let mut rows = Vec::new();
    for (name, item) in response[key].as_object().into_iter().flatten() {
        let mut row = item.clone();
        row["name"] = Value::String(name.clone());
        rows.push(row);
    }
    let mut columns_with_name = vec!["name"];
    columns_with_name.extend(columns);
    format!("{key}\n{}\n", table(Some(&rows), &columns_with_name))
}
