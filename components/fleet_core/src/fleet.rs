//! Combines the membership and dissemination of one host.

use std::net::SocketAddr;

use dissemination::{Dissemination, DisseminationAction, DisseminationSettings, View};
use ids::{HostId, Timestamp};
use membership::{Member, Membership, MembershipAction, MembershipSettings, Seed};
use schema::{
    announcement::Announcement, dissemination::DisseminationMessage, membership::MembershipMessage,
    peer::PeerMessage, settings::Peer,
};

use crate::AddressBook;

/// Settings of [`FleetCore`].
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Settings of membership, among them this host's id.
    pub membership: MembershipSettings,
    /// The configured peers, through which the host joins the fleet.
    pub peers: Vec<Peer>,
}

/// A message to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: HostId,
    /// The receiver's address.
    pub address: SocketAddr,
    /// The message.
    pub message: PeerMessage,
}

/// An action for the owner to execute, or a change for it to handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetAction {
    /// Send a message, without any guarantee of delivery.
    Send(Outgoing),
    /// The list of live hosts changed.
    MembersChanged,
    /// A host has left or was declared dead.
    HostLost(Member),
    /// An action of dissemination other than a send.
    Dissemination(DisseminationAction),
}

/// Membership and dissemination of one host.
pub struct FleetCore {
    membership: Membership,
    dissemination: Dissemination,
    addresses: AddressBook,
    /// Membership generation from which the view of dissemination was built.
    view_generation: u64,
}

impl FleetCore {
    /// Creates the state of a host that has just started and knows only the configured peers.
    pub fn new(settings: FleetSettings, now: Timestamp) -> Self {
        let own = settings.membership.host;
        let rng_seed = settings.membership.seed;
        let seeds = settings.peers.iter().map(to_seed).collect();
        let membership = Membership::new(settings.membership, seeds, now);
        let dissemination = Dissemination::new(DisseminationSettings::new(own, rng_seed));
        let addresses = AddressBook::new(&settings.peers);
        Self { membership, dissemination, addresses, view_generation: 0 }
    }

    /// Returns membership, which knows the hosts of the fleet.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns dissemination, which replicates data to every host.
    pub fn dissemination(&self) -> &Dissemination {
        &self.dissemination
    }

    /// Returns dissemination for publishing data.
    pub fn dissemination_mut(&mut self) -> &mut Dissemination {
        &mut self.dissemination
    }

    /// Adds the address to a message for `to`; returns `None` if the address is unknown.
    pub fn outgoing(&self, to: HostId, message: PeerMessage) -> Option<Outgoing> {
        let member_address = || self.membership.member(to).map(|it| it.peer_address);
        let address = self.addresses.address(to).or_else(member_address)?;
        Some(Outgoing { to, address, message })
    }

    /// Sets the number of requests in flight at this host, which membership shares with the others.
    pub fn set_in_flight(&mut self, in_flight: u32) {
        self.membership.set_in_flight(in_flight);
    }

    /// Tells the other hosts that this one is ready to serve.
    pub fn ready(&mut self, now: Timestamp) -> Vec<FleetAction> {
        let actions = self.membership.ready(now);
        self.apply_membership_actions(now, actions)
    }

    /// Tells the other hosts that this one drains: it finishes its requests and accepts no more.
    pub fn drain(&mut self, now: Timestamp) -> Vec<FleetAction> {
        let actions = self.membership.drain(now);
        self.apply_membership_actions(now, actions)
    }

    /// Tells the other hosts that this one leaves the fleet.
    pub fn stop(&mut self, now: Timestamp) -> Vec<FleetAction> {
        let actions = self.membership.stop(now);
        self.apply_membership_actions(now, actions)
    }

    /// Runs the timers that are due; expected about every 50 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<FleetAction> {
        let actions = self.membership.tick(now);
        let mut out = self.apply_membership_actions(now, actions);
        let actions = self.dissemination.tick(now);
        out.extend(self.to_fleet_actions(actions));
        out
    }

    /// Handles a membership message.
    pub fn handle_membership(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: MembershipMessage,
    ) -> Vec<FleetAction> {
        let actions = self.membership.handle(now, from, message);
        self.apply_membership_actions(now, actions)
    }

    /// Handles a dissemination message.
    pub fn handle_dissemination(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: DisseminationMessage,
    ) -> Vec<FleetAction> {
        let actions = self.dissemination.handle(now, from, message);
        self.to_fleet_actions(actions)
    }

    /// Handles the announcement of a backend server.
    pub fn announce(&mut self, now: Timestamp, announcement: Announcement) -> Vec<FleetAction> {
        let actions = self.dissemination.announce(now, announcement);
        self.to_fleet_actions(actions)
    }

    /// Converts actions of dissemination; drops sends to hosts whose address is unknown.
    pub fn to_fleet_actions(&self, actions: Vec<DisseminationAction>) -> Vec<FleetAction> {
        let mut out = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                DisseminationAction::Send { to, message } => {
                    let message = PeerMessage::Dissemination(message);
                    out.extend(self.outgoing(to, message).map(FleetAction::Send));
                }
                other => out.push(FleetAction::Dissemination(other)),
            }
        }
        out
    }

    /// Converts actions of membership, and updates the addresses and the view of dissemination.
    fn apply_membership_actions(
        &mut self,
        now: Timestamp,
        actions: Vec<MembershipAction>,
    ) -> Vec<FleetAction> {
        let mut out = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                MembershipAction::Send { to, address, message } => {
                    let address = self.addresses.address(to).unwrap_or(address);
                    let message = PeerMessage::Membership(message);
                    out.push(FleetAction::Send(Outgoing { to, address, message }));
                }
                MembershipAction::Joined { member } | MembershipAction::Changed { member } => {
                    self.addresses.set_advertised(member.host, member.peer_address);
                }
                MembershipAction::Lost { member } => out.push(FleetAction::HostLost(member)),
            }
        }
        if self.view_generation != self.membership.generation() {
            self.view_generation = self.membership.generation();
            let view = View::from_membership(&self.membership);
            let actions = self.dissemination.set_view(now, view);
            out.extend(self.to_fleet_actions(actions));
            out.push(FleetAction::MembersChanged);
        }
        out
    }
}

fn to_seed(peer: &Peer) -> Seed {
    Seed { host: peer.host, address: peer.peer_address }
}
