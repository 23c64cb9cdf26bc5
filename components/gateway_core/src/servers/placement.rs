//! Chooses the backend server of an attempt.
//!
//! Each server is weighed by the time until its answer, by what it costs to leave the data centre,
//! and by the chance that it loses the request. All costs are in lost requests. The load patterns that this answers:
//!
//! - *Calm times.* The nearest servers have free slots; traffic stays in the data centre.
//! - *Slow servers.* A slow server's queue makes its answers late, so that work leaves it in
//!   proportion, also before its first late answer.
//! - *A service that is short of servers in one place.* Work goes to other places once waiting
//!   there would take longer than going is worth.
//! - *New servers, and servers that were left alone.* A server of this data centre that was idle
//!   for a second is tried, so that all of them keep part in the work and what is known of them
//!   stays fresh; requests that may repeat go first.
//! - *Many servers that break at once.* See [`super::distress`].
//! - *Outbreaks of broken connections.* See [`super::standing`]; requests that must not repeat
//!   weigh the risk higher.

use ids::{Millis, ServerId, ServiceName, Timestamp};
use schema::announcement::ServerState;

use super::{Distance, Server, ServerTable, health::BrokenPrior};
use crate::configuration::{Idempotency, Route};

/// Attempts beyond its slots that a server gets, so that it finds its next work at once.
const MAX_QUEUED_AT_SERVER: u32 = 2;

/// Slots that a server has at least, when it announced none.
const MIN_SLOTS: u32 = 1;

/// Cost of a kilobyte to another data centre, in lost requests: what traffic costs there in
/// relation to a request that fails.
const OTHER_DATA_CENTRE_KILOBYTE_COST: f64 = 0.024;

/// Cost of a kilobyte to another region, in lost requests.
const OTHER_REGION_KILOBYTE_COST: f64 = 0.044;

/// Cost of an answer at its latency aim, in lost requests, when it is in time.
const TIME_COST: f64 = 0.05;

/// Cost of an answer that comes after its latency aim, in lost requests.
const LATE_COST: f64 = 0.3;

/// Parts of the latency aim between which an expected answer turns from in time to late.
const LATE_RANGE: (f64, f64) = (0.7, 1.3);

/// Cost that is taken off a server of this data centre that has been idle, in lost requests, when
/// the request may be sent again; more than the risk of a server that was just broken, so that
/// each server that takes work gets some within two seconds.
const IDLE_BONUS_IDEMPOTENT: f64 = 0.45;

/// The same for a request that must not be sent again; about the risk of a server of which nothing
/// was heard lately.
const IDLE_BONUS_NON_IDEMPOTENT: f64 = 0.12;

/// Idle times between which that gain grows from nothing to all of it, in milliseconds, for
/// requests that may be sent again: they go first as the test of a server.
const IDLE_RAMP_IDEMPOTENT: (f64, f64) = (400.0, 900.0);

/// The same for requests that must not be sent again: a server that answered a second ago still
/// does in 98 of 100 cases on calm days of the small sites (docs/design/overload.md), and services
/// that get only such requests have no other test.
const IDLE_RAMP_NON_IDEMPOTENT: (f64, f64) = (400.0, 900.0);

/// Chance of being broken up to which an idle server is tried by requests that may be sent again.
const IDLE_MAX_BROKEN_IDEMPOTENT: f64 = 0.85;

/// The same for requests that must not be sent again.
const IDLE_MAX_BROKEN_NON_IDEMPOTENT: f64 = 0.45;

/// The same while many attempts at the service fail: each server of this data centre gets some work
/// in two seconds then, since what broke it may have passed.
const IDLE_RAMP_WIDESPREAD_FAILURES: (f64, f64) = (1_400.0, 1_900.0);

/// Cost that is taken off an idle server then, in lost requests: more than a certain loss.
const IDLE_BONUS_WIDESPREAD_FAILURES: f64 = 1.0;

