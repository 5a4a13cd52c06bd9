//! The `testkit` program.

use landingdrift_testkit::cli;

fn main() {
    let arguments = std::env::args_os().skip(1).collect();
    std::process::exit(cli::run(arguments));
}
