//! Classes of machines that run nodes.

use serde::{Deserialize, Serialize};

/// The processor share of a default machine, in thousandths of a core.
const USUAL_SHARE: u32 = 1000;

/// Nodes on machines of one class, one node per machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeClass {
    /// The number of machines.
    pub count: usize,
    /// The share of a processor, in thousandths of a core. Nodes with a small share keep a partial copy of
    /// the state, without jobs and workers.
    #[serde(default = "usual_share")]
    pub share: u32,
    /// The bandwidth of the network link, in kilobits per second; 0 for unlimited.
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
