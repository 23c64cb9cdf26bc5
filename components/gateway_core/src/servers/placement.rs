//! Chooses the backend server for an attempt.
//!
//! Each server has a cost made up of the expected response time, the traffic that leaves the data
//! centre, and the probability that the request is lost. Costs are in units of one lost request.
//! The load patterns that this handles:
//!
//! - *Normal load.* The nearest servers have free slots; traffic stays in the data centre.
//! - *Slow servers.* The queue of a slow server delays its responses, so it receives proportionally
//!   fewer requests, even before its first late response.
//! - *Too few servers in one place.* Requests go to other data centres once waiting here would cost
//!   more.
//! - *New servers, and servers that were avoided.* A server of this data centre that has been idle
//!   for a second is tried, so that all servers keep receiving requests and their health estimates
//!   stay fresh. Idempotent requests are sent to it first.
//! - *Many servers that break at once*, or hosts that go down with requests in flight. Servers that
//!   recovered seconds before must have part in the work by then, so each idle server is tried
//!   within two seconds whatever is believed of it, but not sooner than three after a loss. A server
//!   that works on old requests counts as idle here, also on those of gateways that are frozen.
//! - *Servers that name limits* get requests only with a permit, and rather few while others do as well.
//! - *Servers that each break now and then, with slots to spare.* In calm times half of this data
//!   centre's servers stay in work for requests that must not repeat, those with the youngest
//!   answers: a server that gets no request loses none. All have part once many requests fail, once
//!   half of the slots are taken, and while a gateway has just gone. New servers are always tried.
//! - *Servers that break connections for a few seconds.* See [`super::health`]; the risk weighs
//!   more for non-idempotent requests.

use ids::{Millis, ServerId, ServiceName, Timestamp};
use schema::announcement::ServerState;

use super::{Distance, Server, ServerTable, health::BrokenPrior};
use crate::{
    configuration::{Idempotency, Route},
    servers::ServerKey,
    work::WorkRatio,
};

/// Maximum number of attempts beyond a server's slots; they wait at the server, so that a slot that
/// becomes free is used at once.
const MAX_QUEUED_AT_SERVER: u32 = 2;

/// Number of slots assumed for a server that announces none.
const MIN_SLOTS: u32 = 1;

/// Cost of a kilobyte to another data centre of the region, in lost requests: the price of the
/// traffic relative to that of a failed request.
const OTHER_DATA_CENTRE_KILOBYTE_COST: f64 = 0.024;

/// Cost of a kilobyte to another region, in lost requests.
const OTHER_REGION_KILOBYTE_COST: f64 = 0.044;

/// Cost of the response time, in lost requests, for a response that takes the target latency; the
/// cost is proportional to the response time.
const TIME_COST: f64 = 0.05;

/// Additional cost of a late response, in lost requests.
const LATE_COST: f64 = 0.3;

/// Range of the expected response time, relative to the target latency, over which the cost of
/// being late rises from zero to its full value.
const LATE_RANGE: (f64, f64) = (0.7, 1.3);

/// Cost reduction for an idle server of this data centre, in lost requests, for idempotent
/// requests. It exceeds the risk of a server that has just broken, so that each server that accepts
/// requests gets some within two seconds.
const IDLE_BONUS_IDEMPOTENT: f64 = 0.45;

/// Cost reduction for an idle server for non-idempotent requests, in lost requests: about the risk
/// of a server without recent outcomes.
const IDLE_BONUS_NON_IDEMPOTENT: f64 = 0.12;

/// Range of idle time over which the cost reduction rises from zero to its full value, in
/// milliseconds, for idempotent requests, which are the first to test a server.
const IDLE_RAMP_IDEMPOTENT: (f64, f64) = (400.0, 900.0);

/// Range of idle time for non-idempotent requests, in milliseconds. A server that answered a second
/// ago still does so in 98 of 100 cases on calm days of the small sites (docs/design/overload.md),
/// and services that receive only such requests have no other test.
const IDLE_RAMP_NON_IDEMPOTENT: (f64, f64) = (400.0, 900.0);

