//! The command `verify`: checks the data folder of a stopped replica for damage.

use crate::disk;
use crate::sans_io::roles::Role;
use std::ffi::OsString;
use std::path::Path;

inventory::submit! { Role { name: "verify", summary: "checks the data folder of a stopped core for damage", run } }

fn run(arguments: Vec<OsString>) -> i32 {
    let folder = arguments
        .first()
        .and_then(|word| word.to_str())
        .filter(|word| !word.starts_with('-') && arguments.len() == 1);
    let Some(folder) = folder else {
        let help = arguments
            .first()
            .is_some_and(|word| word == "--help" || word == "-h");
        crate::outln!("landingdrift verify FOLDER\n\nChecks the data folder of a stopped core and prints the findings as JSON.\nExit codes: 0 intact, 1 damaged, 2 invalid command line or not a data folder.");
        return if help { 0 } else { 2 };
    };
    match disk::verify(Path::new(folder)) {
        Ok(findings) => {
            crate::outln!("{}", serde_json::to_string(&findings).unwrap_or_default());
            if findings.damaged {
                eprintln!("landingdrift verify: acknowledged entries can't be read: start the core, which fetches them from the other cores, or replace the core with an empty one");
            }
            i32::from(findings.damaged)
        }
        Err(error) => {
            eprintln!("landingdrift verify: {error}");
            2
        }
    }
}
