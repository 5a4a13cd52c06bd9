//! Orders: commands of operators and clients that take effect at most once.
//!
//! A node retries a proposal when no response arrives, so several copies may enter the log. Every copy of an order
//! carries the same identity and the same deadline; `apply/orders.rs` handles the duplicates.

use super::Command;
use serde::{Deserialize, Serialize};

/// Identity of a proposal, the same on every copy of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ProposalId {
    /// Address of the proposing node.
    pub proposer: String,
    /// Incarnation of that node's process.
    pub incarnation: u64,
    /// Sequence number of the proposal within that incarnation.
    pub number: u64,
}

/// An order with its identity and its deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Order {
    /// The command that the order carries. It must stay the first field: its kind is read from the bytes without
    /// decoding the rest.
    pub action: Box<Command>,
    /// Identity of the proposal.
    pub proposal: ProposalId,
    /// Deadline in milliseconds since 1970 by the cluster clock; a copy that enters the log later has no effect.
    pub deadline: u64,
}
