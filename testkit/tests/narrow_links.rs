//! Nodes on narrow links must redirect reads of a large configuration: an answer sent over their own links would arrive
//! after the caller's timeout.

use landingdrift_testkit::history::Event;
use landingdrift_testkit::scenario::Scenario;
use landingdrift_testkit::simulator::simulate;

#[test]
fn reads_of_a_large_configuration_are_answered_in_time_despite_narrow_links() {
    let scenario =
        Scenario::load("scenarios/large-config.toml").expect("failed to load the scenario");
    let mut redirected = 0;
    for seed in &scenario.seeds {
        let (report, _) = simulate(&scenario, *seed);
        let events = report.history.events.iter().map(|timed| &timed.event);
        let reads = events
            .clone()
            .filter(|e| matches!(e, Event::ConfigRead { .. }));
        assert!(reads.count() > 0, "seed {seed}: no read was answered");
        let unanswered = events.filter(|e| matches!(e, Event::ConfigReadUnanswered { .. }));
        let unanswered: Vec<&Event> = unanswered.collect();
        assert!(
            unanswered.is_empty(),
            "seed {seed}: unanswered reads: {unanswered:?}"
        );
        redirected += report
            .counters
            .get("node_reads_redirected")
            .copied()
            .unwrap_or(0);
    }
    assert!(redirected > 0, "no node redirected a read");
}
