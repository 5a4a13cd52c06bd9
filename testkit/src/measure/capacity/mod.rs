//! What each role costs at several sizes, and what that says of the users' target.

mod fit;
mod footprint;
mod load;
mod meter;
mod metered_day;
mod table;
mod target;

pub use fit::{fit, Fit};
pub use footprint::{memory_of_a_byte, State};
pub use load::{config, info, job, ROOM, TASKS};
pub use meter::Tally;
pub use metered_day::{MeteredDay, Role, RoleTally, Run, Size};
pub use table::report;
pub use target::{Target, QUEUES, TARGET, ZONES};

/// Workers where no size is given.
const DEFAULT_WORKERS: usize = 40;

/// The sizes to run: workers, nodes and starts grown alike, then one held or doubled at a time; the largest comes last.
pub fn sizes(workers: &[usize]) -> Vec<Size> {
    let starts_per_worker = TARGET.starts / TARGET.workers;
    let size = |workers: usize, nodes: usize, load: f64| Size {
        workers,
        nodes,
        starts: starts_per_worker * workers as f64 * load,
    };
    let least = workers.iter().copied().min().unwrap_or(DEFAULT_WORKERS);
    let most = workers.iter().copied().max().unwrap_or(DEFAULT_WORKERS);
    let mut sizes = vec![
        size(most, least, 1.0),
        size(least, most, 1.0),
        size(least, least, 2.0),
        size(most, most, 0.5),
    ];
    sizes.extend(workers.iter().map(|workers| size(*workers, *workers, 1.0)));
    sizes
}
