//! The command `verify`: checks the data folder of a stopped replica.

use crate::disk;
use crate::sans_io::roles::Role;
use std::ffi::OsString;
use std::path::Path;

inventory::submit! { Role { name: "verify", summary: "looks through a core's data folder while the core is stopped", run } }

fn run(arguments: Vec<OsString>) -> i32 {
    let folder = arguments
        .first()
        .and_then(|word| word.to_str())
        .filter(|word| !word.starts_with('-') && arguments.len() == 1);
    let Some(folder) = folder else {
        let help = arguments
            .first()
            .is_some_and(|word| word == "--help" || word == "-h");
        crate::outln!("landingdrift verify FOLDER\n\nPrints what the data folder of a stopped core holds, as JSON.\nExit codes: 0 whole, 1 damaged, 2 wrong command line or no data folder.");
        return if help { 0 } else { 2 };
    };
    match disk::verify(Path::new(folder)) {
        Ok(findings) => {
            crate::outln!("{}", serde_json::to_string(&findings).unwrap_or_default());
            if findings.damaged {
                eprintln!("landingdrift verify: confirmed entries can't be read: start the core, it fetches them from the other two, or replace it by an empty one");
            }
            i32::from(findings.damaged)
        }
        Err(why) => {
            eprintln!("landingdrift verify: {why}");
            2
        }
    }
}
