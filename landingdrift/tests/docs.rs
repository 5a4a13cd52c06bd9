//! The operators' pages must match the code: the list of settings with their defaults, and the examples.

use landingdrift::config;
use landingdrift::node::Heartbeat;
use landingdrift::settings::Settings;
use landingdrift::state::JobSpec;
use serde_json::Value;

/// The text of an operators' page.
fn page(name: &str) -> String {
    std::fs::read_to_string(format!("../docs/operators/{name}.md")).expect("the page is there")
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
fn the_page_lists_exactly_the_settings_with_their_defaults() {
    let defaults = serde_json::to_value(Settings::default()).expect("settings are values");
    let mut expected: Vec<(String, String)> = Vec::new();
    for (k, v) in defaults.as_object().expect("a table") {
        let text = |v: &Value| {
            v.as_str().map_or_else(
                || {
                    if v.is_array() {
                        String::new()
                    } else {
                        v.to_string()
                    }
                },
                str::to_string,
            )
        };
        match v.as_object() {
            Some(inner) => {
                expected.extend(inner.iter().map(|(i, v)| (format!("{k}.{i}"), text(v))))
            }
            None => expected.push((k.clone(), text(v))),
        }
    }
    let text = page("settings");
    let mut listed: Vec<(String, String)> = text
        .lines()
        .filter(|l| l.starts_with("| `"))
        .map(|l| {
            l.split('|')
                .map(|cell| cell.trim().replace('`', ""))
                .collect::<Vec<_>>()
        })
        .map(|cells| (cells[1].clone(), cells[2].clone()))
        .collect();
    listed
        .iter_mut()
        .filter(|(n, _)| n == "founders")
        .for_each(|(_, d)| d.clear());
    expected.sort();
    listed.sort();
    assert_eq!(expected, listed);
    for e in examples(&text, "toml") {
        toml::from_str::<Settings>(&e).expect("the example of a settings file is valid");
    }
}

#[test]
fn the_examples_are_valid() {
    let jobs = examples(&page("api"), "json job");
    let heartbeats = examples(&page("workers"), "json beat");
    let configurations = examples(&page("configuration"), "json desired");
    assert!(!jobs.is_empty() && !heartbeats.is_empty() && !configurations.is_empty());
    for j in jobs {
        JobSpec::read(j.as_bytes())
            .and_then(|s| s.check())
            .unwrap_or_else(|e| panic!("{e}"));
    }
    for b in heartbeats {
        serde_json::from_str::<Heartbeat>(&b).unwrap_or_else(|e| panic!("{e}"));
    }
    for c in configurations {
        config::read(&serde_json::from_str(&c).expect("JSON")).unwrap_or_else(|e| panic!("{e}"));
    }
}
