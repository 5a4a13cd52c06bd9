//! The operators' pages must match the code: the list of settings with their defaults, and the examples.

use landingdrift::config;
use landingdrift::node::Heartbeat;
use landingdrift::settings::Settings;
use landingdrift::state::JobSpec;
use serde_json::Value;

/// The text of an operators' page.
fn page(name: &str) -> String {
    std::fs::read_to_string(format!("../docs/operators/{name}.md"))
        .expect("failed to read the page")
}

/// The code blocks of a page with the given info string.
fn examples(text: &str, kind: &str) -> Vec<String> {
    let fence = format!("```{kind}\n");
    text.split(&fence)
        .skip(1)
        .filter_map(|rest| rest.split("```").next().map(str::to_string))
        .collect()
}

#[test]
fn the_settings_page_lists_every_setting_with_its_default() {
    let defaults =
        serde_json::to_value(Settings::default()).expect("failed to serialize the settings");
    let mut expected: Vec<(String, String)> = Vec::new();
    for (key, value) in defaults.as_object().expect("the settings are not a table") {
        let text = |value: &Value| {
            value.as_str().map_or_else(
                || {
                    if value.is_array() {
                        String::new()
                    } else {
                        value.to_string()
                    }
                },
                str::to_string,
            )
        };
        match value.as_object() {
            Some(table) => expected.extend(
                table
                    .iter()
                    .map(|(field, value)| (format!("{key}.{field}"), text(value))),
            ),
            None => expected.push((key.clone(), text(value))),
        }
    }
    let text = page("settings");
    let mut listed: Vec<(String, String)> = text
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            line.split('|')
                .map(|cell| cell.trim().replace('`', ""))
                .collect::<Vec<_>>()
        })
        .map(|cells| (cells[1].clone(), cells[2].clone()))
        .collect();
    listed
        .iter_mut()
        .filter(|(name, _)| name == "founders")
        .for_each(|(_, default)| default.clear());
    expected.sort();
    listed.sort();
    assert_eq!(expected, listed);
    for example in examples(&text, "toml") {
        toml::from_str::<Settings>(&example).expect("the example of a settings file is invalid");
    }
}

#[test]
fn the_examples_of_jobs_heartbeats_and_configurations_are_valid() {
    let jobs = examples(&page("api"), "json job");
    let heartbeats = examples(&page("workers"), "json beat");
    let configurations = examples(&page("configuration"), "json desired");
    assert!(!jobs.is_empty() && !heartbeats.is_empty() && !configurations.is_empty());
    for job in jobs {
        JobSpec::read(job.as_bytes())
            .and_then(|spec| spec.check())
            .unwrap_or_else(|error| panic!("{error}"));
    }
    for heartbeat in heartbeats {
        serde_json::from_str::<Heartbeat>(&heartbeat).unwrap_or_else(|error| panic!("{error}"));
    }
    for configuration in configurations {
        config::read(&serde_json::from_str(&configuration).expect("invalid JSON"))
            .unwrap_or_else(|error| panic!("{error}"));
    }
}
