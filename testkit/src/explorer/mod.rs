//! A model checker for the replicas: it drives the real `step` functions of a few of them, without nodes and workers,
//! through orders of delivery, loss, crashes, lost disks and membership changes, and checks invariants after each step.
//!
//! [`search`] tries every order of events up to a depth; [`walk`] takes long random walks in virtual time.

mod client;
pub mod cluster;
pub mod fault;
mod injection;
mod inspect;
pub mod observations;
pub mod planted_bug;
pub mod search;
mod time;
pub mod walk;
mod walk_runner;
