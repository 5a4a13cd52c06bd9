//! The capacity run: slopes are found where they are known, figures follow from the seed, and bounds are reported.

use landingdrift_testkit::measure::capacity::{fit, report, sizes, MeteredDay, Role, Run, Size};

fn run(workers: usize) -> Run {
    let size = Size {
        workers,
        nodes: 36,
        starts: 10.0,
    };
    MeteredDay::new(size, 5).run(12, 8)
}

#[test]
fn known_slopes_are_found() {
    let x: Vec<Vec<f64>> = [(1.0, 2.0), (3.0, 1.0), (2.0, 5.0), (4.0, 4.0), (6.0, 3.0)]
        .iter()
        .map(|(a, b)| vec![1.0, *a, *b, a * b])
        .collect();
    let y: Vec<f64> = x.iter().map(|r| 7.0 + 2.0 * r[1] + 0.5 * r[3]).collect();
    let f = fit(&x, &y);
    assert!(f.residual < 1e-6 && f.missed.abs() < 1e-4, "{f:?}");
    let far = f.at(&[1.0, 100.0, 50.0, 5000.0]);
    assert!((far - 2707.0).abs() < 0.1, "{far}");
}

#[test]
fn a_slope_that_would_be_negative_is_none() {
    let x: Vec<Vec<f64>> = (1..6).map(|n| vec![1.0, f64::from(n)]).collect();
    let f = fit(&x, &[5.0, 4.0, 3.0, 2.0, 1.0]);
    assert_eq!(f.slopes[1], 0.0);
    assert!(f.residual > 0.1, "{f:?}");
}

#[test]
fn every_role_is_metered_and_the_seed_decides() {
    let (a, b) = (run(12), run(12));
    assert_eq!(a.roles.keys().copied().collect::<Vec<_>>(), Role::ALL);
    assert!(a.starts > 1.0, "{}", a.starts);
    let counted = |r: &Run| -> Vec<[f64; 5]> {
        r.roles
            .values()
            .map(|role| {
                let t = role.tally;
                [
                    t.messages_in,
                    t.messages_out,
                    t.bytes_in,
                    t.bytes_out,
                    t.log_bytes,
                ]
            })
            .collect()
    };
    assert_eq!(counted(&a), counted(&b));
    let sum = |f: fn(&[f64; 5]) -> f64| counted(&a).iter().map(f).sum::<f64>();
    assert!(sum(|t| t[0]) > 0.0 && sum(|t| t[2]) > 0.0);
    assert!(a.roles[&Role::Leader].tally.log_bytes > 0.0);
    assert_eq!(a.roles[&Role::Plain].tally.log_bytes, 0.0);
}

#[test]
fn the_report_has_all_tables_and_a_verdict_for_each_role() {
    let text = report(&[run(12), run(16), run(20)], 2.5);
    [
        "### Measured, a second",
        "### Measured, a start",
        "### State",
        "### Slopes",
        "### Against the bounds",
    ]
    .iter()
    .for_each(|h| assert!(text.contains(h), "{h} is missing"));
    let verdicts = text
        .split("### Against the bounds")
        .nth(1)
        .map_or(0, |t| t.matches("hold").count());
    assert_eq!(verdicts, 3 * Role::ALL.len());
}

#[test]
fn the_largest_size_comes_last_and_each_slope_has_a_size_of_its_own() {
    let all = sizes(&[40, 80, 120]);
    assert_eq!(all.last().map(|s| (s.workers, s.nodes)), Some((120, 120)));
    assert!(all.iter().any(|s| s.workers == 120 && s.nodes == 40));
    assert!(all.iter().any(|s| s.workers == 40 && s.nodes == 120));
    assert!(all.iter().all(|s| s.task_ms() > 10_000.0));
}
