//! The cluster clock: its time is agreed on once and extrapolated by monotonic clocks, and never goes back.

use landingdrift::cluster_time::StatedTime;
use landingdrift::consensus::{ClockReading, ClusterClock};
use landingdrift::sans_io::Now;

const HOUR_MS: u64 = 3_600_000;
/// The largest age at which a clock reading counts at once.
const MAX_AGE_MS: u64 = 250;

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
        clock.observe(
            now,
            "b",
            reading(1_000_000 + mono + jump, false),
            Some(now.mono),
        );
        clock.observe(
            now,
            "c",
            reading(1_000_005 + mono + jump, false),
            Some(now.mono),
        );
        clock.agree_if_possible(now, 100, MAX_AGE_MS);
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
    clock.observe(now, "b", reading(9 * HOUR_MS, false), Some(now.mono));
    clock.observe(now, "n", reading(2 * HOUR_MS, true), Some(now.mono));
    clock.agree_if_possible(now, 1000, MAX_AGE_MS);
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
    clock.observe(now, "b", reading(9 * HOUR_MS, false), Some(now.mono));
    clock.agree_if_possible(now, 1000, MAX_AGE_MS);
    assert!(
        !clock.is_set(),
        "two readings must not suffice before the wait is over"
    );
    ["c", "n", "m"].iter().for_each(|process| {
        clock.observe(now, process, reading(4 * HOUR_MS, false), Some(now.mono))
    });
    clock.agree_if_possible(now, 1000, MAX_AGE_MS);
    assert_eq!(clock.read(now), 4 * HOUR_MS);
    let mut clock_with_late_entry = ClusterClock::default();
    clock_with_late_entry.start_leading(now, 10 * HOUR_MS);
    clock_with_late_entry.observe(now, "b", reading(HOUR_MS, false), Some(now.mono));
    let after_wait = Now {
        mono: 2000,
        wall: HOUR_MS,
    };
    clock_with_late_entry.agree_if_possible(after_wait, 1000, MAX_AGE_MS);
    assert_eq!(clock_with_late_entry.read(after_wait), 10 * HOUR_MS);
}

fn at(mono: u64) -> Now {
    Now {
        mono,
        wall: HOUR_MS,
    }
}

fn stated(time: u64, not_before: Option<u64>) -> StatedTime {
    StatedTime { time, not_before }
}

/// Guards against a clock that goes back to the time in a message that lay in a socket.
#[test]
fn an_old_message_of_a_leader_does_not_set_the_time_back() {
    let mut clock = ClusterClock::default();
    clock.follow_leader(at(1000), stated(HOUR_MS, Some(1000)));
    clock.follow_leader(at(6000), stated(HOUR_MS + 500, Some(1400)));
    assert_eq!(clock.read(at(6000)), HOUR_MS + 5000);
    let mut with_unknown_age = ClusterClock::default();
    with_unknown_age.follow_leader(at(1000), stated(HOUR_MS, None));
    with_unknown_age.follow_leader(at(6000), stated(HOUR_MS + 500, None));
    assert_eq!(with_unknown_age.read(at(6000)), HOUR_MS + 5000);
}

/// Guards against a follower whose monotonic clock is faster than the leader's and that is ahead for good.
#[test]
fn a_follower_that_is_ahead_goes_back_to_the_leaders_time() {
    let mut clock = ClusterClock::default();
    clock.follow_leader(at(1000), stated(HOUR_MS, Some(1000)));
    clock.follow_leader(at(100_000), stated(HOUR_MS + 90_000, Some(99_990)));
    let reading = clock.reading(at(100_000));
    assert_eq!(reading.time, HOUR_MS + 90_010);
}

/// Guards against a clock that stays late although the leader states a later time.
#[test]
fn a_follower_that_is_late_adopts_the_leaders_time() {
    let mut clock = ClusterClock::default();
    clock.follow_leader(at(1000), stated(HOUR_MS, None));
    clock.follow_leader(at(2000), stated(HOUR_MS + 4000, Some(1990)));
    assert_eq!(clock.reading(at(2000)).time, HOUR_MS + 4000);
}

/// Guards against a leader whose clock stands still until it has caught up with the last entry of the log.
#[test]
fn a_leader_whose_time_is_before_the_last_entry_goes_on_from_the_entry() {
    let mut clock = ClusterClock::default();
    clock.follow_leader(at(1000), stated(HOUR_MS, None));
    clock.start_leading(at(2000), HOUR_MS + 5000);
    assert_eq!(clock.read(at(2500)), HOUR_MS + 5500);
}

/// Guards against an agreed time that begins with a reading that lay in a socket.
#[test]
fn old_readings_and_those_of_unknown_age_count_only_after_the_wait() {
    for not_before in [Some(5), None] {
        let mut clock = ClusterClock::default();
        clock.start_leading(at(5), 0);
        let old = reading(HOUR_MS - 4000, true);
        clock.observe(at(4000), "b", old, not_before);
        clock.agree_if_possible(at(4000), 5000, MAX_AGE_MS);
        assert!(!clock.is_set());
        clock.observe(at(4010), "b", reading(HOUR_MS, true), Some(4000));
        clock.observe(at(4020), "b", old, None);
        clock.agree_if_possible(at(4020), 5000, MAX_AGE_MS);
        assert_eq!(clock.read(at(4020)), HOUR_MS + 10);
        let mut after_wait = ClusterClock::default();
        after_wait.start_leading(at(5), 0);
        after_wait.observe(at(4000), "b", old, not_before);
        after_wait.agree_if_possible(at(5005), 5000, MAX_AGE_MS);
        assert!(after_wait.is_set());
    }
}
