//! The scale run: it starts, stops by itself, measures what each process took; wrong arguments are refused with the remedy.

use landingdrift_testkit::fleet::program;
use landingdrift_testkit::scale::{run, usage, Options};
use std::process::Command;

#[test]
fn a_small_run_starts_tasks_and_measures_what_each_process_took() {
    let folder = std::env::temp_dir().join(format!("landingdrift-scaled-{}", std::process::id()));
    // Two runs in one process don't meet.
    for run_index in 0..2 {
        let options = Options {
            workers: 14,
            nodes: 3,
            run_index,
            // A job a second in the mean, so that some are submitted within the time measured.
            starts: 60.0,
            seconds: 9,
            program: program(),
            folder: folder.join(run_index.to_string()),
            seed: 4,
        };
        let outcome = run(&options).unwrap_or_else(|e| panic!("{e}; logs in {}", folder.display()));
        assert!(
            outcome.starts > 0.0 && outcome.jobs > 0,
            "{}",
            outcome.starts
        );
        assert_eq!(outcome.usage.len(), 3 + 4 + 1);
        assert!(outcome.usage.iter().all(|process| process.resident > 0));
        assert!(outcome
            .usage
            .iter()
            .any(|process| process.name.starts_with("core leader")));
        assert!(outcome.each_start_ms.len() >= outcome.first_start_ms.len());
    }
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_process_that_is_not_there_took_nothing() {
    assert_eq!(usage(u32::MAX), Default::default());
    assert!(usage(std::process::id()).resident > 1 << 20);
}

#[test]
fn wrong_words_are_refused_with_the_remedy() {
    let cases: [(&[&str], &str); 8] = [
        (&["capacity", "--sizes", "40,80"], "at least three sizes"),
        (&["capacity", "--sizes", "40,x,80"], "numbers of workers"),
        (&["capacity", "--seconds", "5"], "10 to 600"),
        (
            &["capacity", "--record", "no-such-file"],
            "name a packed record",
        ),
        (&["scale", "--sizes", "5000"], "from 1 to 1000"),
        (&["scale", "--nodes", "500"], "1 to 200"),
        (&["scale", "--seconds", "7200"], "6 to 600"),
        (
            &["scale", "--sizes", "2", "--program", "no-such-program"],
            "cargo build",
        ),
    ];
    for (arguments, remedy) in cases {
        let out = Command::new(env!("CARGO_BIN_EXE_testkit"))
            .args(arguments)
            .output()
            .expect("the program runs");
        let message = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{arguments:?}: {message}");
        assert!(message.contains(remedy), "{arguments:?}: {message}");
    }
}
