/// What a process has taken so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub resident: u64,
    pub most: u64,
    /// Processor time in milliseconds, of all threads, in the program and in the sans-IO core.
    pub processor: u64,
}

/// What /proc says of a process.
pub fn usage(pid: u32) -> Usage {
    let read =
        |what: &str| std::fs::read_to_string(format!("/proc/{pid}/{what}")).unwrap_or_default();
    let status = read("status");
    let kb = |key: &str| {
        status
            .lines()
            .find_map(|l| l.strip_prefix(key))
            .and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<u64>().ok())
            .map_or(0, |kb| kb * 1024)
    };
    let stat = read("stat");
    // The name, in brackets, may hold blanks; user and system time are the 12th and 13th field after it.
    let ticks: u64 = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|n| n.parse::<u64>().ok())
        .sum();
    Usage {
        resident: kb("VmRSS:"),
        most: kb("VmHWM:"),
        processor: ticks * 10,
    }
}

/// This process's child that listens at an address.
pub fn child_at(listen: &str) -> Option<u32> {
    let children = std::fs::read_dir("/proc/self/task").ok()?;
    children
        .flatten()
        .filter_map(|t| std::fs::read_to_string(t.path().join("children")).ok())
        .flat_map(|all| {
            all.split_whitespace()
                .filter_map(|p| p.parse::<u32>().ok())
                .collect::<Vec<_>>()
        })
        .find(|pid| {
            std::fs::read(format!("/proc/{pid}/cmdline"))
                .is_ok_and(|c| c.split(|b| *b == 0).any(|w| w == listen.as_bytes()))
        })
}
