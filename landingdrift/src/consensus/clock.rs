//! The cluster clock: a time on which the replicas agree.

use crate::cluster_time::{StatedTime, TimeEstimate};
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

/// A clock reading of another process. Times are in monotonic milliseconds.
#[derive(Clone, Copy, Debug)]
struct ReceivedReading {
    reading: ClockReading,
    received_at: u64,
    /// The largest possible age of the reading at its receipt; none if unknown.
    max_age_at_receipt: Option<u64>,
}

impl ReceivedReading {
    /// The reading, extrapolated to the current time.
    fn extrapolated(&self, now: Now) -> ClockReading {
        let since_receipt = now.mono.saturating_sub(self.received_at);
        ClockReading {
            time: self.reading.time + since_receipt,
            ..self.reading
        }
    }
}

/// A clock on which the replicas agree. Its time is set once, is then extrapolated by monotonic clocks and never goes
/// back.
///
/// Wall clocks are used only when no process has an agreed time, that is at the first start and after a total outage.
/// A wall clock that jumps while its process runs has no effect.
#[derive(Clone, Debug, Default)]
pub struct ClusterClock {
    agreed: Option<TimeEstimate>,
    /// The latest readings of other processes, by address.
    readings: BTreeMap<String, ReceivedReading>,
    /// The start of this replica's leadership, in monotonic milliseconds.
    leading_since: u64,
    /// The latest time returned by [`Self::read`], in milliseconds since 1970.
    last_read: u64,
}

impl ClusterClock {
    /// Prepares the clock for leadership. An agreed time is kept, unless it is earlier than `last_entry_time`, the time
    /// of the last log entry.
    pub fn start_leading(&mut self, now: Now, last_entry_time: u64) {
        self.readings.clear();
        self.leading_since = now.mono;
        self.last_read = self.last_read.max(last_entry_time);
        if let Some(agreed) = &mut self.agreed {
            let entry_time = StatedTime {
                time: last_entry_time,
                not_before: None,
            };
            agreed.correct(now, entry_time);
        }
    }

    /// Follows the leader's time as stated in a message; a time of 0 means that the leader has no agreed time.
    pub fn follow_leader(&mut self, now: Now, stated: StatedTime) {
        if stated.time > 0 {
            TimeEstimate::correct_or_begin(&mut self.agreed, now, stated);
        }
    }

    /// Records the clock reading of another process, which was taken after the local monotonic time `not_before`; none
    /// if unknown. A reading of unknown age does not replace one of known age.
    pub fn observe(
        &mut self,
        now: Now,
        process: &str,
        reading: ClockReading,
        not_before: Option<u64>,
    ) {
        let known = self.readings.get(process);
        let has_known_age = known.is_some_and(|known| known.max_age_at_receipt.is_some());
        if not_before.is_none() && has_known_age {
            return;
        }
        let received = ReceivedReading {
            reading,
            received_at: now.mono,
            max_age_at_receipt: not_before.map(|time| now.mono.saturating_sub(time)),
        };
        self.readings.insert(process.into(), received);
    }

    /// By how many milliseconds the agreed time is ahead of this machine's wall clock; negative if it is behind, none if
    /// there is no agreed time.
    pub fn ahead_of_wall_ms(&self, now: Now) -> Option<i64> {
        let agreed = self.agreed?.at(now);
        Some(agreed as i64 - now.wall as i64)
    }

    /// Whether there is an agreed time.
    pub fn is_set(&self) -> bool {
        self.agreed.is_some()
    }

    /// The clock reading of this process: the agreed time, or its wall clock if there is none.
    pub fn reading(&self, now: Now) -> ClockReading {
        ClockReading {
            time: self.agreed.map_or(now.wall, |agreed| agreed.at(now)),
            is_agreed: self.is_set(),
        }
    }

    /// Sets the agreed time if there is none: to the lower median of the agreed times of other processes or, if no
    /// process has one, of the wall clocks. The latter requires `MIN_READINGS` readings or, after `wait_ms`,
    /// `MIN_READINGS_AFTER_WAIT`. Until then, only readings that were at most `max_age_ms` old at their receipt count.
    pub fn agree_if_possible(&mut self, now: Now, wait_ms: u64, max_age_ms: u64) {
        if self.is_set() {
            return;
        }
        let waited = now.mono.saturating_sub(self.leading_since) >= wait_ms;
        let own = ClockReading {
            time: now.wall,
            is_agreed: false,
        };
        let mut readings = vec![own];
        for received in self.readings.values() {
            let is_recent = received
                .max_age_at_receipt
                .is_some_and(|age| age <= max_age_ms);
            if is_recent || waited {
                readings.push(received.extrapolated(now));
            }
        }
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
        self.agreed = Some(TimeEstimate::new(now, lower_median.max(self.last_read)));
    }

    /// The time to state in messages: the agreed time, or 0 if there is none.
    pub fn stated_time(&mut self, now: Now) -> u64 {
        if self.is_set() {
            self.read(now)
        } else {
            0
        }
    }

    /// The agreed time in milliseconds since 1970; never earlier than the last time returned.
    pub fn read(&mut self, now: Now) -> u64 {
        if let Some(agreed) = self.agreed {
            self.last_read = self.last_read.max(agreed.at(now));
        }
        self.last_read
    }
}
