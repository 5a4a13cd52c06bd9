//! landingdrift: a scheduler for jobs on borrowed workers.
//!
//! Every part (a core's agreement, a node's cells, schedulers and calls) is a
//! [`kernel::Part`]: it takes one message at a time and gives effects back.
//! Daemons and the rehearsal's simulator run the same parts.

pub mod agreement;
pub mod chunks;
pub mod daemon;
pub mod desired;
pub mod disk;
pub mod kernel;
pub mod node;
pub mod operator;
pub mod record;
pub mod relay;
pub mod replay;
pub mod settings;
pub mod views;
pub mod wire;

/// Prints a line; a reader that went away is no reason to panic.
#[macro_export]
macro_rules! say {
    ($($text:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($text)*);
    }};
}
