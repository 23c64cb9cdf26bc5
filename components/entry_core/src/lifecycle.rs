//! A planned stop and the host's way into service.

use ids::{Millis, Timestamp, WallTime};
use membership::MemberState;

use crate::{core::EntryCore, event::EntryAction};

/// Longest wait for other replicas to take over claims.
const HAND_OVER_LIMIT: Millis = Millis(20_000);

impl EntryCore {
    pub(crate) fn on_drain(&mut self, now: Timestamp, wall: WallTime) {
        if self.drain_until.is_some() {
            return;
        }
        log::info!("planned stop begins");
        self.drain_until = Some(now + self.settings.drain);
        let actions = self.fleet.drain(now);
        self.on_fleet(now, wall, actions);
    }

    /// Moves on in the host's life when the time has come.
    pub(crate) fn check_lifecycle(&mut self, now: Timestamp, wall: WallTime) {
        match self.mode() {
            MemberState::Joining => self.check_ready(now, wall),
            MemberState::Draining => self.check_drained(now, wall),
            MemberState::Serving | MemberState::Stopped | MemberState::Dead => {}
        }
    }

    fn check_ready(&mut self, now: Timestamp, wall: WallTime) {
        if !self.fleet.dissemination().is_ready() || self.config.is_none() {
            return;
        }
        log::info!("entry host serves");
        self.actions.push(EntryAction::OpenToCallers);
        let actions = self.fleet.ready(now);
        self.on_fleet(now, wall, actions);
    }

    fn check_drained(&mut self, now: Timestamp, wall: WallTime) {
        let Some(until) = self.drain_until.filter(|it| now >= *it) else { return };
        // No caller may still keep this host's address.
        if !self.is_closed {
            self.is_closed = true;
            self.actions.push(EntryAction::CloseToCallers);
            let actions = self.claims.drain(now, wall);
            self.on_claims(now, wall, actions);
        }
        let hands_over = !self.claims.is_drained() && now < until + HAND_OVER_LIMIT;
        if hands_over || !self.requests.is_empty() {
            return;
        }
        if !self.claims.is_drained() {
            log::warn!("planned stop goes on without a complete hand-over of claims");
        }
        let actions = self.fleet.stop(now);
        self.on_fleet(now, wall, actions);
        log::info!("planned stop is complete");
        self.actions.push(EntryAction::Stopped);
    }
}
