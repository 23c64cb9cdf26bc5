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

use super::{Distance, Server, ServerTable, standing::BrokenShare};
use crate::configuration::{Idempotency, Route};

/// Attempts beyond its slots that a server gets, so that it finds its next work at once.
const QUEUED_AT_SERVER: u32 = 2;

/// Slots that a server has at least, when it announced none.
const MIN_SLOTS: u32 = 1;

/// Cost of a kilobyte to another data centre, in lost requests: what traffic costs there in
/// relation to a request that fails.
const OTHER_DATA_CENTRE_COST: f64 = 0.024;

/// Cost of a kilobyte to another region, in lost requests.
const OTHER_REGION_COST: f64 = 0.044;

/// Cost of an answer at its latency aim, in lost requests, when it is in time.
const TIME_COST: f64 = 0.05;

/// Cost of an answer that comes after its latency aim, in lost requests.
const LATE_COST: f64 = 0.3;

/// Parts of the latency aim between which an expected answer turns from in time to late.
const LATE_BETWEEN: (f64, f64) = (0.7, 1.3);

/// Cost that is taken off a server of this data centre that has been idle, in lost requests, when
/// the request may be sent again; more than the risk of a server that was just broken, so that
/// each server that takes work gets some within two seconds.
const IDLE_GAIN_REPEATABLE: f64 = 0.45;

/// The same for a request that must not be sent again; about the risk of a server of which nothing
/// was heard lately.
const IDLE_GAIN_FINAL: f64 = 0.12;

/// Idle times between which that gain grows from nothing to all of it, in milliseconds, for
/// requests that may be sent again: they go first as the test of a server.
const IDLE_BETWEEN_REPEATABLE: (f64, f64) = (400.0, 900.0);

/// The same for requests that must not be sent again: a server that answered a second ago still
/// does in 98 of 100 cases on calm days of the small sites (docs/design/overload.md), and services
/// that get only such requests have no other test.
const IDLE_BETWEEN_FINAL: (f64, f64) = (400.0, 900.0);

/// Chance of being broken up to which an idle server is tried by requests that may be sent again.
const IDLE_MAX_BROKEN_REPEATABLE: f64 = 0.85;

/// The same for requests that must not be sent again.
const IDLE_MAX_BROKEN_FINAL: f64 = 0.45;

/// The same while many attempts at the service fail: each server of this data centre gets some work
/// in two seconds then, since what broke it may have passed.
const IDLE_BETWEEN_DISTRESS: (f64, f64) = (1_400.0, 1_900.0);

/// Cost that is taken off an idle server then, in lost requests: more than a certain loss.
const IDLE_GAIN_DISTRESS: f64 = 1.0;

/// Time to another data centre of the region and back, in milliseconds.
const REGION_ROUND_TRIP: f64 = 3.0;

/// Time to another region and back, in milliseconds.
const FAR_ROUND_TRIP: f64 = 45.0;

/// Cost of a loss in lost requests, when the request can be sent again if the budget allows it.
const REPEATABLE_LOSS_COST: f64 = 0.5;

/// Cost of trying a server that could not be connected to, in lost requests.
const UNREACHABLE_COST: f64 = 0.3;

/// Factor on the latency of a server that has just started.
const COLD_FACTOR: f64 = 2.0;

/// Random part of the cost that keeps gateways from choosing alike, in lost requests.
const JITTER: f64 = 0.003;

/// What is asked of the placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The route that led there.
    pub route: &'a Route,
    /// Servers that had it already.
    pub tried: &'a [ServerId],
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
    let usual = table.usual_latency(request.route);
    let share = table.broken_share(request.service);
    let kilobytes = table.usual_kilobytes(request.route);
    let aim = request.route.target_latency.0.max(1) as f64;
    let time_left = request.time_left.0 as f64;
    let in_distress = table.is_in_distress(now, request.service);
    let mut best: Option<(f64, &Server)> = None;
    let mut soonest_free = f64::INFINITY;
    let mut soonest_answer = f64::INFINITY;
    for server in table.of_service(request.service) {
        if request.tried.contains(&server.announcement.server) {
            continue;
        }
        let outlook = Outlook::of(now, server, usual, share);
        soonest_answer = soonest_answer.min(outlook.answer_in);
        if outlook.answer_in > time_left {
            continue;
        }
        if outlook.is_full {
            soonest_free = soonest_free.min(outlook.free_in);
            continue;
        }
        let mut cost = outlook.cost(request.route.idempotency, aim, kilobytes) + JITTER * random();
        if in_distress {
            cost -= outlook.distress_gain();
        }
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, server));
        }
    }
    match best {
        Some((_, server)) => Placement::Server(server.announcement.server.clone()),
        None if soonest_free.is_finite() => Placement::Full(millis(soonest_free)),
        None if soonest_answer.is_finite() => {
            Placement::TooLate(millis((soonest_answer - time_left).max(1.0)))
        }
        None => Placement::NoServer,
    }
}

