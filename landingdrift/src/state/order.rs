//! Orders: commands of operators and callers that take effect at most once.
//!
//! A node sends a proposal again when its answer does not come, so several copies may reach the log. Every copy of
//! an order carries the same identity and the same deadline; see `apply/orders.rs` for what becomes of them.

use super::Command;
use serde::{Deserialize, Serialize};

/// The identity of a proposal, the same on every copy of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ProposalId {
    /// The address of the node that proposes.
    pub proposer: String,
    /// The incarnation of that node's process.
    pub incarnation: u64,
    /// The number of the proposal in that incarnation.
    pub number: u64,
}

/// An order with its identity and its deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Order {
    /// What is ordered; it stands first, so that its kind can be told without reading all of it.
    pub action: Box<Command>,
    /// The identity of the proposal.
    pub proposal: ProposalId,
    /// By the cluster clock, in milliseconds since 1970: a copy that enters the log later has no effect.
    pub deadline: u64,
}
