//! The cluster clock: agreed on once, extrapolated by monotonic clocks, and never going back.

use landingdrift::consensus::{ClockReading, ClusterClock};
use landingdrift::sans_io::Now;

const HOUR: u64 = 3_600_000;

fn reading(time: u64, is_agreed: bool) -> ClockReading {
    ClockReading { time, is_agreed }
}

#[test]
fn wall_clock_jumps_do_not_change_an_agreed_time() {
    let mut clock = ClusterClock::default();
    let mut before = 0;
    for t in 0..200u64 {
        let mono = t * 100;
        let jump = if t > 50 { HOUR } else { 0 };
        let now = Now {
            mono,
            wall: 1_000_000 + mono + jump,
        };
        clock.observe(now, "b", reading(1_000_000 + mono + jump, false));
        clock.observe(now, "c", reading(1_000_005 + mono + jump, false));
        clock.agree_if_possible(now, 100);
        let read = clock.read(now);
        assert!(read >= before);
        assert!(
            t < 2 || read.abs_diff(1_000_000 + mono) < 50,
            "drifted to {read} at {mono}"
        );
        before = read;
    }
}

#[test]
fn a_restarted_process_adopts_the_agreed_time_of_others() {
    let mut clock = ClusterClock::default();
    let now = Now {
        mono: 5,
        wall: 9 * HOUR,
    };
    clock.start_leading(now, HOUR);
    clock.observe(now, "b", reading(9 * HOUR, false));
    clock.observe(now, "n", reading(2 * HOUR, true));
    clock.agree_if_possible(now, 1000);
    assert_eq!(clock.read(now), 2 * HOUR);
}

#[test]
fn after_a_total_outage_the_median_of_wall_clocks_is_used_and_time_never_goes_back() {
    let mut clock = ClusterClock::default();
    let now = Now {
        mono: 5,
        wall: 9 * HOUR,
    };
    clock.start_leading(now, 3 * HOUR);
    clock.observe(now, "b", reading(9 * HOUR, false));
    clock.agree_if_possible(now, 1000);
    assert!(
        !clock.is_set(),
        "two readings must not suffice before the wait is over"
    );
    ["c", "n", "m"]
        .iter()
        .for_each(|p| clock.observe(now, p, reading(4 * HOUR, false)));
    clock.agree_if_possible(now, 1000);
    assert_eq!(clock.read(now), 4 * HOUR);
    let mut later_clock = ClusterClock::default();
    later_clock.start_leading(now, 10 * HOUR);
    later_clock.observe(now, "b", reading(HOUR, false));
    let later = Now {
        mono: 2000,
        wall: HOUR,
    };
    later_clock.agree_if_possible(later, 1000);
    assert_eq!(later_clock.read(later), 10 * HOUR);
}
