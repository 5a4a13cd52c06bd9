//! Plays the cases of a review against the project's programs as real processes.
//!
//! `review-standin-3 CASE RECORD`; the environment gives REVIEW_ROOT (the repository), REVIEW_TEMP (a temporary folder)
//! and TROUBLE (0: without the disruption). Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.

mod client;
mod deployment;
mod evacuated_again;
mod http;
mod late_submission;
mod late_times;
mod link;
mod lost_seeds;
mod record;
mod worker;

use record::Record;
use std::process::exit;

/// Whether the rule was broken, or why the case couldn't run.
pub type Outcome = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("review-standin-3 CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            exit(2);
        }
    };
    let outcome = match case.as_str() {
        "evacuated-again" => evacuated_again::play(&record, trouble),
        "lost-seeds" => lost_seeds::play(&record, trouble),
        "late-submission" => late_submission::play(&record, trouble),
        "late-times" => late_times::play(&record, trouble),
        other => Err(format!("no case is called {other}")),
    };
    let (text, status) = match outcome {
        Ok(true) => ("the rule was broken".to_string(), 1),
        Ok(false) => ("the rule held".to_string(), 0),
        Err(error) => (format!("the case couldn't run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(status);
}
