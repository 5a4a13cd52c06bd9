//! Which settings are right: each check names its setting and the remedy.

use super::read::SettingsError;
use super::{Bounds, Hopper, Limits, Settings};
use std::net::SocketAddr;

/// The most bytes of a body: of a job, or of a configuration.
const LARGEST_BODY: u64 = 32 << 20;
/// The most replicas that vote: each entry goes to all of them.
const MOST_VOTERS: u32 = 15;
/// The shortest bound in milliseconds: parts look at the time every hundredth of one.
const LEAST_MS: u64 = 400;

/// Checks all settings; the first that is wrong is told.
pub(super) fn check(s: &Settings, replica: bool) -> Result<(), SettingsError> {
    check_addresses(s)?;
    check_process(s, replica)?;
    check_bounds(&s.bounds)?;
    check_limits(&s.limits, &s.bounds)?;
    check_hopper(&s.hopper)
}

fn ensure(ok: bool, setting: &'static str, remedy: &str) -> Result<(), SettingsError> {
    if ok {
        return Ok(());
    }
    Err(SettingsError::Value {
        setting,
        remedy: remedy.into(),
    })
}

/// Whether others can connect to an address as it stands.
fn is_reachable(address: &str) -> bool {
    let parsed = address.parse::<SocketAddr>();
    parsed.is_ok_and(|a| a.port() != 0 && !a.ip().is_unspecified())
}

fn check_addresses(s: &Settings) -> Result<(), SettingsError> {
    ensure(!s.cluster.is_empty(), "cluster", "give the cluster a name")?;
    ensure(
        is_reachable(&s.listen),
        "listen",
        "give an IP number and port that other processes can reach, as in 10.0.0.1:7000",
    )?;
    ensure(
        is_reachable(&s.http),
        "http",
        "give an IP number and port that callers can reach, as in 10.0.0.1:8000",
    )?;
    ensure(
        s.listen != s.http,
        "http",
        "give a port other than the one of 'listen'",
    )?;
    ensure(!s.zone.is_empty(), "zone", "name the zone of this machine")?;
    ensure(
        !s.seeds.is_empty() && s.seeds.iter().all(|a| is_reachable(a)),
        "seeds",
        "give one to three IP:PORT addresses of other processes, separated by commas",
    )?;
    ensure(
        s.founders.iter().all(|a| is_reachable(a)),
        "founders",
        "give IP:PORT addresses of the first cores",
    )?;
    Ok(())
}

fn check_process(s: &Settings, replica: bool) -> Result<(), SettingsError> {
    ensure(
        !replica || !s.data.is_empty(),
        "data",
        "a core needs a data folder: give one",
    )?;
    ensure(
        replica || s.data.is_empty(),
        "data",
        "a node keeps nothing on disk: leave this out",
    )?;
    ensure(
        ["error", "warn", "info", "debug"].contains(&s.log.as_str()),
        "log",
        "give error, warn, info or debug",
    )?;
    ensure(
        (1..=MOST_VOTERS).contains(&s.voters) && s.voters % 2 == 1,
        "voters",
        "give an odd number from 1 to 15: 2f+1 where f machines may be lost at once",
    )?;
    Ok(())
}

fn check_bounds(b: &Bounds) -> Result<(), SettingsError> {
    ensure(
        b.config_ms >= LEAST_MS,
        "bounds.desired_ms",
        "give at least 400",
    )?;
    ensure(
        b.cancel_ms >= b.config_ms,
        "bounds.cancel_ms",
        "give at least bounds.desired_ms",
    )?;
    ensure(
        b.leave_ms >= LEAST_MS,
        "bounds.leave_ms",
        "give at least 400",
    )?;
    ensure(
        b.state_ms >= b.config_ms,
        "bounds.state_ms",
        "give at least bounds.desired_ms",
    )?;
    ensure(
        b.evacuate_ms >= b.cancel_ms,
        "bounds.empty_ms",
        "give at least bounds.cancel_ms",
    )?;
    ensure(
        b.outage_ms >= 2 * b.cancel_ms,
        "bounds.outage_ms",
        "give at least twice bounds.cancel_ms",
    )?;
    ensure(
        b.replace_ms >= b.cancel_ms,
        "bounds.replace_ms",
        "give at least bounds.cancel_ms",
    )?;
    ensure(
        b.grace_ms >= b.config_ms,
        "bounds.grace_ms",
        "give at least bounds.desired_ms",
    )?;
    ensure(
        b.lease_ms == 0 || b.lease_ms >= b.cancel_ms,
        "bounds.hold_ms",
        "give 0, or at least bounds.cancel_ms",
    )?;
    ensure(
        b.heartbeat_ms == 0 || (20..=b.cancel_ms / 3).contains(&b.heartbeat_ms),
        "bounds.beat_ms",
        "give 0, or 20 to a third of bounds.cancel_ms",
    )?;
    Ok(())
}

fn check_limits(l: &Limits, b: &Bounds) -> Result<(), SettingsError> {
    ensure(
        (1024..=LARGEST_BODY).contains(&l.job_bytes),
        "limits.job_bytes",
        "give 1024 to 33554432",
    )?;
    ensure(
        (1024..=LARGEST_BODY).contains(&l.config_bytes),
        "limits.desired_bytes",
        "give 1024 to 33554432",
    )?;
    ensure(l.open_jobs >= 1, "limits.open_jobs", "give at least 1")?;
    ensure(l.calls >= 1, "limits.calls", "give at least 1")?;
    ensure(
        l.retain_ms >= b.state_ms,
        "limits.retain_ms",
        "give at least bounds.state_ms",
    )?;
    ensure(
        l.identity_ms >= 60_000,
        "limits.identity_ms",
        "give at least 60000, longer than any client retries",
    )?;
    ensure(
        l.snapshot_every >= 10,
        "limits.capture_every",
        "give at least 10",
    )?;
    ensure(
        l.log_bytes >= 65_536,
        "limits.log_bytes",
        "give at least 65536",
    )?;
    ensure(
        l.segment_bytes >= 4096,
        "limits.segment_bytes",
        "give at least 4096",
    )?;
    Ok(())
}

fn check_hopper(h: &Hopper) -> Result<(), SettingsError> {
    ensure(
        (1..=64).contains(&h.probe_ratio),
        "hopper.probe_ratio",
        "give 1 to 64",
    )?;
    ensure(h.refusals <= 16, "hopper.refusals", "give 0 to 16")?;
    ensure(
        (0.0..=1.0).contains(&h.epsilon),
        "hopper.epsilon",
        "give 0 to 1",
    )?;
    ensure(
        (0.0..=1.0).contains(&h.locality),
        "hopper.locality",
        "give 0 to 1",
    )?;
    ensure(
        h.slow_factor >= 1.0,
        "hopper.slow_factor",
        "give at least 1",
    )
}
