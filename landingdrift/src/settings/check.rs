//! Validation of settings; each error contains the name of the setting and the remedy.

use super::read::SettingsError;
use super::{Bounds, Hopper, Limits, Settings};
use std::net::SocketAddr;

/// Upper limit of the settings for the size of a job or a configuration, in bytes.
const MAX_BODY_BYTES: u64 = 32 << 20;
/// Maximum number of voting replicas; limited because each log entry is sent to all of them.
const MAX_VOTERS: u32 = 15;
/// Minimum memory for jobs, in bytes.
const MIN_JOBS_MEMORY_BYTES: u64 = 1 << 20;
/// Minimum memory for HTTP clients, in bytes.
const MIN_HTTP_MEMORY_BYTES: u64 = 1 << 20;
/// Minimum number of connections of HTTP clients.
const MIN_HTTP_CONNECTIONS: u64 = 16;
/// Minimum of `bounds.config_ms` and `bounds.leave_ms`, in milliseconds: ticks are a hundredth of the former apart.
const MIN_BOUND_MS: u64 = 400;

/// Validates all settings; returns the first error.
pub(super) fn check(settings: &Settings, is_replica: bool) -> Result<(), SettingsError> {
    check_addresses(settings)?;
    check_process(settings, is_replica)?;
    check_bounds(&settings.bounds)?;
    check_limits(&settings.limits, &settings.bounds)?;
    check_hopper(&settings.hopper)
}

/// Returns an error about a setting unless a condition holds.
fn ensure(holds: bool, setting: &'static str, remedy: &str) -> Result<(), SettingsError> {
    if holds {
        return Ok(());
    }
    Err(SettingsError::Value {
        setting,
        remedy: remedy.into(),
    })
}

/// Whether a text is an address that other processes can connect to: a port, and an IP address other than the
/// unspecified one.
fn is_reachable(address: &str) -> bool {
    let parsed = address.parse::<SocketAddr>();
    parsed.is_ok_and(|address| address.port() != 0 && !address.ip().is_unspecified())
}

fn check_addresses(settings: &Settings) -> Result<(), SettingsError> {
    ensure(
        !settings.cluster.is_empty(),
        "cluster",
        "give the cluster a name",
    )?;
    ensure(
        is_reachable(&settings.listen),
        "listen",
        "give an IP address and port that other processes can reach, for example 10.0.0.1:7000",
    )?;
    ensure(
        is_reachable(&settings.http),
        "http",
        "give an IP address and port that clients can reach, for example 10.0.0.1:8000",
    )?;
    ensure(
        settings.listen != settings.http,
        "http",
        "give a port other than the one of 'listen'",
    )?;
    ensure(
        !settings.zone.is_empty(),
        "zone",
        "name the zone of this machine",
    )?;
    ensure(
        !settings.seeds.is_empty() && settings.seeds.iter().all(|address| is_reachable(address)),
        "seeds",
        "give one to three IP:PORT addresses of other processes, separated by commas",
    )?;
    ensure(
        settings
            .founders
            .iter()
            .all(|address| is_reachable(address)),
        "founders",
        "give the IP:PORT addresses of the initial replicas (cores)",
    )?;
    Ok(())
}

fn check_process(settings: &Settings, is_replica: bool) -> Result<(), SettingsError> {
    ensure(
        !is_replica || !settings.data.is_empty(),
        "data",
        "a replica (core) requires a data folder: give one",
    )?;
    ensure(
        is_replica || settings.data.is_empty(),
        "data",
        "a node stores nothing on disk: remove this setting",
    )?;
    ensure(
        ["error", "warn", "info", "debug"].contains(&settings.log.as_str()),
        "log",
        "give error, warn, info or debug",
    )?;
    ensure(
        (1..=MAX_VOTERS).contains(&settings.voters) && settings.voters % 2 == 1,
        "voters",
        "give an odd number from 1 to 15: 2f+1 to tolerate the loss of f machines at once",
    )?;
    Ok(())
}

