//! Tests of the checkers on small histories: each must report a violation of its rule, and nothing in a conforming
//! history.

mod checkers_cases;

use checkers_cases::{cases, Case, TimedEvents};
use landingdrift_testkit::checkers::{check, PromisedBounds, ALL};
use landingdrift_testkit::history::{Event, History};
use std::collections::{BTreeMap, BTreeSet};

fn history(events: TimedEvents) -> History {
    let mut history = History::default();
    for (at_ms, event) in events {
        history.add(at_ms, event);
    }
    history
}

#[test]
fn each_checker_reports_violations_of_its_rule_and_nothing_else() {
    for Case {
        rule,
        violating,
        conforming,
    } in cases()
    {
        let rules: BTreeSet<&str> = check(&history(violating), &PromisedBounds::default())
            .iter()
            .map(|violation| violation.rule)
            .collect();
        assert_eq!(rules, [rule].into(), "the violating history of '{rule}'");
        let unexpected = check(&history(conforming), &PromisedBounds::default());
        assert!(
            unexpected.is_empty(),
            "the conforming history of '{rule}': {unexpected:?}"
        );
    }
}

#[test]
fn every_checker_has_a_case_and_accepts_an_empty_day() {
    let tested: BTreeSet<&str> = cases().iter().map(|case| case.rule).collect();
    let all: BTreeSet<&str> = ALL.iter().map(|checker| checker.rule).collect();
    assert_eq!(tested, all);
    // A day without jobs violates no rule.
    let empty = BTreeMap::new();
    assert!(check(
        &history(vec![(
            0,
            Event::DayEnded {
                version: 0,
                change: String::new(),
                jobs: empty
            }
        )]),
        &PromisedBounds::default()
    )
    .is_empty());
}
