//! The cluster clock: agreed once, carried on by durations, never back.

use landingdrift::consensus::{ClockReading, ClusterClock};
use landingdrift::sans_io::Now;

const HOUR: u64 = 3_600_000;

fn reading(time: u64, is_agreed: bool) -> ClockReading {
    ClockReading { time, is_agreed }
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
        c.observe(now, "b", reading(1_000_000 + mono + jump, false));
        c.observe(now, "c", reading(1_000_005 + mono + jump, false));
        c.agree_if_possible(now, 100);
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
    c.start_leading(now, HOUR);
    c.observe(now, "b", reading(9 * HOUR, false));
    c.observe(now, "n", reading(2 * HOUR, true));
    c.agree_if_possible(now, 1000);
    assert_eq!(c.read(now), 2 * HOUR);
}

#[test]
fn after_a_total_outage_many_clocks_outvote_the_replicas_and_time_never_goes_back() {
    let mut c = ClusterClock::default();
    let now = Now {
        mono: 5,
        wall: 9 * HOUR,
    };
    c.start_leading(now, 3 * HOUR);
    c.observe(now, "b", reading(9 * HOUR, false));
    c.agree_if_possible(now, 1000);
    assert!(!c.is_set(), "two clocks are few while more may be heard");
    ["c", "n", "m"]
        .iter()
        .for_each(|p| c.observe(now, p, reading(4 * HOUR, false)));
    c.agree_if_possible(now, 1000);
    assert_eq!(c.read(now), 4 * HOUR);
    let mut d = ClusterClock::default();
    d.start_leading(now, 10 * HOUR);
    d.observe(now, "b", reading(HOUR, false));
    let later = Now {
        mono: 2000,
        wall: HOUR,
    };
    d.agree_if_possible(later, 1000);
    assert_eq!(d.read(later), 10 * HOUR);
}
