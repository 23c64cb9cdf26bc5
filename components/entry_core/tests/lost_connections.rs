//! A server that breaks many different requests is the cause, not the requests.

use entry_core::LostConnections;
use ids::{Fingerprint, Millis, ServerId, Timestamp};

fn server() -> ServerId {
    "server-1".parse().unwrap()
}

fn request(number: u64) -> Fingerprint {
    Fingerprint::of(&number.to_be_bytes())
}

/// Notes lost connections of these requests, one a second, and returns the last verdict.
fn verdict_after(requests: &[u64]) -> bool {
    let mut lost = LostConnections::default();
    let mut now = Timestamp::from_millis(1_000);
    let mut verdict = false;
    for number in requests {
        verdict = lost.record(now, &server(), request(*number));
        now = now + Millis(1_000);
    }
    verdict
}

#[test]
fn one_request_sent_again_is_no_evidence() {
    assert!(!verdict_after(&[7; 50]));
}

#[test]
fn a_crash_with_full_slots_is_no_evidence() {
    assert!(!verdict_after(&[1, 2, 3, 1]));
}

#[test]
fn many_different_requests_are_evidence() {
    assert!(verdict_after(&[1, 2, 3, 4, 5]));
}

#[test]
fn old_losses_are_forgotten() {
    let mut lost = LostConnections::default();
    let early = Timestamp::from_millis(1_000);
    (0..4).for_each(|it| {
        lost.record(early, &server(), request(it));
    });

    let verdict = lost.record(early + Millis(10_000), &server(), request(9));

    assert!(!verdict);
}
