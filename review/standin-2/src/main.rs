//! Runs one scripted case: `review-2 CASE FOLDER REPOSITORY`. Writes `record.txt` into the folder. Exits with 1 if the rule
//! was broken, with 0 if it held, and with 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod cancelled_job;
mod client;
mod deployment;
mod fleet;
mod http;
mod job_texts;
mod new_setting;
mod operator;
mod record;
mod stale_evacuation;
mod worker;

use record::Record;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A case that has not ended by then could not run; the limit for a script is 120 s.
const TIME: Duration = Duration::from_secs(116);

/// The result of a case.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

impl Verdict {
    fn from_breaks(breaks: usize) -> Self {
        if breaks == 0 {
            Self::Held
        } else {
            Self::Broken
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, repository] = arguments.as_slice() else {
        eprintln!("review-2 CASE FOLDER REPOSITORY");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let repository = PathBuf::from(repository);
    let file = Path::new(folder).join("record.txt");
    end_in_time(case.clone(), record.clone(), file.clone());
    let outcome = catch_unwind(AssertUnwindSafe(|| {
        run(case, &repository, trouble, &record)
    }));
    let result = outcome.unwrap_or_else(|_| Err("the case panicked".into()));
    fleet::kill_started();
    let (code, text) = match result {
        Ok(Verdict::Held) => (0, "the rule held".to_string()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_string()),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.note(&text);
    record.write(&file);
    println!("{case}: {text}");
    std::process::exit(code);
}

/// Ends the case, and all processes that it started, when its time is over.
fn end_in_time(case: String, record: Record, file: PathBuf) {
    std::thread::spawn(move || {
        std::thread::sleep(TIME);
        fleet::kill_started();
        record.note("the case could not run: its time is over");
        record.write(&file);
        println!("{case}: the case could not run: its time is over");
        std::process::exit(2);
    });
}

fn run(case: &str, repository: &Path, trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "cancelled-job" => cancelled_job::run(repository, trouble, record),
        "new-setting" => new_setting::run(repository, trouble, record),
        "stale-evacuation" => stale_evacuation::run(repository, trouble, record),
        "job-texts" => job_texts::run(repository, trouble, record),
        _ => Err("there is no such case".into()),
    }
}
