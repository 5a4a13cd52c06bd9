//! What the users' system has to carry.

/// What the users' system has to carry, and what control may cost.
pub struct Target {
    pub workers: f64,
    /// A node runs beside every worker, and two of the five machines set aside hold nodes (three hold replicas).
    pub nodes: f64,
    /// Task starts a second at the peak.
    pub starts: f64,
    pub running: f64,
    pub jobs_a_day: f64,
    /// Share of a core, in percent.
    pub core_percent: f64,
    /// Bytes a second.
    pub bytes: f64,
    /// Bytes of memory.
    pub memory: f64,
}

/// The users' target in about two years.
pub const TARGET: Target = Target {
    workers: 600.0,
    nodes: 602.0,
    starts: 270.0,
    running: 11_000.0,
    jobs_a_day: 5000.0,
    core_percent: 4.1,
    bytes: 6000.0,
    memory: 256e6,
};

/// Queues and zones of the target; every size has as many.
pub const QUEUES: usize = 24;
pub const ZONES: usize = 7;
/// The largest gang.
pub const GANG: u64 = 64;
