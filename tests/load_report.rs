//! Tests the percentiles and sums that the load tool reports.

use std::time::Duration;

use daisypaddle::load::LaneReport;

#[test]
fn percentiles_keep_long_latencies() {
    let mut report = LaneReport::new(0);
    (1..=100).for_each(|it| report.record(Duration::from_millis(it), "ran"));

    let median = report.percentile(50.0);
    let longest = report.percentile(100.0);

    assert!((49_900..=50_100).contains(&median), "{median}");
    assert!((99_900..=100_100).contains(&longest), "{longest}");
}

#[test]
fn reports_of_the_same_lane_are_summed() {
    let mut report = LaneReport::new(1);
    let mut part = LaneReport::new(2);
    part.record(Duration::from_millis(3), "not-run");

    report.merge(&part);

    let text = report.to_string();
    assert!(text.ends_with("answers=1 not-run=1 unsent=3"), "{text}");
}
