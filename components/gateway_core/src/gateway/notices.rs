//! Processes what backend servers say of themselves in their responses.

use std::net::SocketAddr;

use ids::{HostId, Incarnation, Timestamp};
use schema::server_load::LoadEvent;

use super::Gateway;
use crate::{
    events::Event,
    servers::{ServerKey, notices::ServerNotice},
};

impl Gateway {
    /// Processes the notice in the response to a request that was sent at `sent_at` and may have
    /// ended.
    pub fn on_server_notice(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        incarnation: Incarnation,
        sent_at: Timestamp,
        notice: ServerNotice,
    ) {
        let key = ServerKey { address, incarnation };
        if notice.is_leaving && self.record_leaving(self.settings.host, key) {
            self.report_event(now, key, LoadEvent::Leaving);
        }
        self.on_limit_notice(now, key, notice.limit, sent_at);
        let Some(pause) = notice.pause else { return };
        let random = Self::random_unit(&mut self.rng);
        let until = self.servers.record_pause(now, key, pause, random);
        let Some(server) = self.servers.by_key_mut(key) else { return };
        let (server, service) =
            (server.announcement.server.clone(), server.announcement.service.clone());
        self.events.push(Event::ServerPaused { server, pause: until.since(now) });
        if self.servers.all_closed_for(now, &service).is_some() {
            // None of the waiting requests can be sent.
            self.wakeups.extend(self.wait_queues.all(&service));
        }
    }

    /// Returns whether an attempt that has not been sent yet may still go to its server.
    pub fn may_send(
        &self,
        now: Timestamp,
        address: SocketAddr,
        incarnation: Incarnation,
        has_permit: bool,
    ) -> bool {
        let key = ServerKey { address, incarnation };
        let is_permitted = has_permit || self.servers.limit(key).is_none();
        is_permitted && self.servers.closed(now, key, has_permit).is_none()
    }

    /// Returns whether an idle connection to a server may be kept.
    pub fn may_keep_connection(
        &self,
        now: Timestamp,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> bool {
        self.servers.closed(now, ServerKey { address, incarnation }, true).is_none()
    }

    /// Records that a server leaves; returns whether that is new.
    pub(super) fn record_leaving(&mut self, seen_by: HostId, key: ServerKey) -> bool {
        let is_new = self.servers.record_leaving(key);
        if is_new {
            let server = self.servers.by_key_mut(key).map(|it| it.announcement.server.clone());
            self.events.push(Event::ServerLeaving { server, address: key.address, seen_by });
        }
        is_new
    }
}
