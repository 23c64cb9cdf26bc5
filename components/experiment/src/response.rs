//! How a server answers one request or probe.

use health::OutcomeKind;

use crate::{random::Random, scenario::Condition};

/// Mean time of a request at a healthy server, in seconds.
const REQUEST_S: f64 = 0.1;

/// Mean time of a probe at a healthy server, in seconds.
const PROBE_S: f64 = 0.025;

/// Share of probes and requests that meet a short pause of the server.
const PAUSE_SHARE: f64 = 0.0005;

/// Mean length of a pause, in seconds.
const PAUSE_S: f64 = 0.3;

/// How a request ends in the end, and when.
#[derive(Debug, Clone, Copy)]
pub struct Response {
    /// How it ends; `None` when there is never an answer.
    pub kind: Option<OutcomeKind>,
    /// When, in microseconds after it was sent.
    pub after_us: u64,
}

/// Draws how a request ends.
pub fn request(random: &mut Random, condition: &Condition, round_trip_us: u64) -> Response {
    // The sum of three draws: most answers are near the mean, few take three times as long.
    let work: f64 = (0..3).map(|_| random.exponential(REQUEST_S / 3.0)).sum();
    respond(random, condition, round_trip_us, work)
}

/// Draws how a probe ends.
pub fn probe(random: &mut Random, condition: &Condition, round_trip_us: u64) -> Response {
    let work = PROBE_S * (0.8 + 0.4 * random.unit());
    respond(random, condition, round_trip_us, work)
}

fn respond(
    random: &mut Random,
    condition: &Condition,
    round_trip_us: u64,
    work_s: f64,
) -> Response {
    if condition.down {
        return Response { kind: Some(OutcomeKind::Failed), after_us: round_trip_us };
    }
    if condition.silent {
        return Response { kind: None, after_us: 0 };
    }
    if random.chance(condition.shed) {
        return Response { kind: Some(OutcomeKind::Shed), after_us: round_trip_us };
    }
    let pause = if random.chance(PAUSE_SHARE) { random.exponential(PAUSE_S) } else { 0.0 };
    let queue = if condition.queue_s > 0.0 { random.exponential(condition.queue_s) } else { 0.0 };
    let seconds = work_s * condition.slowdown + pause + queue;
    let after_us = round_trip_us + (seconds * 1e6) as u64;
    let kind = if random.chance(condition.failures) {
        OutcomeKind::Failed
    } else if random.chance(condition.wrong) {
        OutcomeKind::Wrong
    } else {
        OutcomeKind::Answered
    };
    Response { kind: Some(kind), after_us }
}
