//! What backend servers say of themselves in their responses.
//!
//! Load patterns:
//!
//! - *A server leaves while the gateway is cut off from control hosts*, or before its announcement
//!   arrives. Its responses say so, and hold for that incarnation whatever is announced later.
//! - *A server under too much load asks for a pause* that is longer than the time in which a slot
//!   becomes free. It gets nothing from this gateway until then, not even as a test or for lack of
//!   other servers.
//! - *A server in need names a limit* on the requests of all gateways together. Each request needs a
//!   permit, and the server is closed for as long as there is none; see [`crate::server_limits`].

use std::collections::VecDeque;

use ids::{FastMap, LimitRate, Millis, Timestamp};
use schema::server_load::LimitNamed;

use super::ServerKey;

/// Longest pause that is honoured; longer ones count as this long, so that no value blocks a server
/// for ever.
const MAX_PAUSE: Millis = Millis(3_600_000);

/// Maximum random extension of a pause, as a fraction of it, so that gateways don't return to the
/// server at the same moment.
const PAUSE_SPREAD: f64 = 0.25;

/// Upper bound of the random extension of a pause.
const MAX_PAUSE_SPREAD: Millis = Millis(2_000);

/// Interval at which gateways are told of a limit again, in case that they have started meanwhile or
/// the message was lost.
const TELL_LIMIT_INTERVAL: Millis = Millis(1_000);

/// Maximum number of servers whose notices are remembered; the oldest are evicted first.
const MAX_SERVERS: usize = 8_192;

/// What a response says of the limit on the requests of all gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// Nothing: it isn't the server's own response, or the value is not valid.
    #[default]
    Unknown,
    /// The server names no limit.
    Unlimited,
    /// The server takes this many requests.
    Limited(LimitRate),
}

/// What a response says of the state of its server, beyond its own outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server leaves and should get no new requests.
    pub is_leaving: bool,
    /// For how long the server wants no requests of this gateway, if it says so.
    pub pause: Option<Millis>,
    /// The limit on the requests of all gateways.
    pub limit: LimitNotice,
}

/// Why a server gets no new request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Closed {
    /// It leaves.
    Leaving,
    /// It has asked for a pause, which ends after this time.
    Paused(Millis),
    /// It gets as many requests as it has limited them to; a permit may be free after this time.
    AtLimit(Millis),
}

/// The limit of a server, as far as this gateway knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KnownLimit {
    pub(crate) rate: LimitRate,
    /// When the request was sent whose response named the limit.
    pub(crate) sent_at: Timestamp,
    /// When a response last named a limit.
    pub(crate) named_at: Timestamp,
}

impl KnownLimit {
    /// Reads a limit in a message of another gateway.
    pub(crate) fn from_message(now: Timestamp, named: &LimitNamed) -> Self {
        let LimitNamed { rate, age_ms, named_age_ms } = *named;
        Self { rate, sent_at: now - age_ms, named_at: now - named_age_ms }
    }

    /// Returns the limit for a message to another gateway.
    pub(crate) fn to_message(self, now: Timestamp) -> LimitNamed {
        let Self { rate, sent_at, named_at } = self;
        LimitNamed { rate, age_ms: now.since(sent_at), named_age_ms: now.since(named_at) }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    is_leaving: bool,
    paused_until: Timestamp,
    limit: Option<KnownLimit>,
    /// When the request was sent whose response showed that the last limit had ended.
    limit_ended: Option<Timestamp>,
    /// Until when no permit is free.
    no_permit_until: Timestamp,
    /// When the other gateways were last told of the limit.
    limit_told_at: Option<Timestamp>,
}

/// The notices of servers, kept when a server is missing from the registry for a while.
#[derive(Debug, Default)]
pub(super) struct ServerNotices {
    states: FastMap<ServerKey, State>,
    insertion_order: VecDeque<ServerKey>,
}

impl ServerNotices {
    /// Records that a server leaves; returns whether that is new.
    pub(super) fn record_leaving(&mut self, key: ServerKey) -> bool {
        let state = self.state_mut(key);
        !std::mem::replace(&mut state.is_leaving, true)
    }

    /// Records a pause; `random` is from 0 to 1. Returns its end, including the random extension.
    pub(super) fn record_pause(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        pause: Millis,
        random: f64,
    ) -> Timestamp {
        let pause = pause.min(MAX_PAUSE);
        let spread = (pause.0 as f64 * PAUSE_SPREAD).min(MAX_PAUSE_SPREAD.0 as f64) * random;
        let state = self.state_mut(key);
        state.paused_until = state.paused_until.max(now + Millis(pause.0 + spread as u64));
        state.paused_until
    }

