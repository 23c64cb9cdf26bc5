//! Whether a process that has just started knows the records of the fleet.
//!
//! Load pattern: processes are restarted one after the other, and each would let a request crash
//! servers again that the others refuse.

use ids::{HostId, Millis, Timestamp};

/// Time between two asks while requests are held back, in milliseconds.
const ASK_INTERVAL: Millis = Millis(100);

/// Time between two asks afterwards, in milliseconds: control hosts that have restarted don't know soon.
const SLOW_ASK_INTERVAL: Millis = Millis(1_000);

/// Longest time that requests are held back after a control host was reached, in milliseconds.
const HOLD_TIME: Millis = Millis(250);

/// Time after its start for which a process asks, in milliseconds; it has heard of all records by then.
const ASK_TIME: Millis = Millis(30_000);

/// Number of control hosts that are asked.
pub const ASKED_CONTROL_HOSTS: usize = 3;

/// What a process knows of the records that others hold.
#[derive(Debug)]
pub(crate) struct Knowledge {
    started: Timestamp,
    /// When a control host was first reached.
    contact_at: Option<Timestamp>,
    asked_at: Option<Timestamp>,
    /// Control hosts that have told all that they know.
    heard: Vec<HostId>,
    /// Those of them that have run for long enough to know all.
    knowing: Vec<HostId>,
    is_known: bool,
    /// Whether so many were heard that requests are held back no longer, whatever they know.
    is_heard: bool,
}

impl Knowledge {
    pub(crate) fn new(started: Timestamp) -> Self {
        Self {
            started,
            contact_at: None,
            asked_at: None,
            heard: Vec::new(),
            knowing: Vec::new(),
            is_known: false,
            is_heard: false,
        }
    }

    pub(crate) fn record_contact(&mut self, now: Timestamp) {
        self.contact_at.get_or_insert(now);
    }

    /// Returns whether the records are known, as far as this process waits for them.
    pub(crate) fn is_known(&self, now: Timestamp) -> bool {
        self.is_known || now.since(self.started) >= ASK_TIME
    }

    /// Returns until when requests are held back, if they are.
    pub(crate) fn holds_until(&self, now: Timestamp) -> Option<Timestamp> {
        let until = self.contact_at.map_or(self.started + ASK_TIME, |it| it + HOLD_TIME);
        (!self.is_heard && !self.is_known(now) && now < until).then_some(until)
    }

    fn ask_interval(&self) -> Millis {
        if self.is_heard { SLOW_ASK_INTERVAL } else { ASK_INTERVAL }
    }

    /// Returns when others should be asked, if this process still needs that.
    pub(crate) fn next_ask(&self) -> Option<Timestamp> {
        let at = self.asked_at? + self.ask_interval();
        (!self.is_known(at)).then_some(at)
    }

    /// Returns whether others should be asked now, and records that they are.
    pub(crate) fn should_ask(&mut self, now: Timestamp) -> bool {
        let is_due = self.asked_at.is_none_or(|it| now.since(it) >= self.ask_interval());
        if self.is_known(now) || !is_due {
            return false;
        }
        self.asked_at = Some(now);
        true
    }

    /// Records that a host has told all that it knows, and whether it knows all; one gateway that knows is
    /// enough, or a majority of the control hosts that are asked.
    pub(crate) fn record_told(
        &mut self,
        from: HostId,
        control_hosts: &[HostId],
        is_complete: bool,
    ) {
        if !control_hosts.contains(&from) {
            self.is_known |= is_complete;
            return;
        }
        let asked = control_hosts.len().min(ASKED_CONTROL_HOSTS);
        let add = |hosts: &mut Vec<HostId>| {
            if !hosts.contains(&from) {
                hosts.push(from);
            }
            hosts.len() * 2 > asked
        };
        self.is_heard |= add(&mut self.heard);
        self.is_known |= is_complete && add(&mut self.knowing);
    }
}
