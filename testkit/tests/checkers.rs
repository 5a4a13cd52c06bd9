//! Each checker is shown a history that violates its rule, and one that doesn't.

mod checkers_cases;

use checkers_cases::{cases, Case, Day};
use landingdrift_testkit::checkers::{check, PromisedBounds, ALL};
use landingdrift_testkit::history::{Event, History};
use std::collections::{BTreeMap, BTreeSet};

fn history(events: Day) -> History {
    let mut history = History::default();
    for (at_ms, event) in events {
        history.add(at_ms, event);
    }
    history
}

#[test]
fn each_checker_sees_its_rule_violated_and_nothing_else() {
    for Case {
        rule,
        violating,
        sound,
    } in cases()
    {
        let rules: BTreeSet<&str> = check(&history(violating), &PromisedBounds::default())
            .iter()
            .map(|violation| violation.rule)
            .collect();
        assert_eq!(rules, [rule].into(), "the violating history of '{rule}'");
        let none = check(&history(sound), &PromisedBounds::default());
        assert!(none.is_empty(), "the sound history of '{rule}': {none:?}");
    }
}

#[test]
fn no_checker_is_left_without_a_case() {
    let shown: BTreeSet<&str> = cases().iter().map(|case| case.rule).collect();
    let all: BTreeSet<&str> = ALL.iter().map(|checker| checker.rule).collect();
    assert_eq!(shown, all);
    // The end of a day without jobs violates nothing.
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