/// Probability of being broken up to which idempotent requests get the cost reduction for an idle
/// server.
const IDLE_MAX_BROKEN_IDEMPOTENT: f64 = 0.85;

/// Probability of being broken up to which non-idempotent requests get the cost reduction for an
/// idle server.
const IDLE_MAX_BROKEN_NON_IDEMPOTENT: f64 = 0.45;

/// Range of idle time over which the cost reduction for any idle server rises to its full value, in
/// milliseconds: a healthy server has to get requests within two seconds.
const LONG_IDLE_RAMP: (f64, f64) = (1_400.0, 1_900.0);

/// Cost reduction for a server that was idle for long, in lost requests; it exceeds all other costs.
const LONG_IDLE_BONUS: f64 = 1.0;

/// Range of time since the last lost request over which [`LONG_IDLE_BONUS`] rises to its full value,
/// in milliseconds: a server counts as healthy again two seconds after it broke, and then has to get
/// requests within two more.
const LONG_IDLE_LOST_RAMP: (f64, f64) = (3_000.0, 3_500.0);

/// Round-trip time to another data centre of the region, in milliseconds.
const SAME_REGION_ROUND_TRIP_MS: f64 = 3.0;

/// Round-trip time to another region, in milliseconds.
const OTHER_REGION_ROUND_TRIP_MS: f64 = 45.0;

/// Cost of losing an idempotent request, in lost requests: it can be retried if the budget allows.
const IDEMPOTENT_LOSS_COST: f64 = 0.5;

/// Cost of trying a server that could not be connected to recently, in lost requests.
const UNREACHABLE_COST: f64 = 0.3;

/// Cost of a server that names a limit, in lost requests: it is in need, and a permit may take time.
const LIMITED_COST: f64 = 0.1;

/// Factor on the expected latency of a server that has just started.
const STARTING_LATENCY_FACTOR: f64 = 2.0;

/// Minimum share of a service's servers of a data centre that is in work in calm times.
const MIN_WORK_SHARE: f64 = 0.5;

/// Minimum number of servers in work, so that requests find known good ones after an outbreak.
const MIN_IN_WORK: u32 = 10;

/// Share of a service's slots of a data centre above which all its servers are in work.
const MAX_CALM_LOAD: f64 = 0.5;

/// Time since its last request for which a server counts as in work, in milliseconds.
const IN_WORK_MS: f64 = 1_000.0;

/// Maximum random addition to the cost, in lost requests, so that gateways don't all choose the
/// same server.
const COST_JITTER: f64 = 0.003;

/// The attempt that needs a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Route of the request.
    pub route: &'a Route,
    /// Servers that the request was already sent to.
    pub excluded: &'a [ServerId],
    /// Time until the deadline of the request.
    pub time_left: Millis,
    /// Whether the server may be one that names a limit, so that a permit is needed.
    pub may_ask: bool,
    /// Likely work of the request.
    pub(crate) work: WorkRatio,
}

/// Result of the placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// Send the attempt to this server.
    Server(ServerId),
    /// All servers that could respond in time are full; one should have a free slot after this
    /// time.
    Full(Millis),
    /// No server can respond in time; the fastest would be late by this much.
    TooLate(Millis),
    /// No server accepts requests.
    NoServer,
}

