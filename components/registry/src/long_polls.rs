//! Long polls of hosts that follow the registry: at most one per host, answered when the state
//! changes or the wait ends.

use std::collections::BTreeMap;

use ids::{HostId, LogIndex, Millis, Timestamp};
use schema::sync::{HostsRevision, Place, Poll, Presence};

/// How long a poll waits for a change before it is answered.
///
/// Short enough that the poller detects an unresponsive control host well within the 2.5 s in which
/// a configuration has to be in force.
pub const MAX_POLL_WAIT: Millis = Millis(1_000);

/// Minimum time between two updates to a poller that contain only entry host changes.
///
/// Without it, the start of a fleet would send each poller an update for each host.
pub const MIN_HOST_UPDATE_INTERVAL: Millis = Millis(200);

/// Minimum time before a poll whose answer is withheld is answered without it.
pub const WITHHELD_POLL_WAIT: Millis = Millis(250);

/// Maximum age of the state with which a poll is answered, at the time of the poll: a heartbeat of the
/// leader and a tick.
///
/// A poller takes an answer as valid at the time of its poll.
pub const MAX_STATE_AGE: Millis = Millis(300);

/// How long polls are held while this host is not current, after it was.
///
/// A follower falls behind for a moment in a burst of changes, and all hosts do while a leader is
/// elected. Pollers that left at once would all have to be served by others, which are no more
/// current. With the time after which a follower counts as stale and that of a poll of another
/// host, a poller still gets a change within the 2.5 s in which it has to be in force.
pub const NOT_CURRENT_GRACE: Millis = Millis(600);

/// A poll that has not been answered yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingPoll {
    pub(crate) sequence: u64,
    /// Index up to which the poller has the registry.
    pub(crate) holds: LogIndex,
    /// Revision of the entry host list that the poller has.
    pub(crate) holds_hosts: HostsRevision,
    /// Digest of the entry host list that the poller has.
    pub(crate) hosts_digest: u64,
    /// The place of the poller if it is an entry host.
    pub(crate) place: Option<Place>,
    pub(crate) received_at: Timestamp,
}

/// The state of the registry to which polls are compared.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RegistryHead {
    pub(crate) last_changed: LogIndex,
    /// Whether this control host may answer with its applied state.
    pub(crate) is_current: bool,
    /// Whether pollers should switch to other control hosts at once.
    pub(crate) is_leaving: bool,
    /// When the state was last current; `None` if never.
    pub(crate) last_current_at: Option<Timestamp>,
}

impl RegistryHead {
    /// Returns whether a poller should ask another control host.
    ///
    /// A poller without any state gains nothing by waiting.
    fn turns_away(&self, now: Timestamp, poll: &PendingPoll) -> bool {
        let is_passing = self.last_current_at.is_some_and(|at| now < at + NOT_CURRENT_GRACE);
        self.is_leaving || !is_passing || poll.holds == LogIndex(0)
    }
}

/// The pending polls, by poller.
#[derive(Debug, Default)]
pub(crate) struct LongPolls {
    pending: BTreeMap<HostId, PendingPoll>,
}

impl LongPolls {
    /// Adds a poll, which replaces an earlier one from the same host.
    pub(crate) fn add(&mut self, now: Timestamp, from: HostId, poll: &Poll) {
        let pending = PendingPoll {
            sequence: poll.sequence,
            holds: poll.holds,
            holds_hosts: poll.holds_hosts.clone(),
            hosts_digest: poll.hosts_digest,
            place: place_of(&poll.presence),
            received_at: now,
        };
        self.pending.insert(from, pending);
    }

    /// Removes and returns the polls that have to be answered now.
    pub(crate) fn take_due(
        &mut self,
        now: Timestamp,
        head: RegistryHead,
        is_confirmed: impl Fn(&PendingPoll) -> bool,
        is_withheld: impl Fn(&PendingPoll) -> bool,
        is_host_list_outdated: impl Fn(&HostsRevision) -> bool,
    ) -> Vec<(HostId, PendingPoll)> {
        let is_due = |poll: &PendingPoll| {
            let waited = now.since(poll.received_at);
            if !head.is_current {
                return head.turns_away(now, poll);
            }
            if !is_confirmed(poll) {
                return false;
            }
            if is_withheld(poll) {
                return waited >= WITHHELD_POLL_WAIT;
            }
            head.last_changed > poll.holds
                || waited >= MAX_POLL_WAIT
                || (waited >= MIN_HOST_UPDATE_INTERVAL && is_host_list_outdated(&poll.holds_hosts))
        };
        let (due, pending): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.pending).into_iter().partition(|(_, poll)| is_due(poll));
        self.pending = pending;
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
