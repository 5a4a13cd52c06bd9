use landingdrift::record::Record;

fn resident() -> f64 {
    std::fs::read_to_string("/proc/self/status")
        .unwrap_or_default()
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .and_then(|l| l.trim().trim_end_matches(" kB").trim().parse::<f64>().ok())
        .map_or(0.0, |kb| kb * 1024.0)
}

/// Resident bytes that a record takes in memory for each byte that it is long when packed.
pub fn memory_of_a_byte(packed: &[u8]) -> f64 {
    let copies = (48 << 20) / packed.len().max(1) + 1;
    let before = resident();
    let all: Vec<Record> = (0..copies)
        .filter_map(|_| Record::unpack(packed).ok())
        .collect();
    let grown = resident() - before;
    let bytes = all.len() * packed.len();
    drop(all);
    grown / bytes.max(1) as f64
}
