//! Calls by host and path, to queues whose hosts are declared in any spelling.

mod node_harness;

use landingdrift::sans_io::{Effect, Msg, Part, Request};
use landingdrift::state::Command;
use node_harness::NodeHarness;
use serde_json::json;

/// The status of the answer to a question for a queue's count.
fn status(harness: &mut NodeHarness, host: &str) -> u16 {
    harness.call += 1;
    let request = Request {
        method: "GET".into(),
        path: format!("/v1/at/{host}/p/"),
        ..Request::default()
    };
    let now = harness.now();
    let effects = harness.node.step(now, Msg::Call(harness.call, request));
    let statuses = effects.iter().filter_map(|effect| match effect {
        Effect::Answer(_, response) => Some(response.status),
        _ => None,
    });
    statuses.last().expect("an answer")
}

#[test]
fn a_queue_is_served_however_its_host_is_spelt() {
    for declared in ["host.example", "Host.Example", "host.example:80"] {
        let mut harness = NodeHarness::new();
        harness.append(Command::UpdateConfig {
            change: "routes".into(),
            base: 1,
            patch: true,
            number: 0,
            value: json!({"queues": {"q": {"service": "s", "host": declared, "prefix": "/p/"}}}),
        });
        harness.follow();
        for called in ["host.example", "HOST.example", "host.example:8161"] {
            assert_eq!(status(&mut harness, called), 200, "{declared} by {called}");
        }
        assert_eq!(status(&mut harness, "other.example"), 404);
    }
}
