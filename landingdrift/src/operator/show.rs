use serde_json::Value;

/// A response as text for a person.
pub fn show(command: &str, v: &Value) -> String {
    match command {
        "workers" => table(
            v["workers"].as_array(),
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
            let next = v["next"]
                .as_str()
                .map_or(String::new(), |n| format!("\nmore: --after {n}"));
            table(
                v["jobs"].as_array(),
                &["id", "queue", "state", "accepted", "ended"],
            ) + &next
        }
        "job" => {
            let head = format!(
                "{} {}{}",
                text(&v["id"]),
                text(&v["state"]),
                if v["unsure"] == true { " (unsure)" } else { "" }
            );
            let reason = v["reason"]
                .as_str()
                .filter(|r| !r.is_empty())
                .map_or(String::new(), |r| format!("\n{r}"));
            format!(
                "{head}{reason}\n{}",
                table(
                    v["tasks"].as_array(),
                    &["name", "state", "defects", "unsure"]
                )
            )
        }
        "status" => status(v),
        _ => serde_json::to_string_pretty(v).unwrap_or_default(),
    }
}

fn text(v: &Value) -> String {
    v.as_str().map_or_else(
        || {
            if v.is_null() {
                "-".into()
            } else {
                v.to_string()
            }
        },
        str::to_string,
    )
}

fn table(rows: Option<&Vec<Value>>, columns: &[&str]) -> String {
    let rows: Vec<Vec<String>> = rows
        .into_iter()
        .flatten()
        .map(|r| columns.iter().map(|c| text(&r[*c])).collect())
        .collect();
    let widths: Vec<usize> = columns
        .iter()
        .enumerate()
        .map(|(i, c)| {
            rows.iter()
                .map(|r| r[i].len())
                .chain([c.len()])
                .max()
                .unwrap_or(0)
        })
        .collect();
    let line = |zone_schedulers: Vec<&str>| {
        zone_schedulers
            .iter()
            .zip(&widths)
            .map(|(c, w)| format!("{c:<w$}"))
            .collect::<Vec<_>>()
            .join("  ")
            .trim_end()
            .to_string()
    };
    std::iter::once(line(columns.to_vec()))
        .chain(
            rows.iter()
                .map(|r| line(r.iter().map(String::as_str).collect())),
        )
        .collect::<Vec<_>>()
        .join("\n")
}

fn status(v: &Value) -> String {
    let named = |key: &str, columns: &[&str]| {
        let rows: Vec<Value> = v[key]
            .as_object()
            .into_iter()
            .flatten()
            .map(|(k, x)| {
                let mut row = x.clone();
                row["name"] = Value::String(k.clone());
                row
            })
            .collect();
        let all: Vec<&str> = std::iter::once("name")
            .chain(columns.iter().copied())
            .collect();
        format!("{key}\n{}\n", table(Some(&rows), &all))
    };
    format!(
        "cluster {}  version {}  place {}  open jobs {}  unsure sends {}\n\n{}\n{}\n{}\nnodes\n{}\n\nchanges\n{}",
        text(&v["cluster"]),
        v["version"],
        v["place"],
        v["jobs"]["open"],
        v["jobs"]["unsureSends"],
        named("queues", &["unfinished", "running", "copies", "kept", "missed", "beta"]),
        named("zones", &["state", "workers", "running", "empty"]),
        named("cores", &["voter"]),
        table(v["nodes"].as_array(), &["node", "place", "version", "silentMs"]),
        table(v["changes"].as_array(), &["change", "version", "inForceOn"])
    )
}
