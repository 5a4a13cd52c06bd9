//! Messages between the system's own processes, as flatbuffers.

#[allow(warnings, clippy::all)]
mod generated {
    include!(concat!(env!("OUT_DIR"), "/wire.rs"));
}

pub use generated::wire::*;

use std::fmt;

/// The version of the wire format that this build speaks.
pub const WIRE_VERSION: u16 = 4;

/// The outcome of a proposal: it was applied, and `response` says with which result.
pub const PROPOSAL_APPLIED: u8 = 0;
/// The outcome of a proposal: the replica does not lead, or not yet, and has appended nothing.
pub const PROPOSAL_NOT_APPENDED: u8 = 1;
/// The outcome of a proposal: the leader has no memory for the job and has appended nothing.
pub const PROPOSAL_NO_CAPACITY: u8 = 2;

/// Why a frame was refused.
#[derive(Debug, Clone, PartialEq)]
pub enum WireError {
    /// The bytes are no envelope.
    Malformed(String),
    /// The sender speaks another version.
    Version(u16),
    /// The sender belongs to another cluster.
    Cluster(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Malformed(why) => write!(f, "not a frame of this system ({why}): point the sender at this process's HTTP address instead"),
            Self::Version(v) => write!(
                f,
                "the sender speaks wire version {v}, this build does not: upgrade the older of the two, as docs/operators/rollouts.md says"
            ),
            Self::Cluster(c) => write!(f, "the sender belongs to cluster '{c}': correct `cluster` or `seeds` in one of the two settings"),
        }
    }
}

/// Turns an envelope into bytes.
pub fn pack(cluster: &str, from: &str, body: &Body) -> Vec<u8> {
    pack_with_version(WIRE_VERSION, cluster, from, body)
}

/// The same, as a build that speaks another version would.
pub fn pack_with_version(version: u16, cluster: &str, from: &str, body: &Body) -> Vec<u8> {
    let env = Envelope {
        version,
        cluster: cluster.into(),
        from: from.into(),
        body: body.clone(),
    };
    planus::Builder::new().finish(env, None).to_vec()
}

/// Reads an envelope and checks its version and cluster.
pub fn unpack(cluster: &str, bytes: &[u8]) -> Result<Envelope, WireError> {
    unpack_with_version(WIRE_VERSION, cluster, bytes)
}

/// The same, as a build that speaks another version would.
pub fn unpack_with_version(
    version: u16,
    cluster: &str,
    bytes: &[u8],
) -> Result<Envelope, WireError> {
    let read = || -> planus::Result<Envelope> {
        let env: EnvelopeRef = planus::ReadAsRoot::read_as_root(bytes)?;
        env.try_into()
    };
    let env = read().map_err(|e| WireError::Malformed(e.to_string()))?;
    (env.version == version)
        .then_some(())
        .ok_or(WireError::Version(env.version))?;
    (env.cluster == cluster)
        .then_some(())
        .ok_or(WireError::Cluster(env.cluster.clone()))?;
    Ok(env)
}
