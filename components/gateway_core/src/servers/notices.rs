//! What backend servers say of themselves in their responses.
//!
//! Load patterns:
//!
//! - *A server leaves while the gateway is cut off from control hosts*, or before its announcement
//!   arrives. Its responses say so, and hold for that incarnation whatever is announced later.
//! - *A server under too much load asks for a pause* that is longer than the time in which a slot
//!   becomes free. It gets nothing from this gateway until then, not even as a test or for lack of
//!   other servers.

use std::collections::VecDeque;

use ids::{FastMap, Millis, Timestamp};

use super::ServerKey;

/// Longest pause that is honoured; longer ones count as this long, so that no value blocks a server
/// for ever.
const MAX_PAUSE: Millis = Millis(3_600_000);

/// Maximum random extension of a pause, as a fraction of it, so that gateways don't return to the
/// server at the same moment.
const PAUSE_SPREAD: f64 = 0.25;

/// Upper bound of the random extension of a pause.
const MAX_PAUSE_SPREAD: Millis = Millis(2_000);

/// Maximum number of servers whose notices are remembered; the oldest are evicted first.
const MAX_SERVERS: usize = 8_192;

/// What a response says of the state of its server, beyond its own outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server leaves and should get no new requests.
    pub is_leaving: bool,
    /// For how long the server wants no requests of this gateway, if it says so.
    pub pause: Option<Millis>,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    is_leaving: bool,
    paused_until: Timestamp,
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

    /// Returns whether the server leaves.
    pub(super) fn is_leaving(&self, key: ServerKey) -> bool {
        self.states.get(&key).is_some_and(|it| it.is_leaving)
    }

    /// Returns how long the server still wants no requests, or `None` if it takes them.
    pub(super) fn paused_for(&self, now: Timestamp, key: ServerKey) -> Option<Millis> {
        let until = self.states.get(&key)?.paused_until;
        (now < until).then(|| until.since(now).max(Millis(1)))
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
