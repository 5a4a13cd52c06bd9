//! The command line of the program: invalid flags, settings and commands must fail with the right exit code and a
//! message that names the invalid flag, setting or command, never with a panic.

use std::process::{Command, Output};

/// Runs the program; returns its exit code and everything that it printed.
fn run(arguments: &[&str]) -> (i32, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(env!("CARGO_BIN_EXE_landingdrift"))
        .args(arguments)
        .output()
        .expect("failed to run the program");
    (
        status.code().unwrap_or(-1),
        String::from_utf8_lossy(&stdout).to_string() + &String::from_utf8_lossy(&stderr),
    )
}

/// Flags with valid settings.
const VALID_FLAGS: &[&str] = &[
    "--listen",
    "127.0.0.1:7001",
    "--http",
    "127.0.0.1:8001",
    "--zone",
    "z0",
    "--seeds",
    "127.0.0.1:7001",
];

/// Runs a role with valid settings and extra flags.
fn run_role(role: &str, extra_flags: &[&str]) -> (i32, String) {
    let mut arguments = vec![role];
    arguments.extend(VALID_FLAGS);
    arguments.extend(extra_flags);
    run(&arguments)
}

#[test]
fn every_invalid_setting_is_named_in_the_error() {
    let file =
        std::env::temp_dir().join(format!("landingdrift-settings-{}.toml", std::process::id()));
    let file = file.to_string_lossy().to_string();
    let write = |text: &str| std::fs::write(&file, text).expect("failed to write the file");
    for (extra_flags, named) in [
        (vec!["--listen", "localhost:7000"], "listen"),
        (vec!["--http", "127.0.0.1:7001"], "http"),
        (vec!["--seeds", "x"], "seeds"),
        (vec!["--zone", ""], "zone"),
        (vec!["--log", "loud"], "log"),
        (vec!["--data", "/tmp/x"], "data"),
        (vec!["--settings", "/no/such/file"], "--settings"),
        (vec!["--colour"], "--help"),
    ] {
        let mut arguments = vec!["--check"];
        arguments.extend(&extra_flags);
        let (code, output) = run_role("node", &arguments);
        assert!(
            code == 2 && output.contains(named),
            "{extra_flags:?}: {code} {output}"
        );
    }
    for (toml, named) in [
        ("colour = 1", "colour"),
        ("[bounds]\ncancel_ms = \"x\"", "cancel_ms"),
        ("[bounds]\ncancel_ms = 10", "bounds.cancel_ms"),
        ("[hopper]\nepsilon = 2.0", "hopper.epsilon"),
        ("zone = ", "invalid settings file"),
    ] {
        write(toml);
        let (code, output) = run_role("node", &["--check", "--settings", &file]);
        assert!(
            code == 2 && output.contains(named),
            "{toml}: {code} {output}"
        );
    }
    write("zone = \"from-file\"\n[limits]\nretain_ms = 60000\n");
    assert_eq!(run_role("node", &["--check", "--settings", &file]).0, 0);
    assert_eq!(
        run_role("core", &["--check"]).0,
        2,
        "a core without a data folder"
    );
    let _ = std::fs::remove_file(&file);
}

#[test]
fn help_exits_with_0_and_invalid_commands_with_2_or_3() {
    for arguments in [
        &["--help"][..],
        &["core", "--help"],
        &["node", "--help"],
        &["operator", "--help"],
        &["operator", "drain", "--help"],
        &["verify", "--help"],
        &["replay", "--help"],
    ] {
        let (code, output) = run(arguments);
        assert!(
            code == 0 && output.len() > 20,
            "{arguments:?}: {code} {output}"
        );
    }
    for arguments in [
        &[][..],
        &["captain"],
        &["operator"],
        &["operator", "dance"],
        &["operator", "apply"],
        &["operator", "apply", "/no/such"],
        &["verify"],
        &["verify", "/no/such"],
        &["replay"],
        &["replay", "check", "/no/such"],
        &["replay", "record", "/no/such", "x"],
    ] {
        let (code, output) = run(arguments);
        assert!(
            code == 2 && !output.contains("panicked"),
            "{arguments:?}: {code} {output}"
        );
    }
    let (code, output) = run(&["operator", "--at", "127.0.0.1:9", "--within", "0", "status"]);
    assert!(code == 3 && output.contains("--at"), "{code} {output}");
}

#[test]
fn a_folder_with_other_files_is_rejected_without_a_panic() {
    let folder = std::env::temp_dir().join(format!("landingdrift-foreign-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("failed to create the folder");
    std::fs::write(folder.join("photos.txt"), "mine").expect("failed to write the file");
    let (code, output) = run_role("core", &["--data", &folder.to_string_lossy()]);
    assert!(
        code == 1 && output.contains("is not a landingdrift data folder"),
        "{code} {output}"
    );
    let _ = std::fs::remove_dir_all(&folder);
}
