//! What each role costs at several sizes, and what that says of the users' target.

mod clockwork;
mod fit;
mod footprint;
mod load;
mod meter;
mod table;
mod target;

pub use clockwork::{Clockwork, Duty, Run, Size};
pub use fit::{fit, Fit};
pub use footprint::{memory_of_a_byte, State};
pub use load::{config, info, job, ROOM, TASKS};
pub use meter::Tally;
pub use table::report;
pub use target::{Target, QUEUES, TARGET, ZONES};

/// The sizes to run: nodes and starts grown alike, then one held or doubled at a time; the largest comes last.
pub fn sizes(workers: &[usize]) -> Vec<Size> {
    let rate = TARGET.starts / TARGET.workers;
    let of = |workers: usize, nodes: usize, times: f64| Size {
        workers,
        nodes,
        starts: rate * workers as f64 * times,
    };
    let (least, most) = (
        workers.iter().copied().min().unwrap_or(40),
        workers.iter().copied().max().unwrap_or(40),
    );
    let held = [
        of(most, least, 1.0),
        of(least, most, 1.0),
        of(least, least, 2.0),
        of(most, most, 0.5),
    ];
    held.into_iter()
        .chain(workers.iter().map(|w| of(*w, *w, 1.0)))
        .collect()
}