fn check_bounds(bounds: &Bounds) -> Result<(), SettingsError> {
    ensure(
        bounds.config_ms >= MIN_BOUND_MS,
        "bounds.desired_ms",
        "give at least 400",
    )?;
    ensure(
        bounds.cancel_ms >= bounds.config_ms,
        "bounds.cancel_ms",
        "give at least bounds.desired_ms",
    )?;
    ensure(
        bounds.leave_ms >= MIN_BOUND_MS,
        "bounds.leave_ms",
        "give at least 400",
    )?;
    ensure(
        bounds.state_ms >= bounds.config_ms,
        "bounds.state_ms",
        "give at least bounds.desired_ms",
    )?;
    ensure(
        bounds.evacuate_ms >= bounds.cancel_ms,
        "bounds.empty_ms",
        "give at least bounds.cancel_ms",
    )?;
    ensure(
        bounds.outage_ms >= 2 * bounds.cancel_ms,
        "bounds.outage_ms",
        "give at least twice bounds.cancel_ms",
    )?;
    ensure(
        bounds.replace_ms >= bounds.cancel_ms,
        "bounds.replace_ms",
        "give at least bounds.cancel_ms",
    )?;
    ensure(
        bounds.grace_ms >= bounds.config_ms,
        "bounds.grace_ms",
        "give at least bounds.desired_ms",
    )?;
    ensure(
        bounds.lease_ms == 0 || bounds.lease_ms >= bounds.cancel_ms,
        "bounds.hold_ms",
        "give 0, or at least bounds.cancel_ms",
    )?;
    ensure(
        bounds.heartbeat_ms == 0 || (20..=bounds.cancel_ms / 3).contains(&bounds.heartbeat_ms),
        "bounds.beat_ms",
        "give 0, or 20 to a third of bounds.cancel_ms",
    )?;
    Ok(())
}

fn check_limits(limits: &Limits, bounds: &Bounds) -> Result<(), SettingsError> {
    ensure(
        (1024..=MAX_BODY_BYTES).contains(&limits.job_bytes),
        "limits.job_bytes",
        "give 1024 to 33554432",
    )?;
    ensure(
        (1024..=MAX_BODY_BYTES).contains(&limits.config_bytes),
        "limits.desired_bytes",
        "give 1024 to 33554432",
    )?;
    ensure(limits.open_jobs >= 1, "limits.open_jobs", "give at least 1")?;
    ensure(
        limits.jobs_memory_bytes >= MIN_JOBS_MEMORY_BYTES,
        "limits.jobs_memory_bytes",
        "give at least 1048576",
    )?;
    ensure(limits.calls >= 1, "limits.calls", "give at least 1")?;
    ensure(
        limits.http_memory_bytes >= MIN_HTTP_MEMORY_BYTES,
        "limits.http_memory_bytes",
        "give at least 1048576",
    )?;
    ensure(
        limits.http_connections >= MIN_HTTP_CONNECTIONS,
        "limits.http_connections",
        "give at least 16",
    )?;
    ensure(
        limits.retain_ms >= bounds.state_ms,
        "limits.retain_ms",
        "give at least bounds.state_ms",
    )?;
    ensure(
        limits.identity_ms >= 60_000,
        "limits.identity_ms",
        "give at least 60000, longer than any client retries",
    )?;
    ensure(
        limits.snapshot_every >= 10,
        "limits.capture_every",
        "give at least 10",
    )?;
    ensure(
        limits.log_bytes >= 65_536,
        "limits.log_bytes",
        "give at least 65536",
    )?;
    ensure(
        limits.segment_bytes >= 4096,
        "limits.segment_bytes",
        "give at least 4096",
    )?;
    Ok(())
}

fn check_hopper(hopper: &Hopper) -> Result<(), SettingsError> {
    ensure(
        (1..=64).contains(&hopper.probe_ratio),
        "hopper.probe_ratio",
        "give 1 to 64",
    )?;
    ensure(hopper.refusals <= 16, "hopper.refusals", "give 0 to 16")?;
    ensure(
        (0.0..=1.0).contains(&hopper.epsilon),
        "hopper.epsilon",
        "give 0 to 1",
    )?;
    ensure(
        (0.0..=1.0).contains(&hopper.locality),
        "hopper.locality",
        "give 0 to 1",
    )?;
    ensure(
        hopper.slow_factor >= 1.0,
        "hopper.slow_factor",
        "give at least 1",
    )
}
