//! The cluster clock: its time is agreed on once and extrapolated by monotonic clocks, and never goes back.

use landingdrift::consensus::{ClockReading, ClusterClock};
use landingdrift::sans_io::Now;

const HOUR_MS: u64 = 3_600_000;

fn reading(time: u64, is_agreed: bool) -> ClockReading {
    ClockReading { time, is_agreed }
}

#[test]
fn wall_clock_jumps_do_not_change_an_agreed_time() {
    let mut clock = ClusterClock::default();
    let mut previous = 0;
    for step in 0..200u64 {
        let mono = step * 100;
        let jump = if step > 50 { HOUR_MS } else { 0 };
        let now = Now {
            mono,
            wall: 1_000_000 + mono + jump,
        };
        clock.observe(now, "b", reading(1_000_000 + mono + jump, false));
        clock.observe(now, "c", reading(1_000_005 + mono + jump, false));
        clock.agree_if_possible(now, 100);
        let read = clock.read(now);
        assert!(read >= previous);
        assert!(
            step < 2 || read.abs_diff(1_000_000 + mono) < 50,
            "drifted to {read} at {mono}"
        );
        previous = read;
    }
}

#[test]
fn a_restarted_process_adopts_the_agreed_time_of_others() {
    let mut clock = ClusterClock::default();
    let now = Now {
        mono: 5,
        wall: 9 * HOUR_MS,
    };
    clock.start_leading(now, HOUR_MS);
    clock.observe(now, "b", reading(9 * HOUR_MS, false));
    clock.observe(now, "n", reading(2 * HOUR_MS, true));
    clock.agree_if_possible(now, 1000);
    assert_eq!(clock.read(now), 2 * HOUR_MS);
}

#[test]
fn after_a_total_outage_the_median_of_wall_clocks_is_used_and_time_never_goes_back() {
    let mut clock = ClusterClock::default();
    let now = Now {
        mono: 5,
        wall: 9 * HOUR_MS,
    };
    clock.start_leading(now, 3 * HOUR_MS);
    clock.observe(now, "b", reading(9 * HOUR_MS, false));
    clock.agree_if_possible(now, 1000);
    assert!(
        !clock.is_set(),
        "two readings must not suffice before the wait is over"
    );
    ["c", "n", "m"]
        .iter()
        .for_each(|process| clock.observe(now, process, reading(4 * HOUR_MS, false)));
    clock.agree_if_possible(now, 1000);
    assert_eq!(clock.read(now), 4 * HOUR_MS);
    let mut clock_with_late_entry = ClusterClock::default();
    clock_with_late_entry.start_leading(now, 10 * HOUR_MS);
    clock_with_late_entry.observe(now, "b", reading(HOUR_MS, false));
    let after_wait = Now {
        mono: 2000,
        wall: HOUR_MS,
    };
    clock_with_late_entry.agree_if_possible(after_wait, 1000);
    assert_eq!(clock_with_late_entry.read(after_wait), 10 * HOUR_MS);
}
