//! Decides when a starting host may act on the configuration that it received.

use std::collections::BTreeMap;

use ids::{ConfigVersion, HostId, Millis, Timestamp};

use crate::{settings::DisseminationSettings, view::View};

/// The versions that other hosts reported to a starting host.
#[derive(Debug)]
pub(crate) struct Recovery {
    started_at: Option<Timestamp>,
    requested_at: Option<Timestamp>,
    answers: BTreeMap<HostId, ConfigVersion>,
    /// Whether a control host with a current configuration has answered.
    control_answered: bool,
    ready: bool,
}

impl Recovery {
    pub(crate) fn new() -> Self {
        Self {
            started_at: None,
            requested_at: None,
            answers: BTreeMap::new(),
            control_answered: false,
            ready: false,
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns whether to ask the other hosts now; if so, records `now` as the time of the request.
    pub(crate) fn request_due(&mut self, now: Timestamp, interval: Millis) -> bool {
        let due = self.requested_at.is_none_or(|it| now.since(it) >= interval);
        if self.ready || !due {
            return false;
        }
        self.requested_at = Some(now);
        true
    }

    /// Records the version that `from` holds and whether it is a control host that is `current`.
    pub(crate) fn record_answer(&mut self, from: HostId, version: ConfigVersion, current: bool) {
        if self.ready {
            return;
        }
        self.control_answered |= current;
        self.answers.insert(from, version);
    }

    /// Marks the host ready once it holds the highest version reported by live hosts and enough
    /// hosts have answered; it stays ready.
    ///
    /// A current control host is enough at once, a majority of the links after
    /// `recovery_majority_delay`, any answer after `recovery_any_delay`.
    pub(crate) fn update(
        &mut self,
        now: Timestamp,
        held: ConfigVersion,
        view: &View,
        settings: &DisseminationSettings,
    ) {
        if self.ready {
            return;
        }
        let started_at = *self.started_at.get_or_insert(now);
        self.answers.retain(|host, _| view.is_live(*host));
        let highest = self.answers.values().max().copied().unwrap_or_default();
        if held == ConfigVersion(0) || held < highest {
            return;
        }
        let waited = now.since(started_at);
        let answered = view.links.iter().filter(|it| self.answers.contains_key(it)).count();
        let majority = answered * 2 > view.links.len();
        self.ready = self.control_answered
            || (waited >= settings.recovery_majority_delay && majority)
            || (waited >= settings.recovery_any_delay && !self.answers.is_empty());
    }
}
