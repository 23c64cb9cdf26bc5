//! Feeds the quarantine with what happens to requests and servers, and delivers its messages.

use std::net::SocketAddr;

use ::quarantine::{
    ASKED_CONTROL_HOSTS, Admission, Audience, Candidate, Observer, Probe, ProbeOutcome,
};
use ids::{Fingerprint, HostId, Incarnation, RequestId, Timestamp};
use rand_xoshiro::rand_core::RngCore;
use schema::{
    announcement::{Announcement, ServerState},
    quarantine::QuarantineMessage,
    server_load::ReportScope,
};

use super::Gateway;
use crate::{
    events::Event,
    servers::{Course, ServerKey, key_of},
    settings::Lifecycle,
};

/// Number of gateways that one that has started asks for their records.
const ASKED_GATEWAYS: usize = 2;

/// Number of pushes to control hosts that all gateways together send for each push of one gateway.
const PUSHES_TO_CONTROL_HOSTS: f64 = 20.0;

impl Gateway {
    /// Processes a message about requests that crash servers.
    pub fn on_quarantine_message(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: &QuarantineMessage,
    ) {
        let control_hosts = self.registry_poller.control_hosts();
        self.quarantine.on_message(now, from, message, &control_hosts);
    }

    /// Takes the pending messages about requests that crash servers.
    pub fn take_quarantine_messages(&mut self) -> Vec<(HostId, QuarantineMessage)> {
        let mut messages = Vec::new();
        for outgoing in self.quarantine.take_outgoing() {
            let message = outgoing.message;
            match outgoing.to {
                Audience::Fleet => {
                    let to_pass_on = with_scope(&message, ReportScope::ToPassOn);
                    let relays = self.pick_relays().into_iter();
                    messages.extend(relays.map(|it| (it, to_pass_on.clone())));
                    let near = self.local_peers().into_iter();
                    let near = near.chain(self.registry_poller.control_hosts());
                    messages.extend(near.map(|it| (it, message.clone())));
                }
                Audience::DataCentre => {
                    messages.extend(self.local_peers().into_iter().map(|it| (it, message.clone())));
                }
                Audience::Informants => {
                    let mut informants = self.rotated_local_peers();
                    informants.truncate(ASKED_GATEWAYS);
                    let control_hosts =
                        self.registry_poller.control_hosts_by_rank(self.settings.host);
                    informants.extend(control_hosts.into_iter().take(ASKED_CONTROL_HOSTS));
                    messages.extend(informants.into_iter().map(|it| (it, message.clone())));
                }
                Audience::AnyGateway => {
                    let random = self.rng.next_u64();
                    let other = self.entry_hosts.any_other(self.settings.host, random);
                    messages.extend(other.map(|it| (it, message.clone())));
                    messages.extend(self.any_control_host().map(|it| (it, message.clone())));
                }
                Audience::Host(host) => messages.push((host, message)),
            }
        }
        messages
    }

    /// Picks a control host now and then, so that all gateways together send it few messages.
    fn any_control_host(&mut self) -> Option<HostId> {
        let control_hosts = self.registry_poller.control_hosts();
        let hosts = self.entry_hosts.len().max(1) as f64;
        let is_picked = Self::random_unit(&mut self.rng) < PUSHES_TO_CONTROL_HOSTS / hosts;
        if !is_picked || control_hosts.is_empty() {
            return None;
        }
        Some(control_hosts[self.rng.next_u64() as usize % control_hosts.len()])
    }

    /// Takes the connections to be opened to learn whether servers have crashed.
    pub fn take_server_probes(&mut self) -> Vec<Probe> {
        self.quarantine.take_probes()
    }

    /// Records the result of a connection that [`Self::take_server_probes`] has returned.
    pub fn on_server_probe(&mut self, now: Timestamp, server: ServerKey, outcome: ProbeOutcome) {
        self.quarantine.probed(now, server, outcome);
    }

    /// Records that a server refused a new connection.
    pub fn on_connection_refused(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        incarnation: Incarnation,
    ) {
        self.quarantine.refused(now, ServerKey { address, incarnation });
    }

    /// Decides whether a request may be sent to a server.
    pub(super) fn admit(&mut self, now: Timestamp, id: RequestId) -> Admission {
        let request = &self.requests[&id];
        let candidate = Candidate {
            id,
            request: request.fingerprint,
            service: &request.service,
            may_be_tried: self.lifecycle == Lifecycle::Serving,
        };
        let control_hosts = self.registry_poller.control_hosts();
        self.quarantine.admit(now, &candidate, &control_hosts)
    }

    /// Lets a request reach one server more and no others, and end by this time.
    pub(super) fn limit_to_one_attempt(&mut self, id: RequestId, until: Timestamp) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.deadline = request.deadline.min(until);
            request.max_attempts = request.max_attempts.min(request.arrived_attempts + 1);
        }
    }

    pub(super) fn record_lost(
        &mut self,
        now: Timestamp,
        request: Fingerprint,
        server: ServerKey,
        observer: Observer,
    ) {
        match self.servers.course_of(now, server) {
            Course::Leaving => {}
            Course::Running => self.quarantine.lost(now, request, server, observer),
            Course::Replaced => {
                self.quarantine.lost(now, request, server, observer);
                self.quarantine.ended(now, server);
            }
        }
    }

    /// Tells the quarantine which starts have ended; must be called before the announcements are applied.
    pub(super) fn note_starts(&mut self, now: Timestamp, announcements: &[Announcement]) {
        let has_left =
            |it: &&Announcement| matches!(it.state, ServerState::Draining | ServerState::Stopped);
        for announcement in announcements.iter().filter(|it| it.state != ServerState::Stopped) {
            self.quarantine.started(now, announcement.address, announcement.incarnation);
            let Some(known) = self.servers.get(&announcement.server) else { continue };
            let is_earlier = known.announcement.incarnation < announcement.incarnation;
            if is_earlier && !has_left(&&known.announcement) {
                self.quarantine.ended(now, known.key());
            }
        }
        for announcement in announcements.iter().filter(has_left) {
            self.quarantine.left(key_of(announcement));
        }
    }

    /// Moves the events of the quarantine to those of the gateway.
    pub(super) fn collect_quarantine_events(&mut self) {
        self.events.extend(self.quarantine.take_events().into_iter().map(Event::Quarantine));
    }
}

/// Returns a message with another scope, if it has one.
fn with_scope(message: &QuarantineMessage, scope: ReportScope) -> QuarantineMessage {
    let mut message = message.clone();
    match &mut message {
        QuarantineMessage::Told(told) => told.scope = scope,
        QuarantineMessage::Pushed(_)
        | QuarantineMessage::RecordsWanted
        | QuarantineMessage::Known(_)
        | QuarantineMessage::TrialAsk(_)
        | QuarantineMessage::TrialAnswer(_)
        | QuarantineMessage::TrialEnd(_) => {}
    }
    message
}
