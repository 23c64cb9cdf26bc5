//! Retries stay within the budget, and never repeat a non-idempotent request that may have run.

use ids::{Millis, Timestamp};
use limits::retry::{
    AttemptFailure, FinalOutcome, GiveUpReason, HedgePolicy, RequestAttempts, RetryBudget,
    RetryBudgetSettings, RetryDecision, RetryPolicy, RetryRequest,
};
use schema::config_text::Patience;

const CASES: u64 = 300;
const CASE_BYTES: u64 = 2_048;

const FAILURES: [AttemptFailure; 6] = [
    AttemptFailure::NotSent,
    AttemptFailure::Shed { proves_not_run: true, retry_after: None },
    AttemptFailure::Shed { proves_not_run: false, retry_after: Some(Millis(700)) },
    AttemptFailure::Failed,
    AttemptFailure::TimedOut,
    AttemptFailure::Truncated,
];

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn request(idempotent: bool, patience: Patience) -> RetryRequest {
    RetryRequest { idempotent, patience, deadline: at(10_000) }
}

fn full_budget() -> RetryBudget {
    RetryBudget::new(at(0), RetryBudgetSettings::default())
}

fn empty_budget() -> RetryBudget {
    let none = RetryBudgetSettings { retry_ratio_milli: 0, max_tokens_milli: 0, min_rate_milli: 0 };
    RetryBudget::new(at(0), none)
}

fn first_decision(
    request: RetryRequest,
    failure: AttemptFailure,
    budget: &mut RetryBudget,
) -> RetryDecision {
    RetryPolicy.decide(at(100), request, &mut RequestAttempts::default(), failure, true, budget)
}

#[test]
fn non_idempotent_requests_are_only_retried_when_they_did_not_run() {
    let request = request(false, Patience::Prompt);

    for failure in FAILURES {
        let decision = first_decision(request, failure, &mut full_budget());

        match failure {
            AttemptFailure::NotSent | AttemptFailure::Shed { proves_not_run: true, .. } => {
                assert_eq!(decision, RetryDecision::RetryNow);
            }
            _ => assert!(
                matches!(
                    decision,
                    RetryDecision::GiveUp {
                        outcome: FinalOutcome::Unknown,
                        reason: GiveUpReason::NotIdempotent,
                        ..
                    }
                ),
                "{failure:?}"
            ),
        }
    }
}

#[test]
fn sheds_and_refused_connections_cost_no_budget() {
    let request = request(true, Patience::Prompt);

    for failure in FAILURES {
        let decision = first_decision(request, failure, &mut empty_budget());

        let free = matches!(failure, AttemptFailure::NotSent | AttemptFailure::Shed { .. });
        assert_eq!(decision == RetryDecision::RetryNow, free, "{failure:?}");
    }
}

#[test]
fn a_prompt_request_backs_off_three_times_when_shed_and_is_then_given_up() {
    let mut attempts = RequestAttempts::default();
    let mut budget = full_budget();
    let shed = AttemptFailure::Shed { proves_not_run: true, retry_after: Some(Millis(9_000)) };
    let request = request(true, Patience::Prompt);
    let mut now = at(100);

    for backoff in [50, 100, 200] {
        let decision = RetryPolicy.decide(now, request, &mut attempts, shed, false, &mut budget);
        assert_eq!(decision, RetryDecision::RetryAt(now + Millis(backoff)));
        now = now + Millis(backoff);
        let resumed = RetryPolicy.resume(now, request, &mut attempts, &mut budget);
        assert_eq!(resumed, RetryDecision::RetryNow);
    }
    let decision = RetryPolicy.decide(now, request, &mut attempts, shed, false, &mut budget);

    let RetryDecision::GiveUp { outcome, reason, retry_after } = decision else {
        panic!("{decision:?}")
    };
    assert_eq!((outcome, reason), (FinalOutcome::NotRun, GiveUpReason::Busy));
    assert!(retry_after > Millis(0));
}

#[test]
fn a_prompt_request_is_given_up_at_once_when_no_server_can_be_reached() {
    let mut attempts = RequestAttempts::default();
    let failure = AttemptFailure::NotSent;
    let request = request(true, Patience::Prompt);

    let decision =
        RetryPolicy.decide(at(100), request, &mut attempts, failure, false, &mut full_budget());

    assert!(matches!(
        decision,
        RetryDecision::GiveUp { outcome: FinalOutcome::NotRun, reason: GiveUpReason::Busy, .. }
    ));
}

