//! Invalid scenario files and command lines end with exit code 2 and a message on what is wrong, without a panic or a
//! hang. Valid flags of `testkit soak` are accepted.

use std::process::{Command, Output};

fn testkit(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_testkit"))
        .args(arguments)
        .output()
        .expect("failed to run the testkit program")
}

#[test]
fn invalid_scenarios_are_rejected_with_a_message_on_the_invalid_value() {
    let cases = [
        ("", "missing field `shape`"),
        ("shape = 'round'\nseconds = 5", "unknown variant"),
        ("shape = 'odvoza'\nseconds = 0", "seconds: give 1 to"),
        ("shape = 'odvoza'\nseconds = 3\nrandom = 2", "seconds: give at least 4 seconds"),
        ("shape = 'odvoza'\nseconds = 5\nrate = -1.0", "rate: give"),
        ("shape = 'odvoza'\nseconds = 5\nfast = true", "unknown field"),
        ("shape = 'odvoza'\nseconds = 5\n[[faults]]\nat = 1\nkind = 'flood'", "unknown variant"),
        ("shape = 'odvoza'\nseconds = 5\n[[faults]]\nat = 1\nkind = 'kill'\nwho = 'worker:1'", "faults[0].who: 'worker:1'"),
        ("shape = 'odvoza'\nseconds = 5\n[[faults]]\nat = 1\nkind = 'worker-cut'\nwho = 'worker:11'", "below 11"),
        ("shape = 'odvoza'\nseconds = 5\n[[faults]]\nat = 1\nkind = 'lose-zone'\nwho = 'zone:x'", "zone:N"),
        ("shape = 'odvoza'\nseconds = 5\n[[faults]]\nat = -1\nkind = 'kill'", "invalid value"),
    ];
    let folder = std::env::temp_dir().join(format!("landingdrift-bad-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("failed to create the folder for the cases");
    let file = folder.join("case.toml");
    for (text, expected) in cases {
        std::fs::write(&file, text).expect("failed to write the scenario file");
        for command in ["run", "sweep", "fleet"] {
            let path = file.to_string_lossy().into_owned();
            let arguments = if command == "fleet" {
                vec![command, "--scenario", &path]
            } else {
                vec![command, &path]
            };
            let out = testkit(&arguments);
            let message = String::from_utf8_lossy(&out.stderr).into_owned();
            assert_eq!(
                out.status.code(),
                Some(2),
                "{command} of {text:?}: {message}"
            );
            assert!(
                message.contains(expected),
                "{command} of {text:?}: the message lacks '{expected}': {message}"
            );
        }
    }
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn invalid_arguments_are_rejected() {
    let file = "scenarios/plain.toml";
    let cases: [&[&str]; 6] = [
        &["run", "no-such-file.toml"],
        &["run", file, "--seed", "-3"],
        &["run", file, "--seed", "99999999999999999999"],
        &["sweep", file, "--shape", "round"],
        &["sweep", file, "--random", "5000"],
        &["fleet", "--program", "no-such-program"],
    ];
    for arguments in cases {
        let out = testkit(arguments);
        assert_eq!(
            out.status.code(),
            Some(2),
            "{arguments:?}: {}",
            String::from_utf8_lossy(&out.stderr)
        );
        assert!(!out.stderr.is_empty(), "{arguments:?}: no message");
    }
}

#[test]
fn soak_accepts_its_flags() {
    let arguments = ["soak", "--seeds", "0", "--faults", "3", "--small", "2"];
    let out = testkit(&arguments);
    let stdout = String::from_utf8_lossy(&out.stdout).into_owned();
    assert_eq!(out.status.code(), Some(0), "{stdout}");
    assert!(stdout.starts_with("0 seeds from 1"), "{stdout}");
}
