//! The program `landingdrift`: one subcommand per role.

use landingdrift::sans_io::roles;

fn main() {
    let mut arguments = std::env::args_os().skip(1);
    let name = arguments
        .next()
        .and_then(|w| w.into_string().ok())
        .unwrap_or_default();
    let rest: Vec<std::ffi::OsString> = arguments.collect();
    let code = roles::all().into_iter().find(|r| r.name == name).map(|r| (r.run)(rest)).unwrap_or_else(|| {
        let help = ["", "--help", "-h", "help"].contains(&name.as_str());
        if name == "--version" {
            landingdrift::outln!("landingdrift {}", env!("CARGO_PKG_VERSION"));
            return 0;
        }
        let text: String = roles::all().iter().map(|r| format!("  {:<10} {}\n", r.name, r.summary)).collect();
        let text = format!("landingdrift ROLE [flags]\n\nRoles:\n{text}\n'landingdrift ROLE --help' lists a role's flags.");
        if help && !name.is_empty() {
            landingdrift::outln!("{text}");
            return 0;
        }
        eprintln!("{}{text}", if name.is_empty() { String::new() } else { format!("no role is called '{name}'\n\n") });
        2
    });
    std::process::exit(code);
}
