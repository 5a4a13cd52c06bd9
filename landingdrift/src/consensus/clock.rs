use crate::sans_io::Now;
use std::collections::BTreeMap;

/// What a process says of the time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    pub at: u64,
    /// It heard the agreed time since it started and carries it on by durations; else it is its machine's clock.
    pub carried: bool,
}

/// The clock that the replicas agree on: agreed once, carried on by durations, never back.
///
/// Machines' clocks are asked only when nobody carries an agreed time, that is at the first start and after a total
/// outage. A clock that jumps while its process runs moves nothing.
#[derive(Clone, Debug, Default)]
pub struct ClusterClock {
    base: Option<(u64, u64)>,
    seen: BTreeMap<String, (u64, ClockReading)>,
    since: u64,
    last: u64,
}

/// So many clocks are enough for a first reading at once.
const MANY: usize = 5;

impl ClusterClock {
    /// Begins to lead: what was carried goes on; no entry so far is later than `last`.
    pub fn lead(&mut self, now: Now, last: u64) {
        self.seen.clear();
        self.since = now.mono;
        self.last = self.last.max(last);
    }

    /// The leader has reading the agreed time.
    pub fn hear(&mut self, now: Now, at: u64) {
        self.base = Some((now.mono, at)).filter(|_| at > 0).or(self.base);
    }

    /// Takes witness of what another process says of the time.
    pub fn sample(&mut self, now: Now, who: &str, reading: ClockReading) {
        self.seen.insert(who.into(), (now.mono, reading));
    }

    /// Whether there is an agreed time.
    pub fn set(&self) -> bool {
        self.base.is_some()
    }

    /// What this process says of the time.
    pub fn tell(&self, now: Now) -> ClockReading {
        ClockReading {
            at: self.carried(now).unwrap_or(now.wall),
            carried: self.base.is_some(),
        }
    }

    fn carried(&self, now: Now) -> Option<u64> {
        self.base.map(|(m, at)| at + now.mono.saturating_sub(m))
    }

    /// Where nothing is carried yet: the time that another process carries, else the lower median of the clocks of
    /// many, or of those heard within `patience`.
    pub fn steer(&mut self, now: Now, patience: u64) {
        if self.base.is_some() {
            return;
        }
        let own = ClockReading {
            at: now.wall,
            carried: false,
        };
        let all: Vec<ClockReading> = self
            .seen
            .values()
            .map(|(m, t)| ClockReading {
                at: t.at + now.mono.saturating_sub(*m),
                ..*t
            })
            .chain([own])
            .collect();
        let waited = now.mono.saturating_sub(self.since) >= patience;
        let carried: Vec<u64> = all.iter().filter(|t| t.carried).map(|t| t.at).collect();
        let mut of = if carried.is_empty() {
            all.iter().map(|t| t.at).collect()
        } else {
            carried.clone()
        };
        of.sort_unstable();
        let enough = !carried.is_empty() || of.len() >= MANY || (waited && of.len() >= 2);
        self.base = enough.then(|| (now.mono, of[(of.len() - 1) / 2].max(self.last)));
    }

    /// The agreed time.
    pub fn read(&mut self, now: Now) -> u64 {
        self.last = self.last.max(self.carried(now).unwrap_or(self.last));
        self.last
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: u64 = 3_600_000;

    fn reading(at: u64, carried: bool) -> ClockReading {
        ClockReading { at, carried }
    }

    #[test]
    fn clocks_that_jump_together_move_nothing_once_the_time_is_agreed() {
        let mut c = ClusterClock::default();
        let mut before = 0;
        for t in 0..200u64 {
            let mono = t * 100;
            let jump = if t > 50 { HOUR } else { 0 };
            let now = Now {
                mono,
                wall: 1_000_000 + mono + jump,
            };
            c.sample(now, "b", reading(1_000_000 + mono + jump, false));
            c.sample(now, "c", reading(1_000_005 + mono + jump, false));
            c.steer(now, 100);
            let read = c.read(now);
            assert!(read >= before);
            assert!(
                t < 2 || read.abs_diff(1_000_000 + mono) < 50,
                "drifted to {read} at {mono}"
            );
            before = read;
        }
    }

    #[test]
    fn a_process_that_starts_anew_takes_the_time_that_others_carry() {
        let mut c = ClusterClock::default();
        let now = Now {
            mono: 5,
            wall: 9 * HOUR,
        };
        c.lead(now, HOUR);
        c.sample(now, "b", reading(9 * HOUR, false));
        c.sample(now, "n", reading(2 * HOUR, true));
        c.steer(now, 1000);
        assert_eq!(c.read(now), 2 * HOUR);
    }

    #[test]
    fn after_a_total_outage_many_clocks_outvote_the_cores_and_time_never_goes_back() {
        let mut c = ClusterClock::default();
        let now = Now {
            mono: 5,
            wall: 9 * HOUR,
        };
        c.lead(now, 3 * HOUR);
        c.sample(now, "b", reading(9 * HOUR, false));
        c.steer(now, 1000);
        assert!(!c.set(), "two clocks are few while more may be heard");
        ["c", "n", "m"]
            .iter()
            .for_each(|p| c.sample(now, p, reading(4 * HOUR, false)));
        c.steer(now, 1000);
        assert_eq!(c.read(now), 4 * HOUR);
        let mut d = ClusterClock::default();
        d.lead(now, 10 * HOUR);
        d.sample(now, "b", reading(HOUR, false));
        let later = Now {
            mono: 2000,
            wall: HOUR,
        };
        d.steer(later, 1000);
        assert_eq!(d.read(later), 10 * HOUR);
    }
}
