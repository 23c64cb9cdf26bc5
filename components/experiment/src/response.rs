//! Random responses of servers to requests and probes.

use health::OutcomeKind;

use crate::{random::Random, scenario::Condition};

/// Mean service time of a request on a healthy server, in seconds.
const MEAN_REQUEST_S: f64 = 0.1;

/// Mean service time of a probe on a healthy server, in seconds.
const MEAN_PROBE_S: f64 = 0.025;

/// Share of requests and probes that a short pause of the server delays.
const PAUSE_SHARE: f64 = 0.0005;

/// Mean length of a pause, in seconds.
const MEAN_PAUSE_S: f64 = 0.3;

/// Response to a request or probe.
#[derive(Debug, Clone, Copy)]
pub struct Response {
    /// Outcome; `None` if the server never responds.
    pub kind: Option<OutcomeKind>,
    /// Time from sending the request to the outcome, in microseconds.
    pub after_us: u64,
}

/// Draws the response to a request.
pub fn draw_request(random: &mut Random, condition: &Condition, round_trip_us: u64) -> Response {
    // Sum of three exponential draws: most responses are near the mean, few take three times as
    // long.
    let service_time_s: f64 = (0..3).map(|_| random.exponential(MEAN_REQUEST_S / 3.0)).sum();
    draw_response(random, condition, round_trip_us, service_time_s)
}

/// Draws the response to a probe.
pub fn draw_probe(random: &mut Random, condition: &Condition, round_trip_us: u64) -> Response {
    let service_time_s = MEAN_PROBE_S * (0.8 + 0.4 * random.unit());
    draw_response(random, condition, round_trip_us, service_time_s)
}

fn draw_response(
    random: &mut Random,
    condition: &Condition,
    round_trip_us: u64,
    service_time_s: f64,
) -> Response {
    if condition.down {
        return Response { kind: Some(OutcomeKind::Failed), after_us: round_trip_us };
    }
    if condition.unresponsive {
        return Response { kind: None, after_us: 0 };
    }
    if random.chance(condition.shed_share) {
        return Response { kind: Some(OutcomeKind::Shed), after_us: round_trip_us };
    }
    let pause_s = if random.chance(PAUSE_SHARE) { random.exponential(MEAN_PAUSE_S) } else { 0.0 };
    let queue_s = if condition.queue_s > 0.0 { random.exponential(condition.queue_s) } else { 0.0 };
    let seconds = service_time_s * condition.slowdown + pause_s + queue_s;
    let after_us = round_trip_us + (seconds * 1e6) as u64;
    let kind = if random.chance(condition.failure_share) {
        OutcomeKind::Failed
    } else if random.chance(condition.wrong_share) {
        OutcomeKind::Wrong
    } else {
        OutcomeKind::Answered
    };
    Response { kind: Some(kind), after_us }
}
