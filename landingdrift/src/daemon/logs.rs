//! Logging to standard error, one line per record.

use flexi_logger::{LogSpecification, Logger, LoggerHandle};

/// Starts logging to standard error at a level; `None` if a logger is installed already.
pub fn start(level: &str) -> Option<LoggerHandle> {
    Logger::with(spec(level))
        .log_to_stderr()
        .format(write_line)
        .start()
        .ok()
}

/// The log specification for a level. The level applies to landingdrift itself; libraries log warnings only.
pub fn spec(level: &str) -> LogSpecification {
    LogSpecification::parse(format!("warn,landingdrift={level},_=off"))
        .unwrap_or_else(|_| LogSpecification::info())
}

fn write_line(
    out: &mut dyn std::io::Write,
    now: &mut flexi_logger::DeferredNow,
    record: &log::Record,
) -> std::io::Result<()> {
    write!(
        out,
        "{} {} {}",
        now.format_rfc3339(),
        record.level(),
        record.args()
    )
}
