//! Dispatches messages of other hosts to the components, and executes the components' actions.

use claims::ClaimAction;
use dissemination::DisseminationAction;
use fleet_core::FleetAction;
use health::HealthAction;
use ids::{HostId, Incarnation, ServerId, Timestamp, WallTime};
use limits::organisations::LimitsAction;
use schema::{announcement::ServerState, peer::PeerMessage};

use crate::{
    core::EntryCore,
    event::{AttemptOutcome, EntryAction, ProbeStart},
};

/// Lowest HTTP status code that fails a probe.
const MIN_FAILED_PROBE_STATUS: u16 = 400;

impl EntryCore {
    pub(crate) fn on_peer_message(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        from: HostId,
        incarnation: Incarnation,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Membership(it) => {
                let actions = self.fleet.handle_membership(now, from, it);
                self.handle_fleet_actions(now, wall, actions);
            }
            PeerMessage::Dissemination(it) => {
                let actions = self.fleet.handle_dissemination(now, from, it);
                self.handle_fleet_actions(now, wall, actions);
            }
            PeerMessage::Claims(it) => {
                let actions = self.claims.handle(now, wall, from, incarnation, it);
                self.handle_claim_actions(now, wall, actions);
            }
            PeerMessage::Health(it) => {
                let actions = self.health.handle(now, from, it);
                self.handle_health_actions(actions);
            }
            PeerMessage::Limits(it) => {
                let actions = self.organisations.handle(now, from, it.clone());
                self.handle_limit_actions(actions);
                let actions = self.quarantine.handle(now, from, it);
                self.handle_quarantine_actions(now, wall, actions);
            }
            // Only control hosts take part in consensus and plan the claim map.
            PeerMessage::Consensus(_) | PeerMessage::ClaimReport(_) => {}
            // Only gateways poll a registry, and share server loads and retries.
            PeerMessage::Sync(_)
            | PeerMessage::ServerLoad(_)
            | PeerMessage::RetryBudget(_)
            | PeerMessage::ServerLimit(_)
            | PeerMessage::OrganisationRate(_)
            | PeerMessage::ServerWork(_)
            | PeerMessage::Quarantine(_) => {}
        }
    }

    pub(crate) fn handle_fleet_actions(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        actions: Vec<FleetAction>,
    ) {
        for action in actions {
            match action {
                FleetAction::Send(outgoing) => self.actions.push(EntryAction::Send(outgoing)),
                FleetAction::MembersChanged => self.on_members_changed(now, wall),
                FleetAction::HostLost(member) => {
                    self.claims.mark_host_lost(member.host, member.incarnation);
                }
                FleetAction::Dissemination(it) => self.handle_dissemination_action(now, wall, it),
            }
        }
    }

    fn handle_dissemination_action(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        action: DisseminationAction,
    ) {
        match action {
            // `FleetCore` turns these into `FleetAction::Send`.
            DisseminationAction::Send { .. } => {}
            DisseminationAction::ConfigInForce { config, .. } => {
                self.apply_config(now, wall, &config);
            }
            DisseminationAction::ServerChanged { announcement } => {
                self.on_server_changed(now, wall, announcement);
            }
            // An overdue announcement alone does not take a server out of rotation.
            DisseminationAction::ServerStale { .. } | DisseminationAction::ServerFresh { .. } => {}
            DisseminationAction::ServerRemoved { server } => {
                self.on_server_removed(now, wall, &server);
            }
            DisseminationAction::ClaimMapChanged { content, .. } => {
                self.apply_claim_map(now, wall, &content);
            }
        }
    }

    pub(crate) fn handle_health_actions(&mut self, actions: Vec<HealthAction>) {
        for action in actions {
            match action {
                HealthAction::Send { to, message } => {
                    self.send(to, PeerMessage::Health(message));
                }
                HealthAction::Probe { server, timeout } => self.start_probe(&server, timeout),
                HealthAction::StatusChanged { server, from, to, .. } => {
                    self.counters.server_changes += 1;
                    log::info!(server:% = server, from:? = from, to:? = to; "server status changed");
                }
            }
        }
    }

    pub(crate) fn handle_limit_actions(&mut self, actions: Vec<LimitsAction>) {
        for LimitsAction::Send { to, message } in actions {
            self.send(to, PeerMessage::Limits(message));
        }
    }

    pub(crate) fn handle_claim_actions(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        actions: Vec<ClaimAction>,
    ) {
        for action in actions {
            match action {
                ClaimAction::Send { to, message } => self.send(to, PeerMessage::Claims(message)),
                ClaimAction::Decided { request, decision } => {
                    self.on_claim_decided(now, wall, request, decision);
                }
            }
        }
    }

    pub(crate) fn send(&mut self, to: HostId, message: PeerMessage) {
        if let Some(outgoing) = self.fleet.outgoing(to, message) {
            self.actions.push(EntryAction::Send(outgoing));
        }
    }

    fn start_probe(&mut self, server: &ServerId, timeout: ids::Millis) {
        let Some(announcement) = self.servers.get(server) else { return };
        if announcement.state == ServerState::Stopped {
            return;
        }
        let Some(state) = self.services.get(&announcement.service) else { return };
        self.counters.probes += 1;
        self.actions.push(EntryAction::StartProbe(ProbeStart {
            server: server.clone(),
            address: announcement.address,
            path: state.service.probe_path.clone(),
            timeout,
            max_response_bytes: state.service.max_response_bytes,
        }));
    }

    pub(crate) fn on_probe_ended(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        outcome: Option<AttemptOutcome>,
        started_at: Timestamp,
    ) {
        let kind = probe_kind(outcome);
        let latency = std::time::Duration::from_micros(now.micros_since(started_at));
        self.health.probe_result(now, server, health::ProbeResult { kind, latency });
    }
}

/// Returns the health outcome of a probe; `None` stands for a timeout.
fn probe_kind(outcome: Option<AttemptOutcome>) -> health::OutcomeKind {
    match outcome {
        None => health::OutcomeKind::TimedOut,
        Some(AttemptOutcome::Answered(answer)) if answer.status < MIN_FAILED_PROBE_STATUS => {
            health::OutcomeKind::Answered
        }
        Some(
            AttemptOutcome::Answered(_) | AttemptOutcome::NotSent | AttemptOutcome::ConnectionLost,
        ) => health::OutcomeKind::Failed,
        Some(AttemptOutcome::Shed { .. }) => health::OutcomeKind::Shed,
        Some(AttemptOutcome::Truncated) => health::OutcomeKind::Truncated,
        Some(AttemptOutcome::Mismatched) => health::OutcomeKind::Wrong,
    }
}
