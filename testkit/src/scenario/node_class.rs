//! Classes of machines that run nodes.

use serde::{Deserialize, Serialize};

/// The share of the usual machine's processor, in thousandths of a core.
const USUAL_SHARE: u32 = 1000;

/// Machines of one class that run a node each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeClass {
    pub count: usize,
    /// The share of a processor, in thousandths of a core. A node with little of it follows a light copy of the state.
    #[serde(default = "usual_share")]
    pub share: u32,
    /// The bandwidth of the link, in thousand bits a second; 0 where it is never the bottleneck.
    #[serde(default)]
    pub link_kbps: u64,
}

fn usual_share() -> u32 {
    USUAL_SHARE
}

impl Default for NodeClass {
    fn default() -> Self {
        Self {
            count: 0,
            share: USUAL_SHARE,
            link_kbps: 0,
        }
    }
}
