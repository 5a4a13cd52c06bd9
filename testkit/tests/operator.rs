//! Operators' work end to end: the program's own command line against a fleet of real processes.

use landingdrift_testkit::fleet::{program, Fleet, Options};
use landingdrift_testkit::scenario::Shape;
use serde_json::{json, Value};
use std::path::PathBuf;
use std::process::{Command, Output};

/// The exit code when a rival came first.
const RIVAL: i32 = 4;
/// The exit code when a roll-out was halted.
const HALTED: i32 = 5;

/// A fleet without workers, and the command line of its operator.
struct Desk {
    fleet: Fleet,
    folder: PathBuf,
    /// The addresses of the nodes.
    nodes: Vec<String>,
}

fn operator(arguments: &[&str]) -> Output {
    Command::new(program())
        .arg("operator")
        .args(arguments)
        .output()
        .expect("the program runs")
}

impl Desk {
    fn new() -> Self {
        let name = format!("landingdrift-test-operator-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let options = Options::new(Shape::Gunasekera, program(), folder.clone());
        let fleet = Fleet::start(&options).unwrap_or_else(|e| panic!("{e}"));
        let nodes = fleet.nodes();
        Self {
            fleet,
            folder,
            nodes,
        }
    }

    /// Runs a command; its exit code and all that it printed.
    fn run(&self, arguments: &[&str]) -> (i32, String) {
        let nodes = self.nodes.join(",");
        let common = ["--json", "--within", "30", "--at", &nodes];
        let output = operator(&[&common, arguments].concat());
        let code = output.status.code().unwrap_or(-1);
        let printed = String::from_utf8_lossy(&output.stdout).to_string()
            + &String::from_utf8_lossy(&output.stderr);
        (code, printed)
    }

    /// Runs a command that must succeed; what it printed.
    fn ok(&self, arguments: &[&str]) -> Value {
        let (code, printed) = self.run(arguments);
        assert_eq!(code, 0, "{arguments:?}: {printed}");
        serde_json::from_str(&printed).unwrap_or_else(|e| panic!("{arguments:?}: {e}: {printed}"))
    }

    /// Writes a file for a command; its path.
    fn write(&self, name: &str, value: &Value) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, value.to_string()).expect("written");
        path.to_string_lossy().to_string()
    }
}

fn declare_and_drain(desk: &Desk) {
    let first = desk.write("first.json", &Shape::Gunasekera.config());
    let applied = desk.ok(&["apply", &first, "--wait"]);
    assert_eq!(applied["inForceEverywhere"], true);
    let (code, _) = desk.run(&["apply", &first, "--base", "0"]);
    assert_eq!(code, RIVAL, "a rival came first");
    let drained = desk.ok(&["drain", "z1", "--wait"]);
    assert_eq!(drained["status"]["state"], "draining");
    desk.ok(&["drain", "z2", "--worker", "w5"]);
    desk.ok(&["restore", "z1"]);
}

fn submit_and_cancel(desk: &Desk) {
    let task = json!({"name": "a", "service": "trade", "room": 1});
    let job = json!({"id": "j", "queue": "pickups", "tasks": [task]});
    let submitted = desk.ok(&["submit", &desk.write("job.json", &job)]);
    assert_eq!(submitted["id"], "j");
    let state = &desk.ok(&["job", "j"])["state"];
    assert_eq!(state, "waiting", "there are no workers");
    assert_eq!(desk.ok(&["cancel", "j"])["state"], "cancelled");
    assert_eq!(desk.run(&["job", "none"]).0, 1);
}

/// Rolls a configuration out in stages, and writes the next one; returns what is in force.
fn roll_out(desk: &Desk) -> Value {
    let mut config = desk.ok(&["get"])["desired"].clone();
    config["queues"]["pickups"]["quota"] = json!(77);
    config["notes"]["stage"] = json!("two");
    let second = desk.write("second.json", &config);
    let stages = ["--stages", "pickups,recounts", "--watch", "1"];
    let rolled_out = desk.ok(&[&["rollout", second.as_str()], &stages[..]].concat());
    assert_eq!(rolled_out["stages"], 3);
    let in_force = desk.ok(&["get"]);
    assert_eq!(in_force["desired"]["queues"]["pickups"]["quota"], 77);
    config["queues"]["pickups"]["quota"] = json!(88);
    desk.write("third.json", &config);
    in_force
}

/// Rolls a configuration out that a node does not follow, as it stands still.
fn roll_out_beside_frozen_node(desk: &Desk) -> Output {
    let third = desk.folder.join("third.json");
    let third = third.to_string_lossy();
    let mut processes = desk.fleet.processes.iter();
    let frozen = processes.position(|process| !process.is_replica());
    let frozen = frozen.expect("a node");
    let frozen_http = &desk.fleet.processes[frozen].http;
    let mut nodes = desk.nodes.iter();
    let other = nodes.find(|node| *node != frozen_http);
    let other = other.expect("another node");
    desk.fleet.freeze(frozen);
    let connection = ["--within", "0", "--at", other.as_str()];
    let command = ["rollout", &third, "--stages", "pickups", "--watch", "1"];
    let output = operator(&[&connection[..], &command[..]].concat());
    desk.fleet.thaw(frozen);
    output
}

#[test]
fn an_operator_declares_rolls_out_halts_and_drains() {
    let desk = Desk::new();
    declare_and_drain(&desk);
    submit_and_cancel(&desk);
    let before = roll_out(&desk);
    let output = roll_out_beside_frozen_node(&desk);
    let after = desk.ok(&["get"]);
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(HALTED), "{message}");
    assert_eq!(
        after["desired"], before["desired"],
        "what was in force before is so again"
    );
    assert!(
        after["version"].as_u64() > before["version"].as_u64(),
        "as a new version"
    );
    let _ = std::fs::remove_dir_all(&desk.folder);
}
