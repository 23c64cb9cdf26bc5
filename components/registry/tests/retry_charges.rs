//! Tests that control hosts keep what entry hosts have charged to the retry budgets.

use ids::{HostId, Incarnation, Millis, RetryCredit, Timestamp};
use registry::RetryChargeRecords;
use schema::retry_budget::{RetryCharges, RetrySlice};

const HOST: HostId = HostId(7);

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn charges(service: &str, charged: u64) -> RetryCharges {
    let slice = RetrySlice { age_ms: Millis(0), requests: 100, charged: RetryCredit(charged) };
    RetryCharges { service: service.parse().unwrap(), slices: vec![slice] }
}

/// Returns what is known of the processes before `incarnation`: services, charges and ages.
fn known(
    records: &RetryChargeRecords,
    now: Timestamp,
    incarnation: u64,
) -> Vec<(String, RetryCredit, Millis)> {
    let earlier = records.before(now, (HOST, Incarnation(incarnation)));
    let services = earlier.services.into_iter();
    let mut known: Vec<_> = services
        .map(|it| (it.charges.service.to_string(), it.charges.slices[0].charged, it.age_ms))
        .collect();
    known.sort();
    known
}

#[test]
fn the_next_process_is_told_the_last_report_on_each_service() {
    let mut records = RetryChargeRecords::new(at(0), false);
    records.record(at(1_000), (HOST, Incarnation(1)), &charges("pay", 2_000));
    records.record(at(2_000), (HOST, Incarnation(1)), &charges("pay", 5_000));
    records.record(at(3_000), (HOST, Incarnation(1)), &charges("look", 1_000));
    records.record(at(3_000), (HostId(8), Incarnation(1)), &charges("look", 9_000));

    let expected = [("look", 1_000, 1_000), ("pay", 5_000, 2_000)];
    let expected =
        expected.map(|(it, charged, age)| (it.into(), RetryCredit(charged), Millis(age)));
    assert_eq!(known(&records, at(4_000), 2), expected);
    assert_eq!(known(&records, at(4_000), 1), [], "its own charges are not told to a process");
}

#[test]
fn a_late_report_of_an_earlier_process_does_not_replace_one_of_the_next() {
    let mut records = RetryChargeRecords::new(at(0), false);
    records.record(at(1_000), (HOST, Incarnation(2)), &charges("pay", 7_000));
    records.record(at(1_100), (HOST, Incarnation(1)), &charges("pay", 2_000));

    let known = known(&records, at(1_100), 3);
    assert_eq!(known, [("pay".into(), RetryCredit(7_000), Millis(100))]);
}

#[test]
fn an_answer_says_for_how_long_charges_have_been_recorded() {
    let known_for = |is_new_fleet| {
        let records = RetryChargeRecords::new(at(5_000), is_new_fleet);
        records.before(at(7_000), (HOST, Incarnation(1))).known_for_ms
    };
    assert_eq!(known_for(false), Millis(2_000));
    assert_eq!(known_for(true), Millis(u64::MAX), "there was nothing before");
}

#[test]
fn charges_older_than_any_window_are_dropped() {
    let mut records = RetryChargeRecords::new(at(0), false);
    records.record(at(1_000), (HOST, Incarnation(1)), &charges("pay", 7_000));
    records.record(at(80_000), (HostId(8), Incarnation(1)), &charges("pay", 1_000));

    assert_eq!(known(&records, at(80_000), 2), []);
}
