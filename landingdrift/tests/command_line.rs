//! The program as a new user meets it: wrong flags, broken settings, wrong words.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> (i32, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(env!("CARGO_BIN_EXE_landingdrift"))
        .args(arguments)
        .output()
        .expect("the program runs");
    (
        status.code().unwrap_or(-1),
        String::from_utf8_lossy(&stdout).to_string() + &String::from_utf8_lossy(&stderr),
    )
}

const GOOD: &[&str] = &[
    "--listen",
    "127.0.0.1:7001",
    "--http",
    "127.0.0.1:8001",
    "--zone",
    "z0",
    "--seeds",
    "127.0.0.1:7001",
];

fn with(role: &str, more: &[&str]) -> (i32, String) {
    let mut arguments = vec![role];
    arguments.extend(GOOD);
    arguments.extend(more);
    run(&arguments)
}

#[test]
fn every_wrong_setting_is_named_with_its_remedy() {
    let file =
        std::env::temp_dir().join(format!("landingdrift-settings-{}.toml", std::process::id()));
    let file = file.to_string_lossy().to_string();
    let text = |t: &str| std::fs::write(&file, t).expect("written");
    for (more, named) in [
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
        arguments.extend(&more);
        let (code, said) = with("node", &arguments);
        assert!(code == 2 && said.contains(named), "{more:?}: {code} {said}");
    }
    for (toml, named) in [
        ("colour = 1", "colour"),
        ("[bounds]\ncancel_ms = \"x\"", "cancel_ms"),
        ("[bounds]\ncancel_ms = 10", "bounds.cancel_ms"),
        ("[hopper]\nepsilon = 2.0", "hopper.epsilon"),
        ("zone = ", "wrong"),
    ] {
        text(toml);
        let (code, said) = with("node", &["--check", "--settings", &file]);
        assert!(code == 2 && said.contains(named), "{toml}: {code} {said}");
    }
    text("zone = \"from-file\"\n[limits]\nretain_ms = 60000\n");
    assert_eq!(with("node", &["--check", "--settings", &file]).0, 0);
    assert_eq!(
        with("core", &["--check"]).0,
        2,
        "a core without a data folder"
    );
    let _ = std::fs::remove_file(&file);
}

#[test]
fn help_is_to_be_had_everywhere_and_wrong_words_have_their_code() {
    for arguments in [
        &["--help"][..],
        &["core", "--help"],
        &["node", "--help"],
        &["operator", "--help"],
        &["operator", "drain", "--help"],
        &["verify", "--help"],
        &["replay", "--help"],
    ] {
        let (code, said) = run(arguments);
        assert!(code == 0 && said.len() > 20, "{arguments:?}: {code} {said}");
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
        let (code, said) = run(arguments);
        assert!(
            code == 2 && !said.contains("panicked"),
            "{arguments:?}: {code} {said}"
        );
    }
    let (code, said) = run(&["operator", "--at", "127.0.0.1:9", "--within", "0", "status"]);
    assert!(code == 3 && said.contains("--at"), "{code} {said}");
}

#[test]
fn a_foreign_folder_is_refused_without_a_panic() {
    let p = std::env::temp_dir().join(format!("landingdrift-foreign-{}", std::process::id()));
    std::fs::create_dir_all(&p).expect("made");
    std::fs::write(p.join("photos.txt"), "mine").expect("written");
    let (code, said) = with("core", &["--data", &p.to_string_lossy()]);
    assert!(
        code == 1 && said.contains("something else"),
        "{code} {said}"
    );
    let _ = std::fs::remove_dir_all(&p);
}
