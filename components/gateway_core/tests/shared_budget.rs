//! Tests how two gateways of a data centre share the retry budget.

mod common;

use common::{Harness, OWN_HOST, at, entry_host, gateway, route, server, service};
use gateway_core::{AttemptEnd, Gateway, Idempotency, Step};
use ids::{HostId, LoanNumber, RetryCredit, Timestamp};
use schema::{
    announcement::Announcement,
    retry_budget::{LoanAsk, RetryBudgetMessage},
    sync::EntryHostRecord,
};

const PEER: HostId = HostId(2);

/// Retries that the data centre may send without any first attempts: two of the 24 assumed hosts
/// share a fleet-wide slack of 48.
const SLACK: usize = 4;

fn servers() -> Vec<Announcement> {
    (1..=8).map(|i| server(i, "north-a")).collect()
}

fn hosts() -> Vec<EntryHostRecord> {
    vec![entry_host(1, "north-a"), entry_host(2, "north-a")]
}

fn harness() -> Harness {
    Harness::new(vec![route("look", Idempotency::Idempotent)], servers(), hosts())
}

fn peer() -> Gateway {
    gateway(PEER, vec![route("look", Idempotency::Idempotent)], servers(), hosts())
}

/// Delivers the messages about loans between the two gateways.
fn exchange_loans(now: Timestamp, harness: &mut Harness, peer: &mut Gateway) {
    let to_peer = |(to, _): &(HostId, RetryBudgetMessage)| *to == PEER;
    for (_, message) in harness.gateway.take_retry_budget_messages().into_iter().filter(to_peer) {
        peer.on_retry_budget_message(now, OWN_HOST, &message);
    }
    let to_own = |(to, _): &(HostId, RetryBudgetMessage)| *to == OWN_HOST;
    for (_, message) in peer.take_retry_budget_messages().into_iter().filter(to_own) {
        harness.gateway.on_retry_budget_message(now, PEER, &message);
    }
}

/// Sends a request that every server loses; returns its number of attempts.
fn lose(harness: &mut Harness, now: Timestamp, number: usize) -> usize {
    let id = harness.begin(now, &format!("/look/{number}"));
    let mut attempts = 0;
    while let Step::Send(start) = harness.gateway.step(now, id) {
        attempts += 1;
        harness.end(now, id, &start, AttemptEnd::Lost);
    }
    harness.gateway.forget(now, id);
    attempts
}

#[test]
fn several_retries_at_once_are_within_the_budget_if_the_other_gateway_needs_none() {
    let mut harness = harness();
    let mut peer = peer();
    let mut retries = 0;

    for i in 0..3 {
        let now = at(i);
        let id = harness.begin(now, &format!("/look/{i}"));
        loop {
            match harness.gateway.step(now, id) {
                Step::Send(start) => {
                    retries += usize::from(start.attempt.0 > 0);
                    harness.end(now, id, &start, AttemptEnd::Lost);
                }
                Step::Wait(until) => {
                    assert!(until > now);
                    exchange_loans(now, &mut harness, &mut peer);
                    assert_eq!(harness.gateway.take_wakeups(), [id]);
                }
                Step::Relay(start) => panic!("passed on: {start:?}"),
                Step::Finish(_) => break,
            }
        }
        harness.gateway.forget(now, id);
    }

    assert_eq!(retries, 3);
}

#[test]
fn no_window_exceeds_the_share_and_the_slack() {
    let mut harness = harness();
    let mut sent: Vec<(Timestamp, usize)> = Vec::new();
    for i in 0..600 {
        let now = at(i * 50);
        sent.push((now, lose(&mut harness, now, i as usize)));
    }

    for (start, _) in &sent {
        let end = *start + ids::Millis(10_000);
        let window = sent.iter().filter(|(it, _)| it >= start && *it < end);
        let first = window.clone().count();
        let retries: usize = window.map(|(_, attempts)| attempts - 1).sum();
        assert!(retries * 5 <= first + SLACK * 5, "{retries} retries for {first} first attempts");
    }
}

#[test]
fn a_loan_uses_up_the_part_of_the_lender() {
    let mut harness = harness();
    let amount = RetryCredit(1_000 * SLACK as u64);
    let ask = LoanAsk { number: LoanNumber(1), service: service(), amount };

    harness.gateway.on_retry_budget_message(at(0), PEER, &RetryBudgetMessage::LoanAsk(ask));

    let mut messages = harness.gateway.take_retry_budget_messages();
    messages.retain(|(to, _)| *to == PEER);
    let [(PEER, RetryBudgetMessage::LoanAnswer(answer))] = &messages[..] else {
        panic!("the ask is not answered: {messages:?}");
    };
    assert!(answer.amount > RetryCredit(0));
    assert!(answer.amount <= RetryCredit(1_000 * SLACK as u64 / 2), "half of the slack is its own");
    assert_eq!(lose(&mut harness, at(100), 1), 1);
    assert_eq!(lose(&mut harness, at(13_000), 2), 2, "the budget recovers after one window");
}
