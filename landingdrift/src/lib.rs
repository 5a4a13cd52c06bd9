//! landingdrift: a cluster scheduler for jobs on workers that may leave at any time.
//!
//! Every part (a replica, a node, a worker proxy) is a [`sans_io::StateMachine`], which handles one message at a time and
//! returns effects. The daemon and the simulator of the test kit run the same parts. See docs/architecture.md.

#![warn(missing_docs)]

pub mod cluster_time;
pub mod config;
pub mod consensus;
pub mod daemon;
pub mod disk;
pub mod node;
pub mod operator;
pub mod peer_sampler;
pub mod replay;
pub mod sans_io;
pub mod settings;
pub mod snapshot_chunks;
pub mod state;
pub mod wire;
pub mod worker_proxy;

/// Prints a line to standard output. Unlike `println!`, it ignores errors such as a closed pipe instead of panicking.
#[macro_export]
macro_rules! outln {
    ($($text:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($text)*);
    }};
}