/// Time to another data centre of the region and back, in milliseconds.
const SAME_REGION_ROUND_TRIP_MS: f64 = 3.0;

/// Time to another region and back, in milliseconds.
const OTHER_REGION_ROUND_TRIP_MS: f64 = 45.0;

/// Cost of a loss in lost requests, when the request can be sent again if the budget allows it.
const IDEMPOTENT_LOSS_COST: f64 = 0.5;

/// Cost of trying a server that could not be connected to, in lost requests.
const UNREACHABLE_COST: f64 = 0.3;

/// Factor on the latency of a server that has just started.
const STARTING_LATENCY_FACTOR: f64 = 2.0;

/// Random part of the cost that keeps gateways from choosing alike, in lost requests.
const COST_JITTER: f64 = 0.003;

/// What is asked of the placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The route that led there.
    pub route: &'a Route,
    /// Servers that had it already.
    pub excluded: &'a [ServerId],
    /// Time until its answer has to be there.
    pub time_left: Millis,
}

/// Where an attempt goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// To this server.
    Server(ServerId),
    /// All servers that could answer in time are full; one should have room after this time.
    Full(Millis),
    /// No server could answer in time.
    TooLate(Millis),
    /// No server takes work.
    NoServer,
}

/// Chooses a server; `random` gives numbers from 0 to 1.
pub fn place(
    now: Timestamp,
    table: &ServerTable,
    request: &PlacementRequest<'_>,
    mut random: impl FnMut() -> f64,
) -> Placement {
    let avg_latency = table.average_latency(request.route);
    let prior = table.broken_prior(request.service);
    let kilobytes = table.average_kilobytes(request.route);
    let target_latency = request.route.target_latency.0.max(1) as f64;
    let time_left = request.time_left.0 as f64;
    let has_widespread_failures = table.has_widespread_failures(now, request.service);
    let mut best: Option<(f64, &Server)> = None;
    let mut earliest_free = f64::INFINITY;
    let mut earliest_response = f64::INFINITY;
    for server in table.available_for(request.service) {
        if request.excluded.contains(&server.announcement.server) {
            continue;
        }
        let estimate = Estimate::of(now, server, avg_latency, prior);
        earliest_response = earliest_response.min(estimate.response_in);
        if estimate.response_in > time_left {
            continue;
        }
        if estimate.is_full {
            earliest_free = earliest_free.min(estimate.free_in);
            continue;
        }
        let mut cost = estimate.cost(request.route.idempotency, target_latency, kilobytes)
            + COST_JITTER * random();
        if has_widespread_failures {
            cost -= estimate.widespread_failure_bonus();
        }
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, server));
        }
    }
    match best {
        Some((_, server)) => Placement::Server(server.announcement.server.clone()),
        None if earliest_free.is_finite() => Placement::Full(to_millis(earliest_free)),
        None if earliest_response.is_finite() => {
            Placement::TooLate(to_millis((earliest_response - time_left).max(1.0)))
        }
        None => Placement::NoServer,
    }
}

/// What sending a request to a server would bring.
struct Estimate {
    /// Milliseconds until the answer.
    response_in: f64,
    /// Milliseconds until a slot should be free.
    free_in: f64,
    is_full: bool,
    /// What a kilobyte costs on the way, in lost requests.
    kilobyte_cost: f64,
    is_unreachable: bool,
    failure_probability: f64,
    /// Time for which this data centre has left the server idle, in milliseconds.
    idle_millis: f64,
    /// The chance that the server is broken.
    broken_probability: f64,
}

