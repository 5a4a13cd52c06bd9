//! Internal durations respect the bounds that are promised to operators.

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
            let max_age_ms = bounds.max_watch_age();
            assert!(
                max_age_ms < config_ms,
                "max watch age {max_age_ms} with config_ms {config_ms}, cancel_ms {cancel_ms}"
            );
            assert!(
                max_age_ms < cancel_ms,
                "max watch age {max_age_ms} with config_ms {config_ms}, cancel_ms {cancel_ms}"
            );
        }
    }
}
