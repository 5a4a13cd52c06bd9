//! Internal durations follow from the bounds that they keep.

use landingdrift::settings::Bounds;

#[test]
fn a_copy_that_answers_callers_is_younger_than_the_bound_on_configurations() {
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