impl Estimate {
    fn of(now: Timestamp, server: &Server, avg_latency: f64, prior: BrokenPrior) -> Self {
        let slots = server.announcement.slots.max(MIN_SLOTS);
        let in_flight = server.in_flight(now);
        let warmup_factor = match server.announcement.state {
            ServerState::Starting => STARTING_LATENCY_FACTOR,
            ServerState::Serving | ServerState::Draining | ServerState::Stopped => 1.0,
        };
        let service_time = avg_latency * server.slowdown(now, avg_latency) * warmup_factor;
        let queued = f64::from((in_flight + 1).saturating_sub(slots));
        let (round_trip, kilobyte_cost) = match server.distance {
            Distance::SameDataCentre => (0.0, 0.0),
            Distance::SameRegion => (SAME_REGION_ROUND_TRIP_MS, OTHER_DATA_CENTRE_KILOBYTE_COST),
            Distance::OtherRegion => (OTHER_REGION_ROUND_TRIP_MS, OTHER_REGION_KILOBYTE_COST),
        };
        Self {
            response_in: round_trip + service_time * (1.0 + queued / f64::from(slots)),
            free_in: service_time / f64::from(slots),
            is_full: in_flight >= slots + MAX_QUEUED_AT_SERVER || server.health.is_full(now),
            kilobyte_cost,
            is_unreachable: server.health.is_unreachable(now),
            failure_probability: server.health.failure_probability(now, prior),
            idle_millis: idle_millis(now, server),
            broken_probability: server.health.broken_probability(now, prior),
        }
    }

    /// The expected cost in lost requests.
    fn cost(&self, idempotency: Idempotency, target_latency: f64, kilobytes: f64) -> f64 {
        let loss_cost = match idempotency {
            Idempotency::Idempotent => IDEMPOTENT_LOSS_COST,
            Idempotency::NonIdempotent => 1.0,
        };
        let unreachable_cost = if self.is_unreachable { UNREACHABLE_COST } else { 0.0 };
        let latency_ratio = self.response_in / target_latency;
        let (in_time, late) = LATE_RANGE;
        let lateness = ((latency_ratio - in_time) / (late - in_time)).clamp(0.0, 1.0);
        latency_ratio * TIME_COST
            + lateness * LATE_COST
            + kilobytes * self.kilobyte_cost
            + unreachable_cost
            + self.failure_probability * loss_cost
            - self.idle_bonus(idempotency)
    }

    fn idle_bonus(&self, idempotency: Idempotency) -> f64 {
        let ((from, to), bonus, max_broken) = match idempotency {
            Idempotency::Idempotent => {
                (IDLE_RAMP_IDEMPOTENT, IDLE_BONUS_IDEMPOTENT, IDLE_MAX_BROKEN_IDEMPOTENT)
            }
            Idempotency::NonIdempotent => (
                IDLE_RAMP_NON_IDEMPOTENT,
                IDLE_BONUS_NON_IDEMPOTENT,
                IDLE_MAX_BROKEN_NON_IDEMPOTENT,
            ),
        };
        if self.broken_probability > max_broken {
            return 0.0;
        }
        bonus * self.idle_ramp(from, to)
    }

    fn widespread_failure_bonus(&self) -> f64 {
        let (from, to) = IDLE_RAMP_WIDESPREAD_FAILURES;
        IDLE_BONUS_WIDESPREAD_FAILURES * self.idle_ramp(from, to)
    }

    /// How far the idle time has come between two bounds, from 0 to 1.
    fn idle_ramp(&self, from: f64, to: f64) -> f64 {
        ((self.idle_millis - from) / (to - from)).clamp(0.0, 1.0)
    }
}

/// How long a server of this data centre was left idle; 0 when there is a reason for it.
fn idle_millis(now: Timestamp, server: &Server) -> f64 {
    let is_near = server.distance == Distance::SameDataCentre;
    let is_busy = server.in_flight(now) > 0;
    if !is_near || is_busy || server.health.is_unreachable(now) {
        return 0.0;
    }
    server.idle(now).map_or(f64::INFINITY, |it| it.0 as f64)
}

fn to_millis(value: f64) -> Millis {
    Millis(value.clamp(1.0, 60_000.0) as u64)
}
