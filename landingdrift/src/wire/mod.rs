//! The wire format of messages between the processes of a cluster: FlatBuffers envelopes with a version.

#[allow(warnings, clippy::all)]
mod generated {
    include!(concat!(env!("OUT_DIR"), "/wire.rs"));
}

pub use generated::wire::*;

use std::fmt;

/// The version of the wire format that this build speaks.
pub const WIRE_VERSION: u16 = 4;

/// The outcome of a proposal: it was applied, and `response` contains the result.
pub const PROPOSAL_APPLIED: u8 = 0;
/// The outcome of a proposal: the replica is not a leader that is ready to serve requests, and nothing was appended.
pub const PROPOSAL_NOT_APPENDED: u8 = 1;
/// The outcome of a proposal: the leader's limits leave no capacity for the job, and nothing was appended.
pub const PROPOSAL_NO_CAPACITY: u8 = 2;

/// The reason for which a frame was rejected.
#[derive(Debug, Clone, PartialEq)]
pub enum WireError {
    /// The bytes are not a valid envelope.
    Malformed(String),
    /// The sender uses another version of the wire format.
    Version(u16),
    /// The sender belongs to another cluster.
    Cluster(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Malformed(reason) => write!(f, "not a valid landingdrift frame ({reason}): an HTTP client must use this process's HTTP address instead"),
            Self::Version(v) => write!(
                f,
                "the sender uses wire version {v}, which this build does not support: upgrade the older of the two processes, see docs/operators/rollouts.md"
            ),
            Self::Cluster(c) => write!(f, "the sender belongs to cluster '{c}': correct `cluster` or `seeds` in the settings of one of the two processes"),
        }
    }
}

/// Encodes a message in an envelope of this build's version.
pub fn pack(cluster: &str, from: &str, body: &Body) -> Vec<u8> {
    pack_with_version(WIRE_VERSION, cluster, from, body)
}

/// Like [`pack`], but with the wire version of another build.
pub fn pack_with_version(version: u16, cluster: &str, from: &str, body: &Body) -> Vec<u8> {
    let env = Envelope {
        version,
        cluster: cluster.into(),
        from: from.into(),
        body: body.clone(),
    };
    planus::Builder::new().finish(env, None).to_vec()
}

/// Decodes an envelope and checks its version and cluster.
pub fn unpack(cluster: &str, bytes: &[u8]) -> Result<Envelope, WireError> {
    unpack_with_version(WIRE_VERSION, cluster, bytes)
}

/// Like [`unpack`], but for the wire version of another build.
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
