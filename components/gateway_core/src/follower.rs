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
pub const ANSWER_TIMEOUT: Millis = Millis(1_600);

/// Longest wait for the answer to a poll of a gateway that holds nothing yet, in milliseconds: such
/// a poll is not held, and control hosts that restart together may not listen yet.
const FIRST_ANSWER_TIMEOUT: Millis = Millis(400);

/// Longest time that is allowed for a large update beyond the usual wait, in milliseconds: 3 MB, the
/// largest configuration that is accepted, take 25 s on the slowest link.
const MAX_TRANSFER_TIME: Millis = Millis(25_000);

/// Least time between two polls, in milliseconds.
const MIN_POLL_INTERVAL: Millis = Millis(20);

/// Pause before the next control host is asked after one that is not current, in milliseconds.
const NOT_CURRENT_PAUSE: Millis = Millis(100);

/// Time after which a control host that was left is tried again, in milliseconds.
const TRY_AGAIN_AFTER: Millis = Millis(10_000);

/// A poll to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollOut {
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
    left_at: Option<Timestamp>,
}

/// What is known of the control hosts.
#[derive(Debug)]
pub(crate) struct Follower {
    own: Place,
    candidates: Vec<Candidate>,
    /// Spreads gateways over control hosts that are equally near.
    seed: u64,
    target: Option<HostId>,
    sequence: u64,
    waits_until: Timestamp,
    is_waiting: bool,
    /// Whether the target has answered as current.
    is_fed: bool,
    pub(crate) holds: LogIndex,
    pub(crate) last_current_at: Option<Timestamp>,
}

impl Follower {
    pub(crate) fn new(own: Place, seeds: &[HostId], seed: u64) -> Self {
        let mut follower = Self {
            own,
            candidates: Vec::new(),
            seed,
            target: None,
            sequence: 0,
            waits_until: Timestamp::default(),
            is_waiting: false,
            is_fed: false,
            holds: LogIndex(0),
            last_current_at: None,
        };
        follower.add_seeds(seeds);
        follower
    }

    /// When [`Self::poll`] has to be asked again without an update.
    pub(crate) fn next_wakeup(&self) -> Timestamp {
        self.waits_until
    }

    /// The poll to be sent now, if any.
    pub(crate) fn poll(
        &mut self,
        now: Timestamp,
        presence: Presence,
        holds_hosts: &HostsRevision,
        events: &mut Vec<Event>,
    ) -> Option<PollOut> {
        if now < self.waits_until {
            return None;
        }
        if self.is_waiting {
            self.leave_target(now, "no answer in time", events);
        }
        let to = self.choose_target(now)?;
        self.sequence += 1;
        self.is_waiting = true;
        self.waits_until = now + self.answer_timeout();
        let poll = Poll {
            sequence: self.sequence,
            presence,
            holds: self.holds,
            holds_hosts: holds_hosts.clone(),
        };
        Some(PollOut { to, poll })
    }

    /// Waits longer for a large update that has begun to arrive.
    ///
    /// Without this a host with a slow link would give up each time and start again from nothing
    /// with another control host.
    pub(crate) fn note_update_begins(
        &mut self,
        now: Timestamp,
        from: HostId,
        sequence: u64,
        size: ByteSize,
    ) {
        if self.awaits(from, sequence) {
            let transfer = Millis(SLOWEST_LINK.time_for(size).0.min(MAX_TRANSFER_TIME.0));
            self.waits_until = now + Millis(ANSWER_TIMEOUT.0 + transfer.0);
        }
    }

    fn awaits(&self, from: HostId, sequence: u64) -> bool {
        self.is_waiting && self.target == Some(from) && sequence == self.sequence
    }

    /// Whether an update answers the poll on its way; an older one tells nothing new.
    pub(crate) fn accept(&mut self, from: HostId, sequence: u64) -> bool {
        let is_awaited = self.awaits(from, sequence);
        if is_awaited {
            self.is_waiting = false;
        }
        is_awaited
    }

    /// Notes that the target answered, and whether it is current.
    pub(crate) fn note_answer(
        &mut self,
        now: Timestamp,
        is_current: bool,
        events: &mut Vec<Event>,
    ) {
        if is_current {
            self.last_current_at = Some(now);
            self.waits_until = now + MIN_POLL_INTERVAL;
            if let Some(host) = self.target.filter(|_| !self.is_fed) {
                self.is_fed = true;
                events.push(Event::ControlHostFound { host });
            }
            return;
        }
        self.leave_target(now, "not current", events);
        self.waits_until = now + NOT_CURRENT_PAUSE;
    }

    /// Sends the next poll at once, to tell of a change of this host.
    pub(crate) fn poll_now(&mut self) {
        self.is_waiting = false;
        self.waits_until = Timestamp::default();
    }

    /// Learns the control hosts; what was learned goes before settings.
    pub(crate) fn learn(&mut self, control_hosts: &[ControlHostRecord]) {
        if control_hosts.is_empty() {
            return;
        }
        let learned = control_hosts.iter().map(|it| Candidate {
            host: it.host,
            distance: self.distance(&it.place),
            left_at: self.candidate(it.host).and_then(|it| it.left_at),
        });
        self.candidates = learned.collect();
    }

    /// Adds the seeds of new settings.
    pub(crate) fn add_seeds(&mut self, seeds: &[HostId]) {
        for &host in seeds {
            if self.candidate(host).is_none() {
                self.candidates.push(Candidate { host, distance: 2, left_at: None });
            }
        }
    }

    fn answer_timeout(&self) -> Millis {
        match self.holds {
            LogIndex(0) => FIRST_ANSWER_TIMEOUT,
            _ => ANSWER_TIMEOUT,
        }
    }

    fn candidate(&self, host: HostId) -> Option<&Candidate> {
        self.candidates.iter().find(|it| it.host == host)
    }

    fn distance(&self, place: &KnownPlace) -> u8 {
        match place {
            KnownPlace::Known(it) if it.data_centre == self.own.data_centre => 0,
            KnownPlace::Known(it) if it.region == self.own.region => 1,
            KnownPlace::Known(_) | KnownPlace::Unknown => 2,
        }
    }

    fn leave_target(&mut self, now: Timestamp, cause: &'static str, events: &mut Vec<Event>) {
        if let Some(host) = self.target.take() {
            if let Some(it) = self.candidates.iter_mut().find(|it| it.host == host) {
                it.left_at = Some(now);
            }
            if self.is_fed {
                events.push(Event::ControlHostLost { host, cause });
            }
        }
        self.is_fed = false;
        self.is_waiting = false;
    }

    /// Keeps the target unless a nearer one may be tried; takes the one that was left longest ago
    /// when all were left lately.
    fn choose_target(&mut self, now: Timestamp) -> Option<HostId> {
        let rank = |it: &Candidate| {
            let left_at = it.left_at.filter(|at| now.since(*at) < TRY_AGAIN_AFTER);
            let is_target = self.target == Some(it.host);
            let spread = (u64::from(it.host.0) ^ self.seed).wrapping_mul(SPREAD_FACTOR);
            (left_at, it.distance, !is_target, spread)
        };
        let best = self.candidates.iter().min_by_key(|it| rank(it))?.host;
        if self.target != Some(best) {
            self.target = Some(best);
            self.is_fed = false;
        }
        self.target
    }
}

/// Mixes host ids and seeds; an odd number without short patterns (the golden ratio in 64 bits).
const SPREAD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
