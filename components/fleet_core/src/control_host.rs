//! All decisions of a control host.

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
    /// Settings of membership.
    pub fleet: FleetSettings,
}

/// What happens to a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlHostEvent {
    /// Time has passed; to be given every 50 ms or so.
    Tick,
    /// A message from another host.
    Peer {
        /// Its sender.
        from: HostId,
        /// What it says.
        message: PeerMessage,
    },
    /// A request of an operator whose token was checked.
    Request {
        /// Comes back with the answer.
        request: RequestId,
        /// Who asks.
        origin: Origin,
        /// What is asked.
        body: OperatorRequest,
    },
    /// A planned stop.
    Stop,
}

/// Something to be done by the owner, strictly in the order given.
///
/// `Store` and `SaveSnapshot` must be durable before the action that follows is carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlHostAction {
    /// Adds a record to the log on disk.
    Store(Record),
    /// Replaces the snapshot on disk.
    SaveSnapshot(Snapshot),
    /// Sends a message that may be lost.
    Send(Outgoing),
    /// Answers an operator.
    Answer {
        /// The request that is answered.
        request: RequestId,
        /// The answer.
        response: OperatorResponse,
    },
}

/// All decisions of a control host.
pub struct ControlHost {
    core: ControlCore,
    fleet: FleetCore,
    planner: ClaimPlanner,
    claim_map: ClaimMap,
}

impl ControlHost {
    /// Resumes from what the disk holds.
    pub fn restore(settings: ControlHostSettings, persisted: Persisted, now: Timestamp) -> Self {
        let core = ControlCore::restore(settings.consensus, persisted, now);
        let fleet = FleetCore::new(settings.fleet, now);
        let planner = ClaimPlanner::default();
        Self { core, fleet, planner, claim_map: ClaimMap::empty() }
    }

    /// The replicated state and the log.
    pub fn core(&self) -> &ControlCore {
        &self.core
    }

    /// Membership and dissemination.
    pub fn fleet(&self) -> &FleetCore {
        &self.fleet
    }

    /// Says that the host can now do its work.
    pub fn ready(&mut self, now: Timestamp) -> Vec<ControlHostAction> {
        let actions = self.fleet.ready(now);
        fleet_actions(actions)
    }

    /// Decides what to do about an event.
    pub fn handle(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        event: ControlHostEvent,
    ) -> Vec<ControlHostAction> {
        match event {
            ControlHostEvent::Tick => self.tick(now, wall),
            ControlHostEvent::Peer { from, message } => self.on_peer(now, wall, from, message),
            ControlHostEvent::Request { request, origin, body } => {
                let event = Event::Request { request, origin, body };
                self.run_core(now, wall, event)
            }
            ControlHostEvent::Stop => fleet_actions(self.fleet.stop(now)),
        }
    }

    fn tick(&mut self, now: Timestamp, wall: WallTime) -> Vec<ControlHostAction> {
        let mut out = self.run_core(now, wall, Event::Tick);
        let leads = self.core.consensus().read_lease(now).is_ok();
        self.fleet.dissemination_mut().set_current(leads);
        if leads && let Some(event) = self.plan_claim_map(now, wall) {
            out.extend(self.run_core(now, wall, event));
        }
        out.extend(fleet_actions(self.fleet.tick(now)));
        out
    }

    fn on_peer(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        from: HostId,
        message: PeerMessage,
    ) -> Vec<ControlHostAction> {
        match message {
            PeerMessage::Consensus(message) => {
                self.run_core(now, wall, Event::Message { from, message })
            }
            PeerMessage::Membership(it) => {
                fleet_actions(self.fleet.handle_membership(now, from, it))
            }
            PeerMessage::Dissemination(it) => {
                fleet_actions(self.fleet.handle_dissemination(now, from, it))
            }
            PeerMessage::ClaimReport(report) => {
                self.planner.record_report(from, report);
                Vec::new()
            }
            PeerMessage::Claims(_)
            | PeerMessage::Health(_)
            | PeerMessage::Limits(_)
            | PeerMessage::Sync(_)
            | PeerMessage::ServerLoad(_) => Vec::new(),
        }
    }

    fn run_core(&mut self, now: Timestamp, wall: WallTime, event: Event) -> Vec<ControlHostAction> {
        let actions = self.core.handle(now, wall, event);
        let mut out = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                Action::Store(record) => out.push(ControlHostAction::Store(record)),
                Action::SaveSnapshot(it) => out.push(ControlHostAction::SaveSnapshot(it)),
                Action::Send { to, message } => {
                    let message = PeerMessage::Consensus(message);
                    let sent = self.fleet.outgoing(to, message);
                    out.extend(sent.map(ControlHostAction::Send));
                }
                Action::Answer { request, response } => {
                    out.push(ControlHostAction::Answer { request, response });
                }
                Action::ConfigCommitted { version, digest, text } => {
                    // A text that an earlier release accepted may break newer rules.
                    let Ok(config) = config::parse(&text) else { continue };
                    let maps = self.fleet.dissemination_mut();
                    let actions = maps.publish_config(now, version, digest, config.text());
                    out.extend(fleet_actions(self.fleet.to_fleet_actions(actions)));
                }
                Action::ClaimMapCommitted(map) => out.extend(self.publish_claim_map(map)),
                Action::MembersChanged(_) => {}
            }
        }
        out
    }

    fn publish_claim_map(&mut self, map: control_state::ClaimMap) -> Vec<ControlHostAction> {
        let state = schema::decode(map.data.as_slice()).expect("accepted claim maps are whole");
        self.claim_map = ClaimMap::from_state(state);
        let actions = self.fleet.dissemination_mut().publish_claim_map(map.epoch, map.data);
        fleet_actions(self.fleet.to_fleet_actions(actions))
    }

    fn plan_claim_map(&mut self, now: Timestamp, wall: WallTime) -> Option<Event> {
        let hosts = self.fleet.membership().members().filter_map(claim_host).collect();
        let state = self.planner.plan(now, wall, hosts, &self.claim_map)?;
        let data = Blob::from(schema::encode(&state));
        Some(Event::ReplaceClaimMap(control_state::ClaimMap { epoch: state.epoch, data }))
    }
}

fn claim_host(member: &Member) -> Option<ClaimHost> {
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

fn fleet_actions(actions: Vec<FleetAction>) -> Vec<ControlHostAction> {
    let sends = actions.into_iter().filter_map(|it| match it {
        FleetAction::Send(outgoing) => Some(ControlHostAction::Send(outgoing)),
        FleetAction::MembersChanged | FleetAction::HostLost(_) | FleetAction::Dissemination(_) => {
            None
        }
    });
    sends.collect()
}
