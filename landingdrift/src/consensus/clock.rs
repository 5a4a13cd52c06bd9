//! The cluster clock: a time that the replicas agree on.

use crate::sans_io::Now;
use std::collections::BTreeMap;

/// So many clocks are enough to agree on a time at once.
const MIN_READINGS: usize = 5;
/// So many are enough after the wait for more.
const MIN_READINGS_AFTER_WAIT: usize = 2;

/// What a process says of the time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// Milliseconds since 1970.
    pub time: u64,
    /// The process has heard the agreed time since it started and carries it on by durations. Otherwise `time` is that
    /// of its machine.
    pub is_agreed: bool,
}

/// A time, and when it was right.
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

/// A reading of another process, and when it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedReading {
    received_at: u64,
    reading: ClockReading,
}

/// The clock that the replicas agree on: agreed once, carried on by durations, never back.
///
/// Machines' clocks are asked only when nobody carries an agreed time, that is at the first start and after a total
/// outage. A clock that jumps while its process runs moves nothing.
#[derive(Clone, Debug, Default)]
pub struct ClusterClock {
    base: Option<TimeBase>,
    /// The latest readings of other processes, by address.
    readings: BTreeMap<String, ReceivedReading>,
    /// Since when this replica has led, in monotonic milliseconds.
    leading_since: u64,
    /// The latest time that was read, in milliseconds since 1970.
    last_read: u64,
}

impl ClusterClock {
    /// Begins to lead. A time that was agreed goes on; no entry so far is later than `last_entry_time`.
    pub fn start_leading(&mut self, now: Now, last_entry_time: u64) {
        self.readings.clear();
        self.leading_since = now.mono;
        self.last_read = self.last_read.max(last_entry_time);
    }

    /// Takes over the leader's time; 0 where the leader knows none.
    pub fn follow_leader(&mut self, now: Now, time: u64) {
        if time > 0 {
            let mono = now.mono;
            self.base = Some(TimeBase { mono, time });
        }
    }

    /// Keeps what another process says of the time.
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

    /// What this process says of the time.
    pub fn reading(&self, now: Now) -> ClockReading {
        ClockReading {
            time: self.base.map_or(now.wall, |base| base.extrapolate(now)),
            is_agreed: self.base.is_some(),
        }
    }

    /// Agrees on a time where there is none: the one that another process carries, else the lower median of the
    /// machines' clocks, once there are enough of them or a few after `wait_ms`.
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

    /// The agreed time in milliseconds since 1970; never earlier than the last one that was read.
    pub fn read(&mut self, now: Now) -> u64 {
        if let Some(base) = self.base {
            self.last_read = self.last_read.max(base.extrapolate(now));
        }
        self.last_read
    }
}
