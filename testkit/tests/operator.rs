//! Operators' work end to end: the program's own command line against a fleet of real processes.

use landingdrift_testkit::fleet::{program, Fleet, Options};
use landingdrift_testkit::scenario::Shape;
use serde_json::Value;
use std::path::Path;
use std::process::Command;

struct Desk {
    fleet: Fleet,
    at: String,
}

impl Desk {
    fn ask(&self, arguments: &[&str]) -> (i32, String) {
        let out = Command::new(program())
            .args(["operator", "--json", "--within", "30", "--at", &self.at])
            .args(arguments)
            .output()
            .expect("the program runs");
        (
            out.status.code().unwrap_or(-1),
            String::from_utf8_lossy(&out.stdout).to_string()
                + &String::from_utf8_lossy(&out.stderr),
        )
    }
    fn ok(&self, arguments: &[&str]) -> Value {
        let (code, said) = self.ask(arguments);
        assert_eq!(code, 0, "{arguments:?}: {said}");
        serde_json::from_str(&said).unwrap_or_else(|e| panic!("{arguments:?}: {e}: {said}"))
    }
}

fn write(folder: &Path, name: &str, v: &Value) -> String {
    let p = folder.join(name);
    std::fs::write(&p, v.to_string()).expect("written");
    p.to_string_lossy().to_string()
}

#[test]
fn an_operator_declares_rolls_out_halts_and_drains() {
    let folder =
        std::env::temp_dir().join(format!("landingdrift-test-operator-{}", std::process::id()));
    let o = Options {
        shape: Shape::Gunasekera,
        seconds: 0,
        settle_seconds: 0,
        jobs_per_second: 0.0,
        program: program(),
        folder: folder.clone(),
        faults: Vec::new(),
        seed: 1,
        verbose: false,
    };
    let fleet = Fleet::start(&o).unwrap_or_else(|e| panic!("{e}"));
    let at: Vec<String> = fleet
        .processes
        .iter()
        .filter(|p| !p.is_replica)
        .map(|p| p.http.clone())
        .collect();
    let d = Desk {
        fleet,
        at: at.join(","),
    };
    let mut config = Shape::Gunasekera.config();
    let first = write(&folder, "first.json", &config);
    assert_eq!(
        d.ok(&["apply", &first, "--wait"])["inForceEverywhere"],
        true
    );
    assert_eq!(
        d.ask(&["apply", &first, "--base", "0"]).0,
        4,
        "a rival came first"
    );
    assert_eq!(
        d.ok(&["drain", "z1", "--wait"])["status"]["state"],
        "draining"
    );
    d.ok(&["drain", "z2", "--worker", "w5"]);
    d.ok(&["restore", "z1"]);
    let job = serde_json::json!({"id": "j", "queue": "pickups", "tasks": [{"name": "a", "service": "trade", "room": 1}]});
    assert_eq!(
        d.ok(&["submit", &write(&folder, "job.json", &job)])["id"],
        "j"
    );
    assert_eq!(
        d.ok(&["job", "j"])["state"],
        "waiting",
        "there are no workers"
    );
    assert_eq!(d.ok(&["cancel", "j"])["state"], "cancelled");
    assert_eq!(d.ask(&["job", "none"]).0, 1);
    // A roll-out in stages, and one that a node does not follow.
    config = d.ok(&["get"])["desired"].clone();
    config["queues"]["pickups"]["quota"] = 77.into();
    config["notes"]["stage"] = "two".into();
    let second = write(&folder, "second.json", &config);
    assert_eq!(
        d.ok(&[
            "rollout",
            &second,
            "--stages",
            "pickups,recounts",
            "--watch",
            "1"
        ])["stages"],
        3
    );
    let before = d.ok(&["get"]);
    assert_eq!(before["desired"]["queues"]["pickups"]["quota"], 77);
    config["queues"]["pickups"]["quota"] = 88.into();
    let third = write(&folder, "third.json", &config);
    let frozen = d
        .fleet
        .processes
        .iter()
        .position(|p| !p.is_replica)
        .expect("a node");
    let others: Vec<&String> = at
        .iter()
        .filter(|a| **a != d.fleet.processes[frozen].http)
        .collect();
    d.fleet.freeze(frozen);
    let out = Command::new(program())
        .args([
            "operator", "--within", "0", "--at", others[0], "rollout", &third, "--stages",
            "pickups", "--watch", "1",
        ])
        .output()
        .expect("the program runs");
    d.fleet.thaw(frozen);
    let after = d.ok(&["get"]);
    assert_eq!(
        out.status.code(),
        Some(5),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    assert_eq!(
        after["desired"], before["desired"],
        "what was in force before is so again"
    );
    assert!(
        after["version"].as_u64() > before["version"].as_u64(),
        "as a new version"
    );
    let _ = std::fs::remove_dir_all(&folder);
}