    /// Returns why the server gets no new request now, or `None` if it takes some. A request that
    /// has a permit ignores that there are no others.
    pub(super) fn closed(
        &self,
        now: Timestamp,
        key: ServerKey,
        has_permit: bool,
    ) -> Option<Closed> {
        let state = self.states.get(&key)?;
        if state.is_leaving {
            return Some(Closed::Leaving);
        }
        let until = |at: Timestamp| at.since(now).max(Millis(1));
        if now < state.paused_until {
            return Some(Closed::Paused(until(state.paused_until)));
        }
        let is_at_limit = !has_permit && state.limit.is_some() && now < state.no_permit_until;
        is_at_limit.then(|| Closed::AtLimit(until(state.no_permit_until)))
    }

    /// Returns the limit that the server names.
    pub(super) fn limit(&self, key: ServerKey) -> Option<KnownLimit> {
        self.states.get(&key)?.limit
    }

    /// Returns when the request was sent whose response showed that the server's limit had ended.
    pub(super) fn limit_ended(&self, key: ServerKey) -> Option<Timestamp> {
        self.states.get(&key)?.limit_ended
    }

    /// Records a limit that a response has named; returns whether it is new.
    ///
    /// Responses arrive out of order. One to an earlier request than the response that has changed
    /// the limit says nothing new.
    pub(super) fn record_limit(&mut self, key: ServerKey, named: KnownLimit) -> bool {
        let KnownLimit { rate, sent_at, named_at } = named;
        let state = self.state_mut(key);
        if state.limit_ended.is_some_and(|it| sent_at < it) {
            return false;
        }
        let before = state.limit;
        let limit = state.limit.get_or_insert(named);
        if sent_at >= limit.sent_at {
            *limit = KnownLimit { rate, sent_at, ..*limit };
        }
        limit.named_at = limit.named_at.max(named_at);
        before.map(|it| it.rate) != state.limit.map(|it| it.rate)
    }

    /// Records a response without a limit to a request sent at `sent_at`; returns whether a limit
    /// has ended. Only a request that was sent after the limit was last named shows that.
    pub(super) fn record_unlimited(&mut self, key: ServerKey, sent_at: Timestamp) -> bool {
        let is_later = self.limit(key).is_some_and(|it| sent_at >= it.named_at);
        if is_later {
            self.end_limit(key, sent_at);
        }
        is_later
    }

    /// Records that a server's grantor knows of a response without a limit to a request sent at
    /// `sent_at`; returns whether the limit has ended. The grantor has compared it with what this
    /// gateway knows.
    pub(super) fn record_unlimited_by_grantor(
        &mut self,
        key: ServerKey,
        sent_at: Timestamp,
    ) -> bool {
        let is_later = self.limit(key).is_some_and(|it| sent_at >= it.sent_at);
        if is_later {
            self.end_limit(key, sent_at);
        }
        is_later
    }

    fn end_limit(&mut self, key: ServerKey, sent_at: Timestamp) {
        let state = self.state_mut(key);
        state.limit = None;
        state.limit_ended = Some(sent_at);
        state.no_permit_until = Timestamp::default();
    }

    /// Records that no permit for the server is free for a while.
    pub(super) fn record_no_permit(&mut self, key: ServerKey, until: Timestamp) {
        self.state_mut(key).no_permit_until = until;
    }

    /// Returns whether the other gateways should be told of the limit once more, and records that
    /// they are.
    pub(super) fn should_tell_limit(&mut self, now: Timestamp, key: ServerKey) -> bool {
        let state = self.state_mut(key);
        let is_due = state.limit_told_at.is_none_or(|it| now.since(it) >= TELL_LIMIT_INTERVAL);
        if is_due {
            state.limit_told_at = Some(now);
        }
        is_due
    }

    /// Records that the other gateways were told of the limit.
    pub(super) fn record_limit_told(&mut self, now: Timestamp, key: ServerKey) {
        self.state_mut(key).limit_told_at = Some(now);
    }

    fn state_mut(&mut self, key: ServerKey) -> &mut State {
        if !self.states.contains_key(&key) {
            self.insertion_order.push_back(key);
            if self.insertion_order.len() > MAX_SERVERS
                && let Some(oldest) = self.insertion_order.pop_front()
            {
                self.states.remove(&oldest);
            }
        }
        self.states.entry(key).or_default()
    }
}
