//! Polls one control host at a time for changes of the registry.
//!
//! A gateway always has one poll in flight, to a control host near it; otherwise the updates to
//! many gateways would cross regions many times. If a control host doesn't answer in time or
//! reports that it is not current, the gateway switches to another one.

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

/// Delay before another control host is polled after one was not current, in milliseconds.
const FAILOVER_DELAY: Millis = Millis(100);

/// Time after which a control host that did not answer may be tried again, in milliseconds.
const RETRY_SILENT_AFTER: Millis = Millis(10_000);

/// Time after which a control host that was not current may be tried again, in milliseconds: a
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

/// A control host that may be polled.
#[derive(Debug, Clone)]
struct Candidate {
    host: HostId,
    /// 0 in the same data centre, 1 in the same region, 2 elsewhere or unknown.
    distance: u8,
    /// When the host may be tried again after a failure.
    retry_at: Option<Timestamp>,
}

/// Chooses the control host to poll, and tracks the poll in flight.
#[derive(Debug)]
pub(crate) struct RegistryPoller {
    own_place: Place,
    candidates: Vec<Candidate>,
    /// Distributes gateways over equally near control hosts.
    spread_seed: u64,
    target: Option<HostId>,
    sequence: u64,
    wakeup_at: Timestamp,
    is_in_flight: bool,
    /// Whether the current target has answered as current.
    is_target_current: bool,
    pub(crate) applied_index: LogIndex,
    pub(crate) last_current_at: Option<Timestamp>,
    sent_at: Timestamp,
    /// When the last poll that a current control host has answered was sent.
    current_as_of: Option<Timestamp>,
}

impl RegistryPoller {
    pub(crate) fn new(own_place: Place, seeds: &[HostId], spread_seed: u64) -> Self {
        let mut registry_poller = Self {
            own_place,
            candidates: Vec::new(),
            spread_seed,
            target: None,
            sequence: 0,
            wakeup_at: Timestamp::default(),
            is_in_flight: false,
            is_target_current: false,
            applied_index: LogIndex(0),
            last_current_at: None,
            sent_at: Timestamp::default(),
            current_as_of: None,
        };
        registry_poller.add_seeds(seeds);
        registry_poller
    }

    /// Returns when [`Self::poll`] must be called again if no update arrives.
    pub(crate) fn next_wakeup(&self) -> Timestamp {
        self.wakeup_at
    }

    /// Returns the poll to be sent now, if any.
    pub(crate) fn poll(
        &mut self,
        now: Timestamp,
        presence: Presence,
        (holds_hosts, hosts_digest): (&HostsRevision, u64),
        events: &mut Vec<Event>,
    ) -> Option<OutgoingPoll> {
        if now < self.wakeup_at {
            return None;
        }
        if self.is_in_flight {
            self.abandon_target(now + RETRY_SILENT_AFTER, "no answer in time", events);
        }
        let to = self.choose_target(now)?;
        self.sequence += 1;
        self.is_in_flight = true;
        self.sent_at = now;
        self.wakeup_at = now + self.poll_timeout();
        let poll = Poll {
            sequence: self.sequence,
            presence,
            holds: self.applied_index,
            holds_hosts: holds_hosts.clone(),
            hosts_digest,
        };
        Some(OutgoingPoll { to, poll })
    }

