//! Follows the registry through one control host at a time.
//!
//! A gateway always has one poll on its way, to a control host near it: updates to many gateways
//! would otherwise cross regions many times. A control host that does not answer in time, or that
//! says that it is not current, is left for another one.

use ids::{ByteSize, HostId, LogIndex, Millis, SLOWEST_LINK, Timestamp};
use schema::sync::{ControlHostRecord, HostsRevision, KnownPlace, Place, Poll, Presence};

use crate::events::Event;

/// Longest wait for the answer to a poll, in milliseconds: a second that the poll is held, and
/// time for a lost packet to be sent again.
pub const POLL_TIMEOUT: Millis = Millis(1_600);

/// Longest wait for the answer to a poll of a gateway that holds nothing yet, in milliseconds: such
/// a poll is not held, and control hosts that restart together may not listen yet.
const INITIAL_POLL_TIMEOUT: Millis = Millis(400);

/// Longest time that is allowed for a large update beyond the usual wait, in milliseconds: 3 MB, the
/// largest configuration that is accepted, take 25 s on the slowest link.
const MAX_TRANSFER_TIME: Millis = Millis(25_000);

/// Least time between two polls, in milliseconds.
const MIN_POLL_INTERVAL: Millis = Millis(20);

/// Pause before the next control host is asked after one that is not current, in milliseconds.
const FAILOVER_DELAY: Millis = Millis(100);

/// Time after which a control host that was left is tried again, in milliseconds.
const RETRY_HOST_AFTER: Millis = Millis(10_000);

/// A poll to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingPoll {
    /// The control host.
    pub to: HostId,
    /// The poll.
    pub poll: Poll,
}

/// A control host that may be asked.
#[derive(Debug, Clone)]
struct Candidate {
    host: HostId,
    /// 0 in the same data centre, 1 in the same region, 2 elsewhere or unknown.
    distance: u8,
    failed_at: Option<Timestamp>,
}

/// What is known of the control hosts.
#[derive(Debug)]
pub(crate) struct RegistryPoller {
    own_place: Place,
    candidates: Vec<Candidate>,
    /// Spreads gateways over control hosts that are equally near.
    spread_seed: u64,
    target: Option<HostId>,
    sequence: u64,
    wakeup_at: Timestamp,
    is_in_flight: bool,
    /// Whether the target has answered as current.
    is_target_current: bool,
    pub(crate) applied_index: LogIndex,
    pub(crate) last_current_at: Option<Timestamp>,
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
        };
        registry_poller.add_seeds(seeds);
        registry_poller
    }

    /// When [`Self::poll`] has to be asked again without an update.
    pub(crate) fn next_wakeup(&self) -> Timestamp {
        self.wakeup_at
    }

    /// The poll to be sent now, if any.
    pub(crate) fn poll(
        &mut self,
        now: Timestamp,
        presence: Presence,
        holds_hosts: &HostsRevision,
        events: &mut Vec<Event>,
    ) -> Option<OutgoingPoll> {
        if now < self.wakeup_at {
            return None;
        }
        if self.is_in_flight {
            self.abandon_target(now, "no answer in time", events);
        }
        let to = self.choose_target(now)?;
        self.sequence += 1;
        self.is_in_flight = true;
        self.wakeup_at = now + self.poll_timeout();
        let poll = Poll {
            sequence: self.sequence,
            presence,
            holds: self.applied_index,
            holds_hosts: holds_hosts.clone(),
        };
        Some(OutgoingPoll { to, poll })
    }

    /// Waits longer for a large update that has begun to arrive.
    ///
    /// Without this a host with a slow link would give up each time and start again from nothing
    /// with another control host.
    pub(crate) fn extend_timeout(
        &mut self,
        now: Timestamp,
        from: HostId,
        sequence: u64,
        size: ByteSize,
    ) {
        if self.is_expected_update(from, sequence) {
            let transfer = Millis(SLOWEST_LINK.time_for(size).0.min(MAX_TRANSFER_TIME.0));
            self.wakeup_at = now + Millis(POLL_TIMEOUT.0 + transfer.0);
        }
    }

    fn is_expected_update(&self, from: HostId, sequence: u64) -> bool {
        self.is_in_flight && self.target == Some(from) && sequence == self.sequence
    }

    /// Whether an update answers the poll on its way; an older one tells nothing new.
    pub(crate) fn accept_update(&mut self, from: HostId, sequence: u64) -> bool {
        let is_expected = self.is_expected_update(from, sequence);
        if is_expected {
            self.is_in_flight = false;
        }
        is_expected
    }

    /// Notes that the target answered, and whether it is current.
    pub(crate) fn record_update(
        &mut self,
        now: Timestamp,
        is_current: bool,
        events: &mut Vec<Event>,
    ) {
        if is_current {
            self.last_current_at = Some(now);
            self.wakeup_at = now + MIN_POLL_INTERVAL;
            if let Some(host) = self.target.filter(|_| !self.is_target_current) {
                self.is_target_current = true;
                events.push(Event::ControlHostFound { host });
            }
            return;
        }
        self.abandon_target(now, "not current", events);
        self.wakeup_at = now + FAILOVER_DELAY;
    }

    /// Sends the next poll at once, to tell of a change of this host.
    pub(crate) fn poll_now(&mut self) {
        self.is_in_flight = false;
        self.wakeup_at = Timestamp::default();
    }

    /// Learns the control hosts; what was learned goes before settings.
    pub(crate) fn set_control_hosts(&mut self, control_hosts: &[ControlHostRecord]) {
        if control_hosts.is_empty() {
            return;
        }
        let candidates = control_hosts.iter().map(|it| Candidate {
            host: it.host,
            distance: self.distance(&it.place),
            failed_at: self.candidate(it.host).and_then(|it| it.failed_at),
        });
        self.candidates = candidates.collect();
    }

    /// Adds the seeds of new settings.
    pub(crate) fn add_seeds(&mut self, seeds: &[HostId]) {
        for &host in seeds {
            if self.candidate(host).is_none() {
                self.candidates.push(Candidate { host, distance: 2, failed_at: None });
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

    fn abandon_target(&mut self, now: Timestamp, cause: &'static str, events: &mut Vec<Event>) {
        if let Some(host) = self.target.take() {
            if let Some(it) = self.candidates.iter_mut().find(|it| it.host == host) {
                it.failed_at = Some(now);
            }
            if self.is_target_current {
                events.push(Event::ControlHostLost { host, cause });
            }
        }
        self.is_target_current = false;
        self.is_in_flight = false;
    }

    /// Keeps the target unless a nearer one may be tried; takes the one that was left longest ago
    /// when all were left lately.
    fn choose_target(&mut self, now: Timestamp) -> Option<HostId> {
        let rank = |it: &Candidate| {
            let failed_at = it.failed_at.filter(|at| now.since(*at) < RETRY_HOST_AFTER);
            let is_target = self.target == Some(it.host);
            let hash = (u64::from(it.host.0) ^ self.spread_seed).wrapping_mul(HASH_MULTIPLIER);
            (failed_at, it.distance, !is_target, hash)
        };
        let best = self.candidates.iter().min_by_key(|it| rank(it))?.host;
        if self.target != Some(best) {
            self.target = Some(best);
            self.is_target_current = false;
        }
        self.target
    }
}

/// Mixes host ids and seeds; an odd number without short patterns (the golden ratio in 64 bits).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
