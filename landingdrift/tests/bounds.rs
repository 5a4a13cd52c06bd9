//! Internal durations stay within the bounds that they must keep.

use landingdrift::settings::Bounds;

#[test]
fn a_watch_used_for_answers_is_younger_than_the_bounds_on_configurations_and_cancellations() {
    for config_ms in [400, 500, 1000, 2000, 2500, 3000] {
        for cancel_ms in [config_ms, 2 * config_ms, 4 * config_ms, 20 * config_ms] {
            let bounds = Bounds {
                config_ms,
                cancel_ms,
                ..Bounds::default()
            };
            let fresh_ms = bounds.max_watch_age();
            assert!(
                fresh_ms < config_ms,
                "{fresh_ms} of {config_ms}, {cancel_ms}"
            );
            assert!(
                fresh_ms < cancel_ms,
                "{fresh_ms} of {config_ms}, {cancel_ms}"
            );
        }
    }
}
