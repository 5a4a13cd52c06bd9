//! The cluster clock: a time on which the replicas agree.

use crate::sans_io::Now;
use std::collections::BTreeMap;

/// The number of clock readings, including the leader's own, with which the leader sets the time without waiting for
/// more.
const MIN_READINGS: usize = 5;
/// The number of clock readings that suffice once the leader has waited for more.
const MIN_READINGS_AFTER_WAIT: usize = 2;

/// The time according to a process, and whether it derives from the agreed time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// Milliseconds since 1970.
    pub time: u64,
    /// Whether `time` is the agreed time, received after the process started and extrapolated by its monotonic clock.
    /// Otherwise `time` is the wall clock of the machine.
    pub is_agreed: bool,
}

/// A cluster time and the monotonic time at which it was valid.
#[derive(Clone, Copy, Debug)]
struct TimeBase {
    mono: u64,
    time: u64,
}

impl TimeBase {
    fn extrapolate(&self, now: Now) -> u64 {
        self.time + now.mono.saturating_sub(self.mono)
    }
}

/// A clock reading of another process, and the monotonic time at which it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedReading {
    received_at: u64,
    reading: ClockReading,
}

/// A clock on which the replicas agree. Its time is set once, is then extrapolated by monotonic clocks and never goes
/// back.
///
/// Wall clocks are used only when no process has an agreed time, that is at the first start and after a total outage.
/// A wall clock that jumps while its process runs has no effect.
#[derive(Clone, Debug, Default)]
pub struct ClusterClock {
    base: Option<TimeBase>,
    /// The latest readings of other processes, by address.
    readings: BTreeMap<String, ReceivedReading>,
    /// The start of this replica's leadership, in monotonic milliseconds.
    leading_since: u64,
    /// The latest time returned by [`Self::read`], in milliseconds since 1970.
    last_read: u64,
}

impl ClusterClock {
    /// Prepares the clock for leadership. An agreed time is kept; the clock will not read earlier than
    /// `last_entry_time`, the time of the last log entry.
    pub fn start_leading(&mut self, now: Now, last_entry_time: u64) {
        self.readings.clear();
        self.leading_since = now.mono;
        self.last_read = self.last_read.max(last_entry_time);
    }

    /// Adopts the leader's time; 0 means that the leader has no agreed time.
    pub fn follow_leader(&mut self, now: Now, time: u64) {
        if time > 0 {
            let mono = now.mono;
            self.base = Some(TimeBase { mono, time });
        }
    }

    /// Records the clock reading of another process.
    pub fn observe(&mut self, now: Now, process: &str, reading: ClockReading) {
        let received = ReceivedReading {
            received_at: now.mono,
            reading,
        };
        self.readings.insert(process.into(), received);
    }

    /// Whether there is an agreed time.
    pub fn is_set(&self) -> bool {
        self.base.is_some()
    }

    /// The clock reading of this process: the agreed time, or its wall clock if there is none.
    pub fn reading(&self, now: Now) -> ClockReading {
        ClockReading {
            time: self.base.map_or(now.wall, |base| base.extrapolate(now)),
            is_agreed: self.base.is_some(),
        }
    }

    /// Sets the agreed time if there is none: to the lower median of the agreed times of other processes or, if no
    /// process has one, of the wall clocks. The latter requires `MIN_READINGS` readings or, after `wait_ms`,
    /// `MIN_READINGS_AFTER_WAIT`.
    pub fn agree_if_possible(&mut self, now: Now, wait_ms: u64) {
        if self.base.is_some() {
            return;
        }
        let own = ClockReading {
            time: now.wall,
            is_agreed: false,
        };
        let mut readings = vec![own];
        for received in self.readings.values() {
            let age = now.mono.saturating_sub(received.received_at);
            readings.push(ClockReading {
                time: received.reading.time + age,
                ..received.reading
            });
        }
        let waited = now.mono.saturating_sub(self.leading_since) >= wait_ms;
        let some_agreed = readings.iter().any(|reading| reading.is_agreed);
        let enough = some_agreed
            || readings.len() >= MIN_READINGS
            || (waited && readings.len() >= MIN_READINGS_AFTER_WAIT);
        if !enough {
            return;
        }
        let considered = readings.iter().filter(|r| r.is_agreed || !some_agreed);
        let mut times: Vec<u64> = considered.map(|reading| reading.time).collect();
        times.sort_unstable();
        let lower_median = times[(times.len() - 1) / 2];
        self.base = Some(TimeBase {
            mono: now.mono,
            time: lower_median.max(self.last_read),
        });
    }

    /// The agreed time in milliseconds since 1970; never earlier than the last time returned.
    pub fn read(&mut self, now: Now) -> u64 {
        if let Some(base) = self.base {
            self.last_read = self.last_read.max(base.extrapolate(now));
        }
        self.last_read
    }
}
