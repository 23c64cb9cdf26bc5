//! When a host that has just started may trust the configuration it was given.

use std::collections::BTreeMap;

use ids::{ConfigVersion, HostId, Millis, Timestamp};

use crate::{settings::DisseminationSettings, view::View};

/// What a starting host has heard of the versions that others hold.
#[derive(Debug)]
pub(crate) struct Recovery {
    started: Option<Timestamp>,
    asked_at: Option<Timestamp>,
    answers: BTreeMap<HostId, ConfigVersion>,
    control_answered: bool,
    ready: bool,
}

impl Recovery {
    pub(crate) fn new() -> Self {
        Self {
            started: None,
            asked_at: None,
            answers: BTreeMap::new(),
            control_answered: false,
            ready: false,
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether the other hosts are to be asked now.
    pub(crate) fn question_due(&mut self, now: Timestamp, interval: Millis) -> bool {
        let due = self.asked_at.is_none_or(|it| now.since(it) >= interval);
        if self.ready || !due {
            return false;
        }
        self.asked_at = Some(now);
        true
    }

    pub(crate) fn note(&mut self, from: HostId, version: ConfigVersion, current: bool) {
        if self.ready {
            return;
        }
        self.control_answered |= current;
        self.answers.insert(from, version);
    }

    /// Decides whether the version held may be acted on; never taken back.
    pub(crate) fn judge(
        &mut self,
        now: Timestamp,
        held: ConfigVersion,
        view: &View,
        settings: &DisseminationSettings,
    ) {
        if self.ready {
            return;
        }
        let started = *self.started.get_or_insert(now);
        self.answers.retain(|host, _| view.is_live(*host));
        let highest = self.answers.values().max().copied().unwrap_or_default();
        if held == ConfigVersion(0) || held < highest {
            return;
        }
        let waited = now.since(started);
        let answered = view.links.iter().filter(|it| self.answers.contains_key(it)).count();
        let most = answered * 2 > view.links.len();
        self.ready = self.control_answered
            || (waited >= settings.recovery_wait && most)
            || (waited >= settings.recovery_limit && !self.answers.is_empty());
    }
}
