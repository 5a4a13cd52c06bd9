//! Each checker is shown a history that breaks its rule, and one that doesn't.

mod checkers_cases;

use checkers_cases::{cases, Case, Day};
use landingdrift_testkit::checkers::{check, Promised, ALL};
use landingdrift_testkit::history::{Event, History};
use std::collections::{BTreeMap, BTreeSet};

fn history(events: Day) -> History {
    let mut h = History::default();
    events.into_iter().for_each(|(t, e)| h.add(t, e));
    h
}

#[test]
fn each_checker_sees_its_rule_broken_and_nothing_else() {
    for Case {
        rule,
        broken,
        sound,
    } in cases()
    {
        let rules: BTreeSet<&str> = check(&history(broken), &Promised::default())
            .iter()
            .map(|b| b.rule)
            .collect();
        assert_eq!(rules, [rule].into(), "the broken history of '{rule}'");
        let none = check(&history(sound), &Promised::default());
        assert!(none.is_empty(), "the sound history of '{rule}': {none:?}");
    }
}

#[test]
fn no_checker_is_left_without_a_case() {
    let shown: BTreeSet<&str> = cases().iter().map(|c| c.rule).collect();
    let all: BTreeSet<&str> = ALL.iter().map(|(rule, _)| *rule).collect();
    assert_eq!(shown, all);
    // The end of a day without jobs breaks nothing.
    let empty: BTreeMap<String, (String, bool)> = BTreeMap::new();
    assert!(check(
        &history(vec![(
            0,
            Event::Closed {
                version: 0,
                by: String::new(),
                jobs: empty
            }
        )]),
        &Promised::default()
    )
    .is_empty());
}