/// Picks the server with the lowest cost. `excess_at` returns what a server has to do beyond the work of as
/// many average requests, in milliseconds; `random` returns numbers from 0 to 1.
pub(crate) fn place(
    now: Timestamp,
    table: &ServerTable,
    request: &PlacementRequest<'_>,
    excess_at: impl Fn(ServerKey) -> f64,
    mut random: impl FnMut() -> f64,
) -> Placement {
    let avg_latency = table.average_latency(request.route);
    let prior = table.broken_prior(request.service);
    let kilobytes = table.average_kilobytes(request.route);
    let target_latency = request.route.target_latency.0.max(1) as f64;
    let time_left = request.time_left.0 as f64;
    let mut work = WorkShare::new(now, table, request);
    let mut best: Option<(f64, &Server)> = None;
    let mut best_in_work: Option<(f64, &Server)> = None;
    let mut earliest_free = f64::INFINITY;
    let mut earliest_response = f64::INFINITY;
    for server in table.available_for(now, request.service) {
        if request.excluded.contains(&server.announcement.server) {
            continue;
        }
        let is_limited = table.limit(server.key()).is_some();
        if is_limited && !request.may_ask {
            continue;
        }
        let ahead = WorkAhead { request: request.work, excess: excess_at(server.key()) };
        let estimate = Estimate::of(now, server, avg_latency, prior, ahead);
        work.count(server, &estimate);
        earliest_response = earliest_response.min(estimate.response_in);
        if estimate.possible_in > time_left {
            continue;
        }
        if estimate.is_full {
            earliest_free = earliest_free.min(estimate.free_in);
            continue;
        }
        let cost = estimate.cost(request.route.idempotency, target_latency, kilobytes)
            + COST_JITTER * random()
            + if is_limited { LIMITED_COST } else { 0.0 };
        let bonus = estimate.idle_bonus(request.route.idempotency) + estimate.long_idle_bonus();
        let cost_in_work = if estimate.is_new() { cost - bonus } else { cost };
        keep_lowest(&mut best, cost - bonus, server);
        keep_lowest(&mut best_in_work, cost_in_work, server);
    }
    match if work.is_enough() { best_in_work } else { best } {
        Some((_, server)) => Placement::Server(server.announcement.server.clone()),
        None if earliest_free.is_finite() => Placement::Full(to_millis(earliest_free)),
        None if earliest_response.is_finite() => {
            Placement::TooLate(to_millis((earliest_response - time_left).max(1.0)))
        }
        None => Placement::NoServer,
    }
}

fn keep_lowest<'a>(best: &mut Option<(f64, &'a Server)>, cost: f64, server: &'a Server) {
    if best.is_none_or(|(lowest, _)| cost < lowest) {
        *best = Some((cost, server));
    }
}

/// How many of this data centre's servers are in work.
struct WorkShare {
    may_rest: bool,
    open: u32,
    in_work: u32,
    slots: u32,
    in_flight: u32,
}

impl WorkShare {
    fn new(now: Timestamp, table: &ServerTable, request: &PlacementRequest<'_>) -> Self {
        let is_non_idempotent = request.route.idempotency == Idempotency::NonIdempotent;
        let may_rest = is_non_idempotent && !table.fails_often(now, request.service);
        Self { may_rest, open: 0, in_work: 0, slots: 0, in_flight: 0 }
    }

    fn count(&mut self, server: &Server, estimate: &Estimate) {
        if server.distance != Distance::SameDataCentre || estimate.is_unreachable {
            return;
        }
        self.open += 1;
        self.slots += estimate.slots;
        self.in_flight += estimate.in_flight;
        self.in_work += u32::from(estimate.unused_millis < IN_WORK_MS);
    }

    /// Returns whether enough servers are in work, so that the others may stay idle.
    fn is_enough(&self) -> bool {
        self.may_rest
            && self.in_work >= MIN_IN_WORK
            && f64::from(self.in_work) >= f64::from(self.open) * MIN_WORK_SHARE
            && f64::from(self.in_flight) <= f64::from(self.slots) * MAX_CALM_LOAD
    }
}

/// The work of a request, and what a server has to do before it.
#[derive(Clone, Copy)]
struct WorkAhead {
    request: WorkRatio,
    /// Work of the server beyond that of as many average requests, in milliseconds.
    excess: f64,
}

impl WorkAhead {
    /// Returns the time until a slot is free for the request, in milliseconds, if `queued` requests and it wait
    /// for one. With a slot that is free the others' work doesn't matter. Requests that cost less shorten the
    /// wait only as far as they are among those that wait.
    fn wait(self, service_time: f64, queued: f64, in_flight: u32, slots: u32) -> f64 {
        if queued == 0.0 {
            return 0.0;
        }
        let excess = match self.excess < 0.0 {
            true => self.excess * queued / f64::from(in_flight + 1),
            false => self.excess,
        };
        ((service_time * queued + excess) / f64::from(slots)).max(0.0)
    }
}

