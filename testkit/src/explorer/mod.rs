//! A model checker for the machines: it drives the real `step` functions of a few of them, without nodes and workers,
//! through orders of delivery, loss, crashes, lost disks and membership changes, and checks invariants after each step.
//!
//! [`search`] walks every order of events to a stated depth; [`walk`] takes long random ways in virtual time.

mod client;
pub mod cluster;
pub mod ledger;
pub mod planted_bug;
pub mod search;
mod time;
pub mod trouble;
pub mod walk;