/// What sending a request to a server would bring.
struct Outlook {
    /// Milliseconds until the answer.
    answer_in: f64,
    /// Milliseconds until a slot should be free.
    free_in: f64,
    is_full: bool,
    /// What a kilobyte costs on the way, in lost requests.
    kilobyte_cost: f64,
    is_unreachable: bool,
    risk: f64,
    /// Time for which this data centre has left the server idle, in milliseconds.
    idle: f64,
    /// The chance that the server is broken.
    broken: f64,
}

impl Outlook {
    fn of(now: Timestamp, server: &Server, usual: f64, share: BrokenShare) -> Self {
        let slots = server.announcement.slots.max(MIN_SLOTS);
        let in_flight = server.in_flight(now);
        let cold = match server.announcement.state {
            ServerState::Starting => COLD_FACTOR,
            ServerState::Serving | ServerState::Draining | ServerState::Stopped => 1.0,
        };
        let work = usual * server.slowness(now, usual) * cold;
        let queued = f64::from((in_flight + 1).saturating_sub(slots));
        let (round_trip, kilobyte_cost) = match server.distance {
            Distance::SameDataCentre => (0.0, 0.0),
            Distance::SameRegion => (REGION_ROUND_TRIP, OTHER_DATA_CENTRE_COST),
            Distance::OtherRegion => (FAR_ROUND_TRIP, OTHER_REGION_COST),
        };
        Self {
            answer_in: round_trip + work * (1.0 + queued / f64::from(slots)),
            free_in: work / f64::from(slots),
            is_full: in_flight >= slots + QUEUED_AT_SERVER || server.standing.is_full(now),
            kilobyte_cost,
            is_unreachable: server.standing.is_unreachable(now),
            risk: server.standing.risk(now, share),
            idle: idle(now, server),
            broken: server.standing.broken(now, share),
        }
    }

    /// The expected cost in lost requests.
    fn cost(&self, idempotency: Idempotency, aim: f64, kilobytes: f64) -> f64 {
        let loss_cost = match idempotency {
            Idempotency::Idempotent => REPEATABLE_LOSS_COST,
            Idempotency::NonIdempotent => 1.0,
        };
        let unreachable_cost = if self.is_unreachable { UNREACHABLE_COST } else { 0.0 };
        let part_of_aim = self.answer_in / aim;
        let (in_time, late) = LATE_BETWEEN;
        let lateness = ((part_of_aim - in_time) / (late - in_time)).clamp(0.0, 1.0);
        part_of_aim * TIME_COST
            + lateness * LATE_COST
            + kilobytes * self.kilobyte_cost
            + unreachable_cost
            + self.risk * loss_cost
            - self.idle_gain(idempotency)
    }

    fn idle_gain(&self, idempotency: Idempotency) -> f64 {
        let ((from, to), gain, max_broken) = match idempotency {
            Idempotency::Idempotent => {
                (IDLE_BETWEEN_REPEATABLE, IDLE_GAIN_REPEATABLE, IDLE_MAX_BROKEN_REPEATABLE)
            }
            Idempotency::NonIdempotent => {
                (IDLE_BETWEEN_FINAL, IDLE_GAIN_FINAL, IDLE_MAX_BROKEN_FINAL)
            }
        };
        if self.broken > max_broken {
            return 0.0;
        }
        gain * self.idle_part(from, to)
    }

    fn distress_gain(&self) -> f64 {
        let (from, to) = IDLE_BETWEEN_DISTRESS;
        IDLE_GAIN_DISTRESS * self.idle_part(from, to)
    }

    /// How far the idle time has come between two bounds, from 0 to 1.
    fn idle_part(&self, from: f64, to: f64) -> f64 {
        ((self.idle - from) / (to - from)).clamp(0.0, 1.0)
    }
}

/// How long a server of this data centre was left idle; 0 when there is a reason for it.
fn idle(now: Timestamp, server: &Server) -> f64 {
    let is_near = server.distance == Distance::SameDataCentre;
    let has_work = server.in_flight(now) > 0;
    if !is_near || has_work || server.standing.is_unreachable(now) {
        return 0.0;
    }
    server.idle(now).map_or(f64::INFINITY, |it| it.0 as f64)
}

fn millis(value: f64) -> Millis {
    Millis(value.clamp(1.0, 60_000.0) as u64)
}
