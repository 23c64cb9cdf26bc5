//! Polls the control hosts for changes of the registry.
//!
//! A gateway follows one control host near it, with one poll in flight; otherwise the updates to
//! many gateways would cross regions many times. Once that host is silent or not current, the gateway
//! searches: it polls the others at short intervals, and doesn't wait for one before it asks the
//! next. Whichever answers as current first is followed from then on, so that a silent host delays
//! the search by one interval only.

use ids::{ByteSize, HostId, LogIndex, MIN_LINK_RATE, Millis, Timestamp};
use schema::sync::{ControlHostRecord, HostsRevision, KnownPlace, Place, Poll, Presence};

use crate::events::Event;

/// Timeout of a poll, in milliseconds: a control host holds a poll for a second, and a lost packet
/// may have to be retransmitted.
pub const POLL_TIMEOUT: Millis = Millis(1_600);

/// Timeout of a poll while the gateway has no registry data, in milliseconds. Such a poll is not
/// held, and control hosts that restart at the same time may not be listening yet.
const INITIAL_POLL_TIMEOUT: Millis = Millis(400);

/// Maximum time added to the timeout for a large update, in milliseconds. The largest accepted
/// configuration has 3 MB, which takes 25 s on the slowest link.
const MAX_TRANSFER_TIME: Millis = Millis(25_000);

/// Minimum time between an update and the next poll, in milliseconds.
const MIN_POLL_INTERVAL: Millis = Millis(20);

/// Time between two polls of a search, in milliseconds.
pub const SEARCH_INTERVAL: Millis = Millis(100);

/// Time after which a control host that did not answer may be followed again, in milliseconds.
const RETRY_SILENT_AFTER: Millis = Millis(10_000);

/// Time after which a control host that was not current may be followed again, in milliseconds: a
/// little longer than an election takes.
const RETRY_OUTDATED_AFTER: Millis = Millis(2_000);

/// A poll to be sent to a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingPoll {
    /// The control host.
    pub to: HostId,
    /// The poll.
    pub poll: Poll,
}

/// What the polls of a gateway say of it.
#[derive(Debug)]
pub(crate) struct PollContent<'a> {
    pub(crate) presence: Presence,
    /// Revision of the entry host list that the gateway holds.
    pub(crate) holds_hosts: &'a HostsRevision,
    pub(crate) hosts_digest: u64,
}

/// A control host that may be polled.
#[derive(Debug, Clone)]
struct Candidate {
    host: HostId,
    /// 0 in the same data centre, 1 in the same region, 2 elsewhere or unknown.
    distance: u8,
    /// When the host may be followed again after a failure.
    retry_at: Option<Timestamp>,
    /// When the host was last polled.
    polled_at: Option<Timestamp>,
}

impl Candidate {
    fn is_barred(&self, now: Timestamp) -> bool {
        self.retry_at.is_some_and(|at| now < at)
    }
}

/// A poll that has been sent and not been answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PollInFlight {
    host: HostId,
    sequence: u64,
    sent_at: Timestamp,
    times_out_at: Timestamp,
    /// Whether a large update has started to arrive as its answer.
    is_arriving: bool,
}

/// Chooses the control hosts to poll, and tracks the polls in flight.
#[derive(Debug)]
pub(crate) struct RegistryPoller {
    own_place: Place,
    candidates: Vec<Candidate>,
    /// Distributes gateways over equally near control hosts.
    spread_seed: u64,
    /// The control host that is followed; `None` during a search.
    followed: Option<HostId>,
    /// When the search began, if there is one.
    search_since: Timestamp,
    sequence: u64,
    /// When the next poll may be sent.
    next_poll: Timestamp,
    in_flight: Vec<PollInFlight>,
    pub(crate) applied_index: LogIndex,
    /// When the last poll that a current control host has answered was sent.
    current_as_of: Option<Timestamp>,
}

impl RegistryPoller {
    pub(crate) fn new(own_place: Place, seeds: &[HostId], spread_seed: u64) -> Self {
        let mut registry_poller = Self {
            own_place,
            candidates: Vec::new(),
            spread_seed,
            followed: None,
            search_since: Timestamp::default(),
            sequence: 0,
            next_poll: Timestamp::default(),
            in_flight: Vec::new(),
            applied_index: LogIndex(0),
            current_as_of: None,
        };
        registry_poller.add_seeds(seeds);
        registry_poller
    }

    /// Returns when [`Self::poll`] must be called again if no update arrives.
    pub(crate) fn next_wakeup(&self) -> Timestamp {
        let timeout = self.in_flight.iter().map(|it| it.times_out_at).min();
        let next_poll = self.may_poll().then_some(self.next_poll);
        timeout.into_iter().chain(next_poll).min().unwrap_or(self.next_poll)
    }

