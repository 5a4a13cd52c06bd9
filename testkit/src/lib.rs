//! The test kit: a simulator, fakes of workers, clients and operators, a fleet of real processes on one machine, a model
//! checker of the replicas, and checkers of what must never happen.

mod calls;
pub mod checkers;
pub mod cli;
pub mod explorer;
pub mod fakes;
pub mod fleet;
pub mod history;
pub mod measure;
pub mod scale;
pub mod scenario;
pub mod simulator;
