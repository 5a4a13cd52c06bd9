use flexi_logger::{LogSpecification, Logger, LoggerHandle};

/// Starts logging to standard error.
pub fn start(level: &str) -> Option<LoggerHandle> {
    Logger::with(spec(level))
        .log_to_stderr()
        .format(line)
        .start()
        .ok()
}

/// The specification of a level: our own lines at it, the libraries' only when they warn.
pub fn spec(level: &str) -> LogSpecification {
    LogSpecification::parse(format!("warn,landingdrift={level},rocket=off,_=off"))
        .unwrap_or_else(|_| LogSpecification::info())
}

fn line(
    w: &mut dyn std::io::Write,
    now: &mut flexi_logger::DeferredNow,
    state: &log::Record,
) -> std::io::Result<()> {
    write!(
        w,
        "{} {} {}",
        now.format_rfc3339(),
        state.level(),
        state.args()
    )
}
