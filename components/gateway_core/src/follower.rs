//! Follows the registry through one control host at a time.
//!
//! A gateway always has one poll on its way. A control host that does not answer in time, or that
//! says that it is not current, is left for the next one.

use ids::{HostId, LogIndex, Millis, Timestamp};
use schema::sync::{HostsRevision, Poll, Presence};

use crate::notes::Note;

/// Longest wait for the answer to a poll, in milliseconds: a second that the poll is held, and
/// time for a lost packet to be sent again.
pub const ANSWER_TIMEOUT: Millis = Millis(1_600);

/// Least time between two polls, in milliseconds.
const MIN_POLL_INTERVAL: Millis = Millis(20);

/// Pause before the next control host is asked after one that is not current, in milliseconds.
const NOT_CURRENT_PAUSE: Millis = Millis(100);

/// A poll to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollOut {
    /// The control host.
    pub to: HostId,
    /// The poll.
    pub poll: Poll,
}

/// What is known of the control hosts.
#[derive(Debug)]
pub(crate) struct Follower {
    control_hosts: Vec<HostId>,
    next: usize,
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
    pub(crate) fn new(seeds: &[HostId], seed: u64) -> Self {
        let mut control_hosts = seeds.to_vec();
        control_hosts.sort_unstable();
        control_hosts.dedup();
        let next = usize::try_from(seed).unwrap_or(0) % control_hosts.len().max(1);
        Self {
            control_hosts,
            next,
            target: None,
            sequence: 0,
            waits_until: Timestamp::default(),
            is_waiting: false,
            is_fed: false,
            holds: LogIndex(0),
            last_current_at: None,
        }
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
        notes: &mut Vec<Note>,
    ) -> Option<PollOut> {
        if now < self.waits_until {
            return None;
        }
        if self.is_waiting {
            self.leave_target("no answer in time", notes);
        }
        let to = self.choose_target()?;
        self.sequence += 1;
        self.is_waiting = true;
        self.waits_until = now + ANSWER_TIMEOUT;
        let poll = Poll {
            sequence: self.sequence,
            presence,
            holds: self.holds,
            holds_hosts: holds_hosts.clone(),
        };
        Some(PollOut { to, poll })
    }

    /// Whether an update answers the poll on its way; an older one tells nothing new.
    pub(crate) fn accept(&mut self, from: HostId, sequence: u64) -> bool {
        let is_awaited = self.is_waiting && self.target == Some(from) && sequence == self.sequence;
        if is_awaited {
            self.is_waiting = false;
        }
        is_awaited
    }

    /// Notes that the target answered, and whether it is current.
    pub(crate) fn note_answer(&mut self, now: Timestamp, is_current: bool, notes: &mut Vec<Note>) {
        if is_current {
            self.last_current_at = Some(now);
            self.waits_until = now + MIN_POLL_INTERVAL;
            if let Some(host) = self.target.filter(|_| !self.is_fed) {
                self.is_fed = true;
                notes.push(Note::ControlHostFound { host });
            }
            return;
        }
        self.leave_target("not current", notes);
        self.waits_until = now + NOT_CURRENT_PAUSE;
    }

    /// Sends the next poll at once, to tell of a change of this host.
    pub(crate) fn poll_now(&mut self) {
        self.is_waiting = false;
        self.waits_until = Timestamp::default();
    }

    /// Learns the control hosts; what was learned goes before settings.
    pub(crate) fn learn(&mut self, control_hosts: &[HostId]) {
        if control_hosts.is_empty() {
            return;
        }
        self.control_hosts = control_hosts.to_vec();
        self.control_hosts.sort_unstable();
    }

    /// Adds the seeds of new settings.
    pub(crate) fn add_seeds(&mut self, seeds: &[HostId]) {
        self.control_hosts.extend(seeds);
        self.control_hosts.sort_unstable();
        self.control_hosts.dedup();
    }

    fn leave_target(&mut self, cause: &'static str, notes: &mut Vec<Note>) {
        if let Some(host) = self.target.take()
            && self.is_fed
        {
            notes.push(Note::ControlHostLost { host, cause });
        }
        self.is_fed = false;
        self.is_waiting = false;
    }

    fn choose_target(&mut self) -> Option<HostId> {
        if self.target.is_none() {
            self.next = (self.next + 1) % self.control_hosts.len().max(1);
            self.target = self.control_hosts.get(self.next).copied();
        }
        self.target
    }
}
