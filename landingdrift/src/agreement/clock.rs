use crate::kernel::Now;
use std::collections::BTreeMap;

/// The clock that the cores agree on: the median of theirs, carried on by durations, never back.
#[derive(Clone, Debug, Default)]
pub struct AgreedClock {
    base: Option<(u64, u64)>,
    seen: BTreeMap<String, (u64, u64)>,
    last: u64,
}

impl AgreedClock {
    /// Forgets all samples, as a new leader does.
    pub fn reset(&mut self, last: u64) {
        *self = Self { last, ..Self::default() };
    }

    /// Takes note of what another core's clock showed.
    pub fn sample(&mut self, now: Now, core: &str, wall: u64) {
        self.seen.insert(core.into(), (now.mono, wall));
    }

    /// Whether enough clocks were heard for the first reading.
    pub fn set(&self) -> bool {
        self.base.is_some()
    }

    /// Steers towards the median; by at most a tenth of the time passed, so that one jump moves nothing.
    pub fn steer(&mut self, now: Now, span: u64) {
        let mut walls: Vec<u64> = self.seen.values().filter(|(m, _)| now.mono.saturating_sub(*m) <= span).map(|(m, w)| w + (now.mono - m)).collect();
        walls.push(now.wall);
        walls.sort_unstable();
        let mid = walls[(walls.len() - 1) / 2];
        match self.base {
            // Two clocks at least are needed for the first reading.
            None if walls.len() >= 2 => self.base = Some((now.mono, mid.max(self.last))),
            Some((m, w)) if now.mono >= m + span && walls.len() >= 3 => {
                let passed = now.mono - m;
                let read = w + passed;
                let step = (passed / 10).max(1);
                self.base = Some((now.mono, mid.clamp(read.saturating_sub(step), read + step)));
            }
            _ => {}
        }
    }

    /// The agreed time.
    pub fn read(&mut self, now: Now) -> u64 {
        let t = self.base.map_or(self.last, |(m, w)| w + now.mono.saturating_sub(m));
        self.last = self.last.max(t);
        self.last
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_jumping_clock_moves_nothing_and_time_never_goes_back() {
        let mut c = AgreedClock::default();
        let hour = 3_600_000;
        let mut before = 0;
        for t in 0..200u64 {
            let mono = t * 100;
            let own = if t > 50 { 1_000_000 + mono + hour } else { 1_000_000 + mono };
            let now = Now { mono, wall: own };
            c.sample(now, "b", 1_000_000 + mono);
            c.sample(now, "c", 1_000_005 + mono);
            c.steer(now, 500);
            let read = c.read(now);
            assert!(read >= before);
            assert!(read.abs_diff(1_000_000 + mono) < 50, "drifted to {read} at {mono}");
            before = read;
        }
    }
}
