//! The simulation kit: a simulator, stand-in workers and clients, a fleet on one machine,
//! and checkers of what must never happen.

pub mod checkers;
pub mod cli;
pub mod explorer;
pub mod fleet;
pub mod history;
pub mod measure;
pub mod scale;
pub mod scenario;
pub mod simulator;
pub mod standin;
