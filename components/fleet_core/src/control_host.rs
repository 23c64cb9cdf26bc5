//! The complete state machine of a control host.

use claims::{ClaimHost, ClaimMap};
use control_core::{Action, ControlCore, Event};
use ids::{Blob, HostId, RequestId, Timestamp, WallTime};
use membership::{Member, MemberRole, MemberState};
use schema::{
    consensus::Snapshot,
    control_state,
    operator::{OperatorRequest, OperatorResponse, Origin},
    peer::PeerMessage,
    storage::{Persisted, Record},
};

use crate::{ClaimPlanner, FleetAction, FleetCore, FleetSettings, Outgoing};

/// Settings of a control host.
#[derive(Debug, Clone)]
pub struct ControlHostSettings {
    /// Settings of the replicated log.
    pub consensus: consensus::Settings,
    /// Settings of membership and dissemination.
    pub fleet: FleetSettings,
}

/// An input of [`ControlHost`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlHostEvent {
    /// Runs the timers that are due; expected about every 50 ms.
    Tick,
    /// A message from another host.
    Peer {
        /// The sender.
        from: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// A request of an authenticated operator.
    Request {
        /// Id that is returned with the response.
        request: RequestId,
        /// The operator who sent it.
        origin: Origin,
        /// The request itself.
        body: OperatorRequest,
    },
    /// The host is about to stop as planned.
    Stop,
}

/// An action that the owner must execute, strictly in the order returned.
///
/// `Store` and `SaveSnapshot` must be durable before the next action is executed. If one of them
/// fails, the process must stop without executing the rest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlHostAction {
    /// Appends a record to the log on disk.
    Store(Record),
    /// Replaces the snapshot on disk.
    SaveSnapshot(Snapshot),
    /// Sends a message, without any guarantee of delivery.
    Send(Outgoing),
    /// Answers an operator.
    Answer {
        /// The request that this responds to.
        request: RequestId,
        /// The response.
        response: OperatorResponse,
    },
}

/// The complete state machine of a control host: replicated log, claim map, membership and
/// dissemination.
pub struct ControlHost {
    core: ControlCore,
    fleet: FleetCore,
    planner: ClaimPlanner,
    claim_map: ClaimMap,
}

impl ControlHost {
    /// Resumes from the persisted log and snapshot.
    pub fn restore(settings: ControlHostSettings, persisted: Persisted, now: Timestamp) -> Self {
        let core = ControlCore::restore(settings.consensus, persisted, now);
        let fleet = FleetCore::new(settings.fleet, now);
        let planner = ClaimPlanner::default();
        Self { core, fleet, planner, claim_map: ClaimMap::empty() }
    }

    /// Returns the replicated log and state.
    pub fn core(&self) -> &ControlCore {
        &self.core
    }

    /// Returns membership and dissemination.
    pub fn fleet(&self) -> &FleetCore {
        &self.fleet
    }

