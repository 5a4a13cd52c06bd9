//! Stand-in clients.

use crate::http::{self, Call, NoReply};
use crate::operator::{HOST, PREFIX};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a client waits for an answer.
pub const DEADLINE_MS: u64 = 3000;

/// Sends a call about a job to a node; returns the status and the body.
pub fn job_call(
    node: SocketAddr,
    method: &str,
    id: &str,
    body: &str,
    patience: Duration,
) -> Result<(u16, String), NoReply> {
    let path = format!("{PREFIX}{id}");
    let call = Call {
        method,
        path: &path,
        host: HOST,
        headers: &[("X-Landingdrift-Deadline-Ms", DEADLINE_MS.to_string())],
        body,
    };
    let reply = http::call(node, &call, patience)?;
    Ok((
        reply.status,
        String::from_utf8_lossy(&reply.body).to_string(),
    ))
}

/// An ID of 16 hex digits.
pub fn job_id(kind: u64, number: u64) -> String {
    format!("{:08x}{:08x}", 0x5c0e_0000 + kind, number)
}