    /// Extends the timeout for a large update that has started to arrive.
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
        if self.is_expected_update(from, sequence) {
            let transfer = Millis(MIN_LINK_RATE.transfer_time(size).0.min(MAX_TRANSFER_TIME.0));
            self.wakeup_at = now + Millis(POLL_TIMEOUT.0 + transfer.0);
        }
    }

    fn is_expected_update(&self, from: HostId, sequence: u64) -> bool {
        self.is_in_flight && self.target == Some(from) && sequence == self.sequence
    }

    /// Returns whether an update answers the poll in flight; late updates are ignored.
    pub(crate) fn accept_update(&mut self, from: HostId, sequence: u64) -> bool {
        let is_expected = self.is_expected_update(from, sequence);
        if is_expected {
            self.is_in_flight = false;
        }
        is_expected
    }

    /// Records that the target answered, and whether it is current.
    pub(crate) fn record_update(
        &mut self,
        now: Timestamp,
        is_current: bool,
        events: &mut Vec<Event>,
    ) {
        if is_current {
            self.last_current_at = Some(now);
            self.current_as_of = Some(self.sent_at);
            self.wakeup_at = now + MIN_POLL_INTERVAL;
            if let Some(host) = self.target.filter(|_| !self.is_target_current) {
                self.is_target_current = true;
                events.push(Event::ControlHostFound { host });
            }
            return;
        }
        self.abandon_target(now + RETRY_OUTDATED_AFTER, "not current", events);
        self.wakeup_at = now + FAILOVER_DELAY;
    }

    /// Returns a time up to which all changes are known here; `None` before the first update.
    pub(crate) fn current_as_of(&self) -> Option<Timestamp> {
        self.current_as_of
    }

    /// Makes the next poll due at once, to announce a change of this host.
    pub(crate) fn poll_now(&mut self) {
        self.is_in_flight = false;
        self.wakeup_at = Timestamp::default();
    }

    /// Replaces the candidates by the control hosts of an update, which take precedence over the
    /// settings.
    pub(crate) fn set_control_hosts(&mut self, control_hosts: &[ControlHostRecord]) {
        if control_hosts.is_empty() {
            return;
        }
        let candidates = control_hosts.iter().map(|it| Candidate {
            host: it.host,
            distance: self.distance(&it.place),
            retry_at: self.candidate(it.host).and_then(|it| it.retry_at),
        });
        self.candidates = candidates.collect();
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
                self.candidates.push(Candidate { host, distance: 2, retry_at: None });
            }
        }
    }

    fn poll_timeout(&self) -> Millis {
        match self.applied_index {
            LogIndex(0) => INITIAL_POLL_TIMEOUT,
            _ => POLL_TIMEOUT,
        }
    }

    fn candidate(&self, host: HostId) -> Option<&Candidate> {
        self.candidates.iter().find(|it| it.host == host)
    }

    fn distance(&self, place: &KnownPlace) -> u8 {
        match place {
            KnownPlace::Known(it) if it.data_centre == self.own_place.data_centre => 0,
            KnownPlace::Known(it) if it.region == self.own_place.region => 1,
            KnownPlace::Known(_) | KnownPlace::Unknown => 2,
        }
    }

    fn abandon_target(
        &mut self,
        retry_at: Timestamp,
        cause: &'static str,
        events: &mut Vec<Event>,
    ) {
        if let Some(host) = self.target.take() {
            if let Some(it) = self.candidates.iter_mut().find(|it| it.host == host) {
                it.retry_at = Some(retry_at);
            }
            if self.is_target_current {
                events.push(Event::ControlHostLost { host, cause });
            }
        }
        self.is_target_current = false;
        self.is_in_flight = false;
    }

    /// Keeps the target unless a nearer host may be tried. If all hosts have failed recently, picks
    /// the one that may be tried again first.
    fn choose_target(&mut self, now: Timestamp) -> Option<HostId> {
        let rank = |it: &Candidate| {
            let retry_at = it.retry_at.filter(|at| now < *at);
            let is_target = self.target == Some(it.host);
            (retry_at, it.distance, !is_target, spread_hash(it.host, self.spread_seed))
        };
        let best = self.candidates.iter().min_by_key(|it| rank(it))?.host;
        if self.target != Some(best) {
            self.target = Some(best);
            self.is_target_current = false;
        }
        self.target
    }
}

/// Mixes host ids and seeds: the golden ratio as a 64-bit fraction, the multiplier of Fibonacci
/// hashing.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

fn spread_hash(control_host: HostId, seed: u64) -> u64 {
    (u64::from(control_host.0) ^ seed).wrapping_mul(HASH_MULTIPLIER)
}
