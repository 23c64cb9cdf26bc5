//! Lifecycle of the host: it starts to serve, drains and stops.

use ids::{Millis, Timestamp, WallTime};
use membership::MemberState;

use crate::{core::EntryCore, event::EntryAction};

/// Longest wait for the hand-over of claims to other replicas.
const HAND_OVER_TIMEOUT: Millis = Millis(20_000);

impl EntryCore {
    /// Starts a graceful shutdown.
    pub(crate) fn on_drain(&mut self, now: Timestamp, wall: WallTime) {
        if self.drain_until.is_some() {
            return;
        }
        log::info!("planned stop begins");
        self.drain_until = Some(now + self.settings.drain);
        let actions = self.fleet.drain(now);
        self.handle_fleet_actions(now, wall, actions);
    }

    /// Moves to the next lifecycle state when its conditions are met.
    pub(crate) fn advance_lifecycle(&mut self, now: Timestamp, wall: WallTime) {
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
        log::info!("entry host is serving");
        self.actions.push(EntryAction::OpenToCallers);
        let actions = self.fleet.ready(now);
        self.handle_fleet_actions(now, wall, actions);
    }

    fn check_drained(&mut self, now: Timestamp, wall: WallTime) {
        let Some(until) = self.drain_until.filter(|it| now >= *it) else { return };
        // By now the directory answers with this host's address have expired in all callers'
        // caches.
        if !self.closed_to_callers {
            self.closed_to_callers = true;
            self.actions.push(EntryAction::CloseToCallers);
            let actions = self.claims.drain(now, wall);
            self.handle_claim_actions(now, wall, actions);
        }
        let is_handing_over = !self.claims.is_drained() && now < until + HAND_OVER_TIMEOUT;
        if is_handing_over || !self.requests.is_empty() {
            return;
        }
        if !self.claims.is_drained() {
            log::warn!("planned stop continues before all claims were handed over");
        }
        let actions = self.fleet.stop(now);
        self.handle_fleet_actions(now, wall, actions);
        log::info!("planned stop is complete");
        self.actions.push(EntryAction::Stopped);
    }
}
