//! Runs are deterministic, faults are detected, and summaries are computed correctly.

use experiment::{ALL_SCENARIOS, Deployment, Detector, Load, RunResult, Scenario, run, summarise};

fn result(detected_us: Option<u64>, false_ejections: u64) -> RunResult {
    RunResult { detected_us, false_ejections, server_days: 2.0, ..RunResult::default() }
}

#[test]
fn a_run_is_deterministic() {
    let first = run(Deployment::Strengur, Load::Night, Scenario::Killed, 7);
    let second = run(Deployment::Strengur, Load::Night, Scenario::Killed, 7);

    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

#[test]
fn a_killed_server_is_detected_without_false_ejections() {
    let result = run(Deployment::Drumscan, Load::Night, Scenario::Killed, 3);

    assert!(result.detected_us.is_some());
    assert_eq!(result.false_ejections, 0);
}

#[test]
fn percentiles_count_runs_without_a_detection() {
    let runs = [result(Some(1_000_000), 0), result(Some(3_000_000), 0), result(None, 1)];

    let rows = summarise(Deployment::Strengur, Load::Day, Scenario::Killed, &runs);
    let row = rows.iter().find(|it| it.detector == Detector::Pooled).unwrap();

    assert_eq!(row.percentile_s(50.0), Some(3.0));
    assert_eq!(row.percentile_s(99.0), None);
    assert_eq!(row.false_ejections, 1);
}

#[test]
fn the_bound_on_false_ejections_assumes_a_poisson_distribution() {
    let runs = [result(None, 0)];

    let rows = summarise(Deployment::Strengur, Load::Day, Scenario::Quiet, &runs);

    // Without an event in 2 server-days, the upper 95% bound is ln(20) / 2 per server-day.
    let bound = rows[0].false_per_server_year_bound();
    assert!((bound - 20.0_f64.ln() / 2.0 * 365.25).abs() < 0.01, "{bound}");
}

#[test]
fn scenario_names_can_be_parsed() {
    for scenario in ALL_SCENARIOS {
        assert_eq!(scenario.to_string().parse(), Ok(scenario));
    }
}