#[test]
fn a_patient_request_backs_off_and_takes_a_token_before_it_runs_again() {
    let mut attempts = RequestAttempts::default();
    let mut budget = empty_budget();
    let request = request(true, Patience::Patient);

    let failed = AttemptFailure::Failed;
    let first = RetryPolicy.decide(at(100), request, &mut attempts, failed, true, &mut budget);
    let RetryDecision::RetryAt(wake) = first else { panic!("{first:?}") };
    let second = RetryPolicy.resume(wake, request, &mut attempts, &mut budget);
    let RetryDecision::RetryAt(wake) = second else { panic!("{second:?}") };
    let third = RetryPolicy.resume(wake, request, &mut attempts, &mut full_budget());

    assert_eq!(third, RetryDecision::RetryNow);
}

#[test]
fn attempt_deadlines_never_pass_the_request_deadline() {
    let attempts = RequestAttempts::default();

    for now in [0, 5_000, 9_995, 10_000, 12_000] {
        for idempotent in [false, true] {
            let request = request(idempotent, Patience::Prompt);
            let deadline = RetryPolicy.attempt_deadline(at(now), request, &attempts);

            assert!(deadline <= request.deadline);
            assert!(idempotent || deadline == request.deadline);
        }
    }
}

#[test]
fn hedges_come_after_the_95th_percentile_and_only_for_idempotent_requests() {
    let mut hedge = HedgePolicy::default();
    assert_eq!(hedge.hedge_at(at(0), true, at(10_000)), None);
    for i in 0..100 {
        hedge.observe(Millis(if i < 90 { 50 } else { 400 }));
    }

    let delay = hedge.hedge_at(at(0), true, at(10_000)).unwrap().since(at(0));

    assert!((Millis(400)..Millis(500)).contains(&delay), "{delay}");
    assert_eq!(hedge.hedge_at(at(0), false, at(10_000)), None);
    assert_eq!(hedge.hedge_at(at(0), true, at(420)), None);
    assert!(!hedge.try_hedge(at(0), &mut empty_budget()));
}

/// Simulates one request against random failures; returns the number of attempts and of runs.
fn simulate_request(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    start: u64,
    request: RetryRequest,
    budget: &mut RetryBudget,
) -> arbtest::arbitrary::Result<(u64, u64)> {
    let mut attempts = RequestAttempts::default();
    let mut now = at(start);
    let (mut attempt_count, mut runs, mut may_have_run) = (1, 0, false);
    budget.record_first_attempt(now);
    loop {
        let failure = *u.choose(&FAILURES)?;
        let servers_left = u.ratio(3, 4)?;
        now = now + Millis(u.int_in_range(0..=50)?);
        let proves_not_run = matches!(
            failure,
            AttemptFailure::NotSent | AttemptFailure::Shed { proves_not_run: true, .. }
        );
        may_have_run |= !proves_not_run;
        runs +=
            u64::from(!matches!(failure, AttemptFailure::NotSent | AttemptFailure::Shed { .. }));
        let mut decision =
            RetryPolicy.decide(now, request, &mut attempts, failure, servers_left, budget);
        while let RetryDecision::RetryAt(wake) = decision {
            assert!(wake > now && wake < request.deadline);
            now = wake;
            decision = RetryPolicy.resume(now, request, &mut attempts, budget);
        }
        if let RetryDecision::GiveUp { outcome, retry_after, .. } = decision {
            let expected = if may_have_run { FinalOutcome::Unknown } else { FinalOutcome::NotRun };
            assert_eq!(outcome, expected);
            assert!(retry_after > Millis(0));
            return Ok((attempt_count, runs));
        }
        assert!(request.idempotent || !may_have_run);
        attempt_count += 1;
    }
}

#[test]
fn the_budget_bounds_runs_under_any_outcomes() {
    let settings = RetryBudgetSettings {
        retry_ratio_milli: 200,
        max_tokens_milli: 5_000,
        min_rate_milli: 100,
    };
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let mut budget = RetryBudget::new(at(0), settings);
            let (mut requests, mut runs) = (0_u64, 0_u64);
            while !u.is_empty() {
                let patience = *u.choose(&[Patience::Prompt, Patience::Patient])?;
                let request = request(u.ratio(3, 4)?, patience);
                requests += 1;
                let Ok((attempt_count, run)) =
                    simulate_request(u, requests * 10, request, &mut budget)
                else {
                    break;
                };
                runs += run;
                // Up to four attempts follow the start, each of two reruns and of three backoffs.
                assert!(patience == Patience::Patient || attempt_count <= 4 * (1 + 2 + 3));
                // All requests end by 10 s, in which the minimum rate earns one token.
                assert!(runs * 1_000 <= requests * 1_200 + 5_000 + 1_000);
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}
