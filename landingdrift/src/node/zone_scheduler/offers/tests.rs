//! Unit test of promised resources, kept here because they are private to the module.

use super::*;
use crate::settings::Settings;

#[test]
fn a_failed_start_frees_its_own_resources_and_no_others() {
    let now = Now { mono: 10, wall: 10 };
    let mut node = Node::new(Settings::default(), now, 1);
    let zone_scheduler = node.zone_schedulers.entry("z".into()).or_default();
    let worker = zone_scheduler.workers.entry("w".into()).or_default();
    let token = |number| RequestToken {
        number,
        ..RequestToken::default()
    };
    worker.promises = [(1, 3), (2, 5)]
        .map(|(offer, cpu)| PromisedResources {
            offer_token: token(offer),
            scheduler: "10.0.0.3:1".into(),
            job: "j".into(),
            resources: Resources {
                cpu,
                ..Resources::default()
            },
            until: 1000,
        })
        .into();
    let failed = OfferOutcome {
        token: token(1),
        worker: "w".into(),
        placed: false,
    };
    node.on_offer_outcome(now, "10.0.0.4:1", failed.clone());
    assert_eq!(
        node.zone_schedulers["z"].workers["w"].promises.len(),
        2,
        "an outcome from another scheduler must not release the promise"
    );
    node.on_offer_outcome(now, "10.0.0.3:1", failed);
    let left: Vec<u32> = node.zone_schedulers["z"].workers["w"]
        .promises
        .iter()
        .map(|promise| promise.resources.cpu)
        .collect();
    assert_eq!(left, [5]);
}
