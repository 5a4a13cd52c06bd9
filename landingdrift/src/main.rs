//! The program `landingdrift`, with one subcommand per role.

use landingdrift::sans_io::roles;
use std::ffi::OsString;

/// The exit code for an invalid command line.
const EXIT_USAGE: i32 = 2;

fn main() {
    let mut arguments = std::env::args_os().skip(1);
    let name = arguments.next().unwrap_or_default();
    let name = name.into_string().unwrap_or_default();
    let code = run(&name, arguments.collect());
    std::process::exit(code);
}

/// Runs the named role; returns the exit code.
fn run(name: &str, arguments: Vec<OsString>) -> i32 {
    if let Some(role) = roles::all().into_iter().find(|role| role.name == name) {
        return (role.run)(arguments);
    }
    match name {
        "--version" => {
            landingdrift::outln!("landingdrift {}", env!("CARGO_PKG_VERSION"));
            0
        }
        "--help" | "-h" | "help" => {
            landingdrift::outln!("{}", usage());
            0
        }
        "" => {
            eprintln!("{}", usage());
            EXIT_USAGE
        }
        _ => {
            eprintln!("unknown role '{name}'\n\n{}", usage());
            EXIT_USAGE
        }
    }
}

fn usage() -> String {
    let mut text = String::from("landingdrift ROLE [flags]\n\nRoles:\n");
    for role in roles::all() {
        text += &format!("  {:<10} {}\n", role.name, role.summary);
    }
    text + "\nRun 'landingdrift ROLE --help' for the flags of a role."
}
