//! The test kit: a simulator, fake workers, clients and operators, a fleet of real processes on one machine, a model
//! checker of the replicas, and checkers of the system's promises.

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
