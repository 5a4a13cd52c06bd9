//! What processes take of the machine, as Linux tells it under `/proc`.

use std::fs;

/// The clock of `/proc/PID/stat` ticks a hundred times a second on Linux.
const MS_PER_CLOCK_TICK: u64 = 10;

/// Fields between the command's name and the user time in `/proc/PID/stat`.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// What a process has taken so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Resident memory in bytes.
    pub resident: u64,
    /// The most resident memory so far, in bytes.
    pub peak_resident: u64,
    /// Processor time of all threads, in the program and in the kernel, in milliseconds.
    pub processor_ms: u64,
}

/// What a process has taken so far; nothing where there is none.
pub fn usage(pid: u32) -> Usage {
    let read = |file: &str| fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap_or_default();
    let status = read("status");
    Usage {
        resident: memory(&status, "VmRSS:"),
        peak_resident: memory(&status, "VmHWM:"),
        processor_ms: processor_ticks(&read("stat")) * MS_PER_CLOCK_TICK,
    }
}

/// A figure of `/proc/PID/status`, in bytes.
fn memory(status: &str, key: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(key));
    let kilobytes = line.map_or("", |value| value.trim().trim_end_matches("kB").trim());
    kilobytes
        .parse()
        .map_or(0, |kilobytes: u64| kilobytes * 1024)
}

/// User and system time of `/proc/PID/stat`.
fn processor_ticks(stat: &str) -> u64 {
    // The command's name is in brackets, as it may hold blanks.
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let fields = after_name.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let times = fields.take(2).filter_map(|ticks| ticks.parse::<u64>().ok());
    times.sum()
}

/// This process's child that was told to listen at an address.
pub fn child_at(address: &str) -> Option<u32> {
    for task in fs::read_dir("/proc/self/task").ok()?.flatten() {
        let children = fs::read_to_string(task.path().join("children")).unwrap_or_default();
        let mut pids = children
            .split_whitespace()
            .filter_map(|pid| pid.parse().ok());
        let child = pids.find(|pid| has_argument(*pid, address));
        if child.is_some() {
            return child;
        }
    }
    None
}

fn has_argument(pid: u32, argument: &str) -> bool {
    let command_line = fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
    let mut arguments = command_line.split(|byte| *byte == 0);
    arguments.any(|given| given == argument.as_bytes())
}
