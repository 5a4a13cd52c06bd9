//! What a process sends, takes, writes and works.

use landingdrift::sans_io::fnv1a;
use rustix::time::{clock_gettime, ClockId};
use std::ops::{AddAssign, Sub};

/// What one process has sent, taken, written and worked so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub messages_in: f64,
    pub messages_out: f64,
    pub bytes_in: f64,
    pub bytes_out: f64,
    /// Calls over HTTP.
    pub calls: f64,
    /// Bytes of commands handed to the log.
    pub log_bytes: f64,
    /// Processor time in `step`, and in packing and unpacking, in nanoseconds.
    pub step: f64,
    pub wire: f64,
}

impl Tally {
    fn zip(self, o: Self, f: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            messages_in: f(self.messages_in, o.messages_in),
            messages_out: f(self.messages_out, o.messages_out),
            bytes_in: f(self.bytes_in, o.bytes_in),
            bytes_out: f(self.bytes_out, o.bytes_out),
            calls: f(self.calls, o.calls),
            log_bytes: f(self.log_bytes, o.log_bytes),
            step: f(self.step, o.step),
            wire: f(self.wire, o.wire),
        }
    }
    /// All of it, divided.
    pub fn per(self, n: f64) -> Self {
        self.zip(Self::default(), |a, _| a / n)
    }
}

impl Sub for Tally {
    type Output = Self;
    fn sub(self, o: Self) -> Self {
        self.zip(o, |a, b| a - b)
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, o: Self) {
        *self = self.zip(o, |a, b| a + b);
    }
}

/// Processor time of this thread, in nanoseconds.
pub fn processor() -> f64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as f64 * 1e9 + t.tv_nsec as f64
}

/// Work done, with the processor time that it took, less what the clock itself takes.
pub fn timed<T>(clock: f64, work: impl FnOnce() -> T) -> (T, f64) {
    let t = processor();
    let done = work();
    (done, (processor() - t - clock).max(0.0))
}

/// What reading the clock twice takes.
pub fn clock_cost() -> f64 {
    let n = 20_000;
    (0..n)
        .map(|_| {
            let t = processor();
            processor() - t
        })
        .sum::<f64>()
        / f64::from(n)
}

/// The reference: a digest of 64 KiB, done once in every virtual second of the same run.
pub fn reference(clock: f64) -> f64 {
    let text = std::hint::black_box(vec![7u8; 64 << 10]);
    timed(clock, || std::hint::black_box(fnv1a(&text))).1
}
