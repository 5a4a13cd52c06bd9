//! Nodes on narrow links: what they are asked for arrives before the caller gives up.

use landingdrift_testkit::history::Event;
use landingdrift_testkit::scenario::Scenario;
use landingdrift_testkit::simulator::simulate;

#[test]
fn a_large_configuration_is_read_back_in_time_though_most_nodes_have_narrow_links() {
    let scenario = Scenario::load("scenarios/large-config.toml").expect("the scenario is there");
    let mut redirected = 0;
    for seed in &scenario.seeds {
        let (report, _) = simulate(&scenario, *seed);
        let events = report.history.events.iter().map(|timed| &timed.event);
        let reads = events
            .clone()
            .filter(|e| matches!(e, Event::ConfigRead { .. }));
        assert!(reads.count() > 0, "seed {seed}: nothing was read");
        let unanswered = events.filter(|e| matches!(e, Event::ConfigReadUnanswered { .. }));
        let unanswered: Vec<&Event> = unanswered.collect();
        assert!(unanswered.is_empty(), "seed {seed}: {unanswered:?}");
        redirected += report
            .counters
            .get("node_reads_redirected")
            .copied()
            .unwrap_or(0);
    }
    assert!(redirected > 0, "no read came to a node with a narrow link");
}
