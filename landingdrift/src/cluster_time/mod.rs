//! An estimate of the cluster time, made from messages that may be old when they are read.
//!
//! A message states the time at which it was sent. It may have waited in a network or in the socket of a frozen process
//! for seconds, so the receiver must not take this time for the current one. It bounds the message's age instead: the
//! sender returns the receiver's latest [`MessageStamp`], so the message was sent after the receiver made that stamp.

use crate::sans_io::Now;
use crate::wire::MessageStamp;

/// A time stated in a message.
#[derive(Clone, Copy, Debug)]
pub struct StatedTime {
    /// The cluster time when the message was sent, in milliseconds since 1970.
    pub time: u64,
    /// The receiver's monotonic time before which the message was certainly not sent; none if unknown.
    pub not_before: Option<u64>,
}

/// The estimated cluster time, extrapolated by this machine's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct TimeEstimate {
    /// The estimate at `mono`, in milliseconds since 1970.
    time: u64,
    /// Milliseconds by the monotonic clock.
    mono: u64,
}

impl TimeEstimate {
    /// An estimate of the current time.
    pub fn new(now: Now, time: u64) -> Self {
        Self {
            time,
            mono: now.mono,
        }
    }

    /// The estimated cluster time.
    pub fn at(&self, now: Now) -> u64 {
        self.time + now.mono.saturating_sub(self.mono)
    }

    /// Takes a stated time into account. The cluster time now is at least the stated one, and later than that by the age
    /// of the message at most. Only an estimate outside of these bounds is corrected, so that an old message changes
    /// nothing.
    pub fn correct(&mut self, now: Now, stated: StatedTime) {
        let estimate = self.at(now);
        let latest = stated
            .not_before
            .map(|not_before| stated.time + now.mono.saturating_sub(not_before));
        let corrected = latest.map_or(estimate, |latest| estimate.min(latest));
        *self = Self::new(now, corrected.max(stated.time));
    }

    /// Takes a stated time into account; begins with it if there is no estimate yet.
    pub fn correct_or_begin(estimate: &mut Option<Self>, now: Now, stated: StatedTime) {
        estimate
            .get_or_insert(Self::new(now, stated.time))
            .correct(now, stated);
    }
}

/// When this process made a stamp that another one returned, in its monotonic milliseconds; none if there is no such
/// stamp, or if an earlier process at the same address made it.
pub fn returned_stamp(own_incarnation: u64, echo: Option<MessageStamp>) -> Option<u64> {
    let own = echo.filter(|stamp| stamp.incarnation == own_incarnation);
    own.map(|stamp| stamp.sent)
}
