//! The `testkit` program: runs a command line, and exits with the code that the command returns.

use landingdrift_testkit::cli;

fn main() {
    let arguments = std::env::args_os().skip(1).collect();
    std::process::exit(cli::run(arguments));
}
