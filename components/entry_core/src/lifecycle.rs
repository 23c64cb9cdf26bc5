//! A planned stop and the host's way into service.

use ids::{Timestamp, WallTime};
use membership::MemberState;

use crate::{core::EntryCore, event::EntryAction};

impl EntryCore {
    pub(crate) fn on_drain(&mut self, now: Timestamp, wall: WallTime) {
        if self.drain_until.is_some() {
            return;
        }
        log::info!("planned stop begins");
        self.drain_until = Some(now + self.settings.drain);
        let actions = self.fleet.drain(now);
        self.on_fleet(now, wall, actions);
        let actions = self.claims.drain(now, wall);
        self.on_claims(now, wall, actions);
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
        let actions = self.fleet.ready(now);
        self.on_fleet(now, wall, actions);
    }

    fn check_drained(&mut self, now: Timestamp, wall: WallTime) {
        let Some(until) = self.drain_until else { return };
        // Callers may keep an address for a while after the last directory answer named it.
        let is_unknown = now >= until;
        let is_idle = self.requests.is_empty() && self.claims.is_drained();
        if !is_unknown || !is_idle {
            return;
        }
        let actions = self.fleet.stop(now);
        self.on_fleet(now, wall, actions);
        log::info!("planned stop is complete");
        self.actions.push(EntryAction::Stopped);
    }
}