    /// Returns the poll to be sent now, if any; there may be several, one at a time.
    pub(crate) fn poll(
        &mut self,
        now: Timestamp,
        content: PollContent<'_>,
        events: &mut Vec<Event>,
    ) -> Option<OutgoingPoll> {
        self.expire_polls(now, events);
        let nearer = self.nearer_candidate(now);
        let to = match nearer {
            Some(nearer) => nearer,
            None if now < self.next_poll || !self.may_poll() => return None,
            None => self.followed.or_else(|| self.next_in_search(now))?,
        };
        if nearer.is_none() && self.followed.is_none() {
            self.next_poll = now + SEARCH_INTERVAL;
        }
        self.sequence += 1;
        self.in_flight.push(PollInFlight {
            host: to,
            sequence: self.sequence,
            sent_at: now,
            times_out_at: now + self.poll_timeout(),
            is_arriving: false,
        });
        if let Some(it) = self.candidate_mut(to) {
            it.polled_at = Some(now);
        }
        // A poll without a list of entry hosts is answered soon even if nothing has changed.
        let holds_hosts = match self.followed == Some(to) {
            true => content.holds_hosts.clone(),
            false => HostsRevision::NONE,
        };
        let poll = Poll {
            sequence: self.sequence,
            presence: content.presence,
            holds: self.applied_index,
            holds_hosts,
            hosts_digest: content.hosts_digest,
        };
        Some(OutgoingPoll { to, poll })
    }

    /// Extends the timeout for a large update that has started to arrive. Until it has arrived, no other
    /// control host is polled, whose answer would be as large and compete for the link.
    ///
    /// Without this, a host behind a slow link would time out each time and start over with another
    /// control host.
    pub(crate) fn extend_timeout(
        &mut self,
        now: Timestamp,
        from: HostId,
        sequence: u64,
        size: ByteSize,
    ) {
        let expected = self.in_flight.iter_mut().find(|it| it.is_answered_by(from, sequence));
        let Some(poll) = expected else { return };
        let transfer = Millis(MIN_LINK_RATE.transfer_time(size).0.min(MAX_TRANSFER_TIME.0));
        poll.times_out_at = now + Millis(POLL_TIMEOUT.0 + transfer.0);
        poll.is_arriving = true;
    }

    /// Removes and returns the poll that an update answers; late updates answer none.
    pub(crate) fn take_answered(&mut self, from: HostId, sequence: u64) -> Option<PollInFlight> {
        let position = self.in_flight.iter().position(|it| it.is_answered_by(from, sequence))?;
        Some(self.in_flight.swap_remove(position))
    }

    /// Records the answer to a poll, and whether the control host is current.
    pub(crate) fn record_answer(
        &mut self,
        now: Timestamp,
        answered: PollInFlight,
        is_current: bool,
        events: &mut Vec<Event>,
    ) {
        let host = answered.host;
        if !is_current {
            return self.record_failure(
                now,
                host,
                now + RETRY_OUTDATED_AFTER,
                "not current",
                events,
            );
        }
        self.current_as_of = self.current_as_of.max(Some(answered.sent_at));
        self.next_poll = now + MIN_POLL_INTERVAL;
        if self.followed == Some(host) || self.candidate(host).is_none() {
            return;
        }
        let searched = match self.followed {
            Some(_) => Millis(0),
            None => now.since(self.search_since),
        };
        self.followed = Some(host);
        // The control host that is followed has all that the others would answer.
        self.in_flight.clear();
        events.push(Event::ControlHostFound { host, searched });
    }

    /// Returns a time up to which all changes are known here; `None` before the first update.
    pub(crate) fn current_as_of(&self) -> Option<Timestamp> {
        self.current_as_of
    }

    /// Makes the next poll due at once, to announce a change of this host.
    pub(crate) fn poll_now(&mut self) {
        self.in_flight.clear();
        self.next_poll = Timestamp::default();
    }

    /// Replaces the candidates by the control hosts of an update, which take precedence over the
    /// settings.
    pub(crate) fn set_control_hosts(
        &mut self,
        now: Timestamp,
        control_hosts: &[ControlHostRecord],
    ) {
        if control_hosts.is_empty() {
            return;
        }
        let candidates = control_hosts.iter().map(|it| {
            let known = self.candidate(it.host);
            Candidate {
                host: it.host,
                distance: self.distance(&it.place),
                retry_at: known.and_then(|it| it.retry_at),
                polled_at: known.and_then(|it| it.polled_at),
            }
        });
        self.candidates = candidates.collect();
        if self.followed.is_some_and(|it| self.candidate(it).is_none()) {
            self.start_search(now);
        }
    }

    /// Returns all known control hosts.
    pub(crate) fn control_hosts(&self) -> Vec<HostId> {
        self.candidates.iter().map(|it| it.host).collect()
    }

    /// Returns all known control hosts, the nearest first; equally near ones in an order that all
    /// processes of `host` share.
    pub(crate) fn control_hosts_by_rank(&self, host: HostId) -> Vec<HostId> {
        let mut candidates: Vec<_> = self.candidates.iter().collect();
        candidates.sort_by_key(|it| (it.distance, spread_hash(it.host, u64::from(host.0))));
        candidates.into_iter().map(|it| it.host).collect()
    }

