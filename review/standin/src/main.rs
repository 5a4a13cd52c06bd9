//! Stand-ins and checks of the review's scripts: `review-standin CASE RECORD`, in the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0` the disruption is left
//! out.

mod cases;
mod client;
mod deployment;
mod http;
mod idle;
mod record;
mod worker;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, file] = arguments.as_slice() else {
        eprintln!("review-standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(file) {
        Ok(record) => record,
        Err(why) => {
            eprintln!("{file}: {why}");
            std::process::exit(2);
        }
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    let code = match cases::run(case, &record, trouble) {
        Ok(Verdict::Held(why)) => {
            record.line(&format!("HELD {why}"));
            println!("HELD {why}");
            0
        }
        Ok(Verdict::Broken(why)) => {
            record.line(&format!("BROKEN {why}"));
            println!("BROKEN {why}");
            1
        }
        Err(why) => {
            record.line(&format!("could not run: {why}"));
            println!("could not run: {why}");
            2
        }
    };
    std::process::exit(code);
}
