//! A server that loses the connections of many distinct requests is the cause, not the requests.

use entry_core::LostConnections;
use ids::{Fingerprint, Millis, ServerId, Timestamp};

fn server() -> ServerId {
    "server-1".parse().unwrap()
}

fn request(number: u64) -> Fingerprint {
    Fingerprint::of(&number.to_be_bytes())
}

/// Records one lost connection per second for the given requests, and returns whether the server is
/// the likely cause after the last one.
fn is_server_likely_cause_after(requests: &[u64]) -> bool {
    let mut lost = LostConnections::default();
    let mut now = Timestamp::from_millis(1_000);
    let mut is_server_likely_cause = false;
    for number in requests {
        is_server_likely_cause = lost.record(now, &server(), request(*number));
        now = now + Millis(1_000);
    }
    is_server_likely_cause
}

#[test]
fn a_repeated_request_is_no_evidence_against_the_server() {
    assert!(!is_server_likely_cause_after(&[7; 50]));
}

#[test]
fn requests_lost_in_one_crash_are_no_evidence_against_the_server() {
    assert!(!is_server_likely_cause_after(&[1, 2, 3, 1]));
}

#[test]
fn five_distinct_requests_are_evidence_against_the_server() {
    assert!(is_server_likely_cause_after(&[1, 2, 3, 4, 5]));
}

#[test]
fn losses_outside_the_window_do_not_count() {
    let mut lost = LostConnections::default();
    let early = Timestamp::from_millis(1_000);
    (0..4).for_each(|it| {
        lost.record(early, &server(), request(it));
    });

    let is_server_likely_cause = lost.record(early + Millis(10_000), &server(), request(9));

    assert!(!is_server_likely_cause);
}
