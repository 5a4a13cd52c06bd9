use crate::disk;
use crate::sans_io::roles::Role;
use std::ffi::OsString;
use std::path::Path;

inventory::submit! { Role { name: "verify", summary: "looks through a core's data folder while the core is stopped", run } }

fn run(arguments: Vec<OsString>) -> i32 {
    let folder = arguments
        .first()
        .and_then(|w| w.to_str())
        .filter(|w| !w.starts_with('-') && arguments.len() == 1);
    let Some(folder) = folder else {
        let help = arguments
            .first()
            .is_some_and(|w| w == "--help" || w == "-h");
        crate::outln!("landingdrift verify FOLDER\n\nPrints what the data folder of a stopped core holds, as JSON.\nExit codes: 0 whole, 1 damaged, 2 wrong command line or no data folder.");
        return if help { 0 } else { 2 };
    };
    match disk::verify(Path::new(folder)) {
        Ok(f) => {
            crate::outln!("{}", serde_json::to_string(&f).unwrap_or_default());
            if f.damaged {
                eprintln!("landingdrift verify: confirmed entries can't be read: start the core, it fetches them from the other two, or replace it by an empty one");
            }
            i32::from(f.damaged)
        }
        Err(e) => {
            eprintln!("landingdrift verify: {e}");
            2
        }
    }
}