    /// Tells the other hosts that this one is ready to serve.
    pub fn ready(&mut self, now: Timestamp) -> Vec<ControlHostAction> {
        let actions = self.fleet.ready(now);
        send_actions(actions)
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(
        &mut self,
        now: Timestamp,
        wall_time: WallTime,
        event: ControlHostEvent,
    ) -> Vec<ControlHostAction> {
        match event {
            ControlHostEvent::Tick => self.tick(now, wall_time),
            ControlHostEvent::Peer { from, message } => {
                self.handle_peer_message(now, wall_time, from, message)
            }
            ControlHostEvent::Request { request, origin, body } => {
                let event = Event::Request { request, origin, body };
                self.handle_core_event(now, wall_time, event)
            }
            ControlHostEvent::Stop => send_actions(self.fleet.stop(now)),
        }
    }

    fn tick(&mut self, now: Timestamp, wall_time: WallTime) -> Vec<ControlHostAction> {
        let mut out = self.handle_core_event(now, wall_time, Event::Tick);
        let holds_lease = self.core.consensus().lease_read_index(now).is_ok();
        self.fleet.dissemination_mut().set_current(holds_lease);
        if holds_lease && let Some(event) = self.plan_claim_map(now, wall_time) {
            out.extend(self.handle_core_event(now, wall_time, event));
        }
        out.extend(send_actions(self.fleet.tick(now)));
        out
    }

    fn handle_peer_message(
        &mut self,
        now: Timestamp,
        wall_time: WallTime,
        from: HostId,
        message: PeerMessage,
    ) -> Vec<ControlHostAction> {
        match message {
            PeerMessage::Consensus(message) => {
                self.handle_core_event(now, wall_time, Event::Message { from, message })
            }
            PeerMessage::Membership(it) => {
                send_actions(self.fleet.handle_membership(now, from, it))
            }
            PeerMessage::Dissemination(it) => {
                send_actions(self.fleet.handle_dissemination(now, from, it))
            }
            PeerMessage::ClaimReport(report) => {
                self.planner.record_report(from, report);
                Vec::new()
            }
            PeerMessage::Claims(_)
            | PeerMessage::Health(_)
            | PeerMessage::Limits(_)
            | PeerMessage::Sync(_)
            | PeerMessage::ServerLoad(_)
            | PeerMessage::RetryBudget(_)
            | PeerMessage::ServerLimit(_)
            | PeerMessage::OrganisationRate(_)
            | PeerMessage::ServerWork(_)
            | PeerMessage::Quarantine(_) => Vec::new(),
        }
    }

    fn handle_core_event(
        &mut self,
        now: Timestamp,
        wall_time: WallTime,
        event: Event,
    ) -> Vec<ControlHostAction> {
        let actions = self.core.handle(now, wall_time, event);
        let mut out = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                Action::Store(record) => out.push(ControlHostAction::Store(record)),
                Action::SaveSnapshot(it) => out.push(ControlHostAction::SaveSnapshot(it)),
                Action::Send { to, message } => {
                    let message = PeerMessage::Consensus(message);
                    let outgoing = self.fleet.outgoing(to, message);
                    out.extend(outgoing.map(ControlHostAction::Send));
                }
                Action::Answer { request, response } => {
                    out.push(ControlHostAction::Answer { request, response });
                }
                Action::ConfigCommitted { version, digest, text } => {
                    // A configuration that an earlier release accepted may break newer rules.
                    let Ok(config) = config::parse(&text) else { continue };
                    let dissemination = self.fleet.dissemination_mut();
                    let actions = dissemination.publish_config(now, version, digest, config.text());
                    out.extend(send_actions(self.fleet.to_fleet_actions(actions)));
                }
                Action::ClaimMapCommitted(map) => out.extend(self.publish_claim_map(map)),
                Action::MembersChanged(_) => {}
            }
        }
        out
    }

    fn publish_claim_map(&mut self, map: control_state::ClaimMap) -> Vec<ControlHostAction> {
        let state = schema::decode(map.data.as_slice()).expect("a committed claim map decodes");
        self.claim_map = ClaimMap::from_state(state);
        let actions = self.fleet.dissemination_mut().publish_claim_map(map.epoch, map.data);
        send_actions(self.fleet.to_fleet_actions(actions))
    }

    /// Returns the event that replaces the claim map, if it has to change now.
    fn plan_claim_map(&mut self, now: Timestamp, wall_time: WallTime) -> Option<Event> {
        let hosts = self.fleet.membership().members().filter_map(to_claim_host).collect();
        let state = self.planner.plan(now, wall_time, hosts, &self.claim_map)?;
        let data = Blob::from(schema::encode(&state));
        Some(Event::ReplaceClaimMap(control_state::ClaimMap { epoch: state.epoch, data }))
    }
}

/// Converts a member to a host that can hold claims, if it is an entry host that serves or drains.
fn to_claim_host(member: &Member) -> Option<ClaimHost> {
    let is_entry = matches!(member.role, MemberRole::Entry(_));
    if !is_entry || !matches!(member.state, MemberState::Serving | MemberState::Draining) {
        return None;
    }
    Some(ClaimHost {
        host: member.host,
        incarnation: member.incarnation,
        data_centre: member.data_centre.clone(),
        region: member.region.clone(),
    })
}

/// Keeps only the sends; a control host ignores the other actions of the fleet.
fn send_actions(actions: Vec<FleetAction>) -> Vec<ControlHostAction> {
    let sends = actions.into_iter().filter_map(|it| match it {
        FleetAction::Send(outgoing) => Some(ControlHostAction::Send(outgoing)),
        FleetAction::MembersChanged | FleetAction::HostLost(_) | FleetAction::Dissemination(_) => {
            None
        }
    });
    sends.collect()
}
