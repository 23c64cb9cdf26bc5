//! Services that turn requests away although their servers have free slots.
//!
//! Load pattern: for seconds, each server of a service sheds most of what it gets, whatever its load.
//! Second attempts then have no better chance than first ones, and the retry budget pays for a fifth
//! of them. A caller who returns has its own first attempt, so one that can be back in time for its
//! target latency is asked to return soon, and the budget is kept for those that can't.

use ids::{FastMap, Millis, ServiceName, Timestamp};

use crate::configuration::RouteKey;

/// Time in which the weight of an outcome falls to a third.
const DECAY_TIME: f64 = 1_000.0;

/// Minimum weight of the outcomes of a service, so that a few of them show nothing.
const MIN_OUTCOMES: f64 = 4.0;

/// Part of the attempts that servers with free slots shed, from which the retry budget doesn't pay for
/// a second attempt of each.
const MIN_SHED_SHARE: f64 = 0.25;

/// Number of returns between which the time left for the target latency is divided.
const RETURNS: u64 = 2;

/// Minimum time until a caller returns: servers that shed are left alone for as long.
const MIN_RETURN: Millis = Millis(40);

/// Maximum part of a return time that is random, so that callers return one after the other.
const RETURN_SPREAD: f64 = 0.3;

/// Minimum time since its first request of a caller who returns; requests of others take less to arrive.
const MIN_RETURN_AGE: Millis = Millis(20);

/// Time in which the weight of a refusal or a return falls to a third.
const HABIT_DECAY_TIME: f64 = 4_000.0;

/// Minimum weight of refusals after which callers are known.
const MIN_REFUSALS: f64 = 3.0;

/// Minimum number of returns for each refusal.
const MIN_RETURN_SHARE: f64 = 0.5;

/// Time for which the longest caller timeout of a route is remembered.
const TIMEOUT_MEMORY: Millis = Millis(10_000);

/// What servers of a service have done lately, weighted by age.
#[derive(Debug, Clone, Copy, Default)]
struct Outcomes {
    shed: f64,
    taken: f64,
    at: Timestamp,
}

impl Outcomes {
    fn fade(&mut self, now: Timestamp) {
        let factor = (-(now.since(self.at).0 as f64) / DECAY_TIME).exp();
        *self = Self { shed: self.shed * factor, taken: self.taken * factor, at: now };
    }
}

/// Which services shed at servers with free slots.
#[derive(Debug, Default)]
pub(crate) struct Shedding {
    outcomes: FastMap<ServiceName, Outcomes>,
}

impl Shedding {
    /// Records that a server has run a request, or has shed it with a free slot.
    pub(crate) fn record(&mut self, now: Timestamp, service: &ServiceName, is_shed: bool) {
        if !self.outcomes.contains_key(service) {
            self.outcomes.insert(service.clone(), Outcomes::default());
        }
        let Some(outcomes) = self.outcomes.get_mut(service) else { return };
        outcomes.fade(now);
        match is_shed {
            true => outcomes.shed += 1.0,
            false => outcomes.taken += 1.0,
        }
    }

    /// Returns whether a service sheds more than the retry budget pays for.
    pub(crate) fn is_shedding(&self, now: Timestamp, service: &ServiceName) -> bool {
        let Some(mut outcomes) = self.outcomes.get(service).copied() else { return false };
        outcomes.fade(now);
        let Outcomes { shed, taken, .. } = outcomes;
        shed + taken >= MIN_OUTCOMES && shed >= MIN_SHED_SHARE * (shed + taken)
    }
}

/// What callers of a route do after a refusal.
#[derive(Debug, Clone, Copy)]
struct CallerHabits {
    /// The longest caller timeout of this period and of the one before, and when this one began.
    longest: Millis,
    before: Millis,
    began: Timestamp,
    /// Refusals and returns, weighted by age.
    refused: f64,
    returned: f64,
    faded_at: Timestamp,
}

impl CallerHabits {
    fn new(now: Timestamp, timeout: Millis) -> Self {
        Self {
            longest: timeout,
            before: timeout,
            began: now,
            refused: 0.0,
            returned: 0.0,
            faded_at: now,
        }
    }

    fn fade(&mut self, now: Timestamp) {
        let elapsed = now.since(self.faded_at).0 as f64;
        let factor = (-elapsed / HABIT_DECAY_TIME).exp();
        self.refused *= factor;
        self.returned *= factor;
        self.faded_at = now;
    }
}

/// What callers of each route do after a refusal. The longest time that they have said to wait is that
/// of first requests: a caller who returns has less.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    habits: FastMap<RouteKey, CallerHabits>,
}

impl Callers {
    /// Records what a caller says; returns how long ago it has sent its first request.
    pub(crate) fn record_request(
        &mut self,
        now: Timestamp,
        route: RouteKey,
        timeout: Millis,
    ) -> Millis {
        let habits = self.habits.entry(route).or_insert(CallerHabits::new(now, timeout));
        if now.since(habits.began) >= TIMEOUT_MEMORY {
            habits.before = habits.longest;
            habits.longest = timeout;
            habits.began = now;
        }
        habits.longest = habits.longest.max(timeout);
        let age = Millis(habits.longest.max(habits.before).0 - timeout.0);
        if age >= MIN_RETURN_AGE {
            habits.fade(now);
            habits.returned += 1.0;
        }
        age
    }

    /// Records that a caller was asked to return.
    pub(crate) fn record_refusal(&mut self, now: Timestamp, route: RouteKey) {
        if let Some(habits) = self.habits.get_mut(&route) {
            habits.fade(now);
            habits.refused += 1.0;
        }
    }

    /// Returns whether most callers of a route return when they are asked to.
    pub(crate) fn do_return(&self, route: RouteKey) -> bool {
        self.habits.get(&route).is_some_and(|it| {
            it.refused >= MIN_REFUSALS && it.returned >= MIN_RETURN_SHARE * it.refused
        })
    }
}

/// Returns when a caller should be back so that its answer can still meet its target latency, or `None`
/// if it can't; `left` is what is left of that after the answer itself, `random` is from 0 to 1.
pub(crate) fn return_time(left: Millis, random: f64) -> Option<Millis> {
    if left < MIN_RETURN {
        return None;
    }
    let time = Millis(left.0 / RETURNS).max(MIN_RETURN);
    Some(Millis((time.0 as f64 * (1.0 - RETURN_SPREAD * random)) as u64))
}
