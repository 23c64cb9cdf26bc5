//! Hosts that follow the registry: each has one poll waiting, answered when something changes.

use std::collections::BTreeMap;

use ids::{HostId, LogIndex, Millis, Timestamp};
use schema::sync::{HostsRevision, Place, Poll, Presence};

/// How long a poll waits for news, in milliseconds.
///
/// Short enough that a follower notices a silent control host well within the 2.5 s in which a
/// configuration has to be in force.
pub const POLL_HOLD: Millis = Millis(1_000);

/// Least time between two updates of one follower that only concern entry hosts, in milliseconds.
///
/// A fleet that starts would otherwise send each follower an update for each host.
pub const HOST_LIST_INTERVAL: Millis = Millis(200);

/// A poll that waits for its answer.
#[derive(Debug, Clone)]
pub(crate) struct WaitingPoll {
    pub(crate) sequence: u64,
    pub(crate) holds: LogIndex,
    pub(crate) holds_hosts: HostsRevision,
    /// Where the sender is, if it is an entry host.
    pub(crate) place: Option<Place>,
    received_at: Timestamp,
}

/// What a control host could tell its followers now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct News {
    pub(crate) last_changed: LogIndex,
    pub(crate) is_current: bool,
}

/// The polls that wait.
#[derive(Debug, Default)]
pub(crate) struct Followers {
    waiting: BTreeMap<HostId, WaitingPoll>,
}

impl Followers {
    pub(crate) fn add(&mut self, now: Timestamp, from: HostId, poll: &Poll) {
        let waiting = WaitingPoll {
            sequence: poll.sequence,
            holds: poll.holds,
            holds_hosts: poll.holds_hosts.clone(),
            place: place_of(&poll.presence),
            received_at: now,
        };
        self.waiting.insert(from, waiting);
    }

    /// Takes the polls to be answered now.
    pub(crate) fn take_due(
        &mut self,
        now: Timestamp,
        news: News,
        lacks_hosts: impl Fn(&HostsRevision) -> bool,
    ) -> Vec<(HostId, WaitingPoll)> {
        let is_due = |poll: &WaitingPoll| {
            let waited = now.since(poll.received_at);
            news.last_changed > poll.holds
                || !news.is_current
                || waited >= POLL_HOLD
                || (waited >= HOST_LIST_INTERVAL && lacks_hosts(&poll.holds_hosts))
        };
        let (due, waiting): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|(_, poll)| is_due(poll));
        self.waiting = waiting;
        due.into_iter().collect()
    }
}

fn place_of(presence: &Presence) -> Option<Place> {
    match presence {
        Presence::Entry(it) => {
            Some(Place { region: it.region.clone(), data_centre: it.data_centre.clone() })
        }
        Presence::Control => None,
    }
}