    /// Adds control hosts from the settings.
    pub(crate) fn add_seeds(&mut self, seeds: &[HostId]) {
        for &host in seeds {
            if self.candidate(host).is_none() {
                let distance = 2;
                self.candidates.push(Candidate { host, distance, retry_at: None, polled_at: None });
            }
        }
    }

    /// Returns whether a further poll can be of use before one in flight is answered.
    ///
    fn may_poll(&self) -> bool {
        match self.followed {
            Some(followed) => !self.is_polled(followed),
            None => {
                !self.awaits_large_update()
                    && self.candidates.iter().any(|it| !self.is_polled(it.host))
            }
        }
    }

    /// Returns whether no second poll should be sent because a large update arrives, or because the
    /// answer to the one in flight may be the whole registry.
    fn awaits_large_update(&self) -> bool {
        match self.has_no_data() {
            true => !self.in_flight.is_empty(),
            false => self.in_flight.iter().any(|it| it.is_arriving),
        }
    }

    fn poll_timeout(&self) -> Millis {
        match self.has_no_data() {
            true => INITIAL_POLL_TIMEOUT,
            false => POLL_TIMEOUT,
        }
    }

    fn has_no_data(&self) -> bool {
        self.applied_index == LogIndex(0)
    }

    fn is_polled(&self, host: HostId) -> bool {
        self.in_flight.iter().any(|it| it.host == host)
    }

    fn candidate(&self, host: HostId) -> Option<&Candidate> {
        self.candidates.iter().find(|it| it.host == host)
    }

    /// Mutable variant of [`Self::candidate`].
    fn candidate_mut(&mut self, host: HostId) -> Option<&mut Candidate> {
        self.candidates.iter_mut().find(|it| it.host == host)
    }

    fn distance(&self, place: &KnownPlace) -> u8 {
        match place {
            KnownPlace::Known(it) if it.data_centre == self.own_place.data_centre => 0,
            KnownPlace::Known(it) if it.region == self.own_place.region => 1,
            KnownPlace::Known(_) | KnownPlace::Unknown => 2,
        }
    }

    /// Gives up the polls that have timed out.
    fn expire_polls(&mut self, now: Timestamp, events: &mut Vec<Event>) {
        let expired: Vec<_> = self.in_flight.extract_if(.., |it| it.times_out_at <= now).collect();
        for poll in expired {
            let retry_at = now + RETRY_SILENT_AFTER;
            self.record_failure(now, poll.host, retry_at, "no answer in time", events);
        }
    }

    fn record_failure(
        &mut self,
        now: Timestamp,
        host: HostId,
        retry_at: Timestamp,
        cause: &'static str,
        events: &mut Vec<Event>,
    ) {
        if let Some(it) = self.candidate_mut(host) {
            it.retry_at = Some(retry_at);
        }
        if self.followed == Some(host) {
            events.push(Event::ControlHostLost { host, cause });
            self.start_search(now);
        } else {
            events.push(Event::ControlHostPassedOver { host, cause });
        }
    }

    fn start_search(&mut self, now: Timestamp) {
        self.followed = None;
        self.search_since = now;
        self.next_poll = now;
    }

    /// Returns a control host that is nearer than the followed one and may be followed again. It is
    /// polled beside the followed one, and replaces it if it answers.
    fn nearer_candidate(&self, now: Timestamp) -> Option<HostId> {
        let followed = self.candidate(self.followed?)?;
        let is_better = |it: &&Candidate| {
            it.distance < followed.distance && !it.is_barred(now) && !self.is_polled(it.host)
        };
        if self.awaits_large_update() {
            return None;
        }
        let best = self.candidates.iter().filter(is_better).min_by_key(|it| self.rank(it));
        best.map(|it| it.host)
    }

    /// Returns the next control host to poll in a search: one that has not been polled in it, those
    /// that have failed recently last; then the one that was polled the longest time ago.
    fn next_in_search(&self, now: Timestamp) -> Option<HostId> {
        let candidates = self.candidates.iter().filter(|it| !self.is_polled(it.host));
        let order = |it: &&Candidate| {
            let polled_at = it.polled_at.filter(|at| *at >= self.search_since);
            (polled_at, it.retry_at.filter(|_| it.is_barred(now)), self.rank(it))
        };
        candidates.min_by_key(order).map(|it| it.host)
    }

    fn rank(&self, candidate: &Candidate) -> (u8, u64) {
        (candidate.distance, spread_hash(candidate.host, self.spread_seed))
    }
}

impl PollInFlight {
    fn is_answered_by(&self, from: HostId, sequence: u64) -> bool {
        self.host == from && self.sequence == sequence
    }
}

/// Mixes host ids and seeds: the golden ratio as a 64-bit fraction, the multiplier of Fibonacci
/// hashing.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

fn spread_hash(control_host: HostId, seed: u64) -> u64 {
    (u64::from(control_host.0) ^ seed).wrapping_mul(HASH_MULTIPLIER)
}