/// Estimates for sending a request to a server.
struct Estimate {
    /// Time until the response, in milliseconds.
    response_in: f64,
    /// The same without what the request is believed to cost beyond the average: a belief refuses nothing,
    /// so that it can be corrected.
    possible_in: f64,
    /// Time until a slot becomes free, in milliseconds.
    free_in: f64,
    is_full: bool,
    slots: u32,
    in_flight: u32,
    /// Network cost of a kilobyte, in lost requests.
    kilobyte_cost: f64,
    is_unreachable: bool,
    failure_probability: f64,
    /// Time for which this data centre has left the server idle, in milliseconds.
    idle_millis: f64,
    /// Time for which this data centre has sent the server no request, in milliseconds.
    unused_millis: f64,
    /// Probability that the server is broken.
    broken_probability: f64,
    /// Time since a request was lost at the server, in milliseconds; infinite if none was.
    millis_since_lost: f64,
}

impl Estimate {
    fn of(
        now: Timestamp,
        server: &Server,
        avg_latency: f64,
        prior: BrokenPrior,
        work: WorkAhead,
    ) -> Self {
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
        let wait = work.wait(service_time, queued, in_flight, slots);
        Self {
            response_in: round_trip + service_time * work.request.0 + wait,
            possible_in: round_trip + service_time * work.request.0.min(1.0) + wait,
            // The averages say nothing of what the requests in flight are: without a response for
            // some time, the next one is as likely to take that long again.
            free_in: (service_time / f64::from(slots)).max(server.stalled_millis(now)),
            is_full: in_flight >= slots + MAX_QUEUED_AT_SERVER || server.health.is_full(now),
            slots,
            in_flight,
            kilobyte_cost,
            is_unreachable: server.health.is_unreachable(now),
            failure_probability: server.health.failure_probability(now, prior),
            idle_millis: idle_millis(now, server),
            unused_millis: unused_millis(now, server),
            broken_probability: server.health.broken_probability(now, prior),
            millis_since_lost: server
                .health
                .since_lost(now)
                .map_or(f64::INFINITY, |it| it.0 as f64),
        }
    }

    /// Returns the expected cost, in lost requests.
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
    }

    /// Returns whether this data centre has sent the server no request yet.
    fn is_new(&self) -> bool {
        self.unused_millis.is_infinite()
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

    fn long_idle_bonus(&self) -> f64 {
        let (from, to) = LONG_IDLE_RAMP;
        let (lost_from, lost_to) = LONG_IDLE_LOST_RAMP;
        LONG_IDLE_BONUS
            * ramp(self.unused_millis, from, to)
            * ramp(self.millis_since_lost, lost_from, lost_to)
    }

    /// Returns the position of the idle time between two bounds, from 0 to 1.
    fn idle_ramp(&self, from: f64, to: f64) -> f64 {
        ramp(self.idle_millis, from, to)
    }
}

/// Returns how long a server of this data centre has been idle, or infinity if it was never used.
/// Returns 0 for servers that are busy, unreachable or in another data centre.
fn idle_millis(now: Timestamp, server: &Server) -> f64 {
    match server.in_flight(now) {
        0 => unused_millis(now, server),
        _ => 0.0,
    }
}

fn unused_millis(now: Timestamp, server: &Server) -> f64 {
    let is_near = server.distance == Distance::SameDataCentre;
    if !is_near || server.health.is_unreachable(now) {
        return 0.0;
    }
    server.idle(now).map_or(f64::INFINITY, |it| it.0 as f64)
}

/// Returns the position of a value between two bounds, from 0 to 1.
fn ramp(value: f64, from: f64, to: f64) -> f64 {
    ((value - from) / (to - from)).clamp(0.0, 1.0)
}

fn to_millis(value: f64) -> Millis {
    Millis(value.clamp(1.0, 60_000.0) as u64)
}
