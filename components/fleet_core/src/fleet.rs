//! Membership and dissemination of one host, composed.

use std::net::SocketAddr;

use dissemination::{Dissemination, DisseminationAction, DisseminationSettings, View};
use ids::{HostId, Timestamp};
use membership::{Member, Membership, MembershipAction, MembershipSettings, Seed};
use schema::{
    announcement::Announcement, dissemination::DisseminationMessage, membership::MembershipMessage,
    peer::PeerMessage, settings::Peer,
};

use crate::AddressBook;

/// Who this host is and through whom it joins.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Settings of the host's membership.
    pub membership: MembershipSettings,
    /// The hosts that the settings name.
    pub peers: Vec<Peer>,
}

/// A message to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: HostId,
    /// Where the receiver listens.
    pub address: SocketAddr,
    /// What to send.
    pub message: PeerMessage,
}

/// What the owner has to do or to know after a decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetAction {
    /// Send a message; it may be lost.
    Send(Outgoing),
    /// The list of live hosts changed.
    MembersChanged,
    /// A host has stopped or is dead.
    HostLost(Member),
    /// What is replicated changed.
    Replicated(DisseminationAction),
}

/// Membership and dissemination of one host.
pub struct FleetCore {
    membership: Membership,
    dissemination: Dissemination,
    book: AddressBook,
    generation: u64,
}

impl FleetCore {
    /// Starts a host that knows only the hosts of its settings.
    pub fn new(settings: FleetSettings, now: Timestamp) -> Self {
        let own = settings.membership.host;
        let seed = settings.membership.seed;
        let seeds = settings.peers.iter().map(seed_of).collect();
        let membership = Membership::new(settings.membership, seeds, now);
        let dissemination = Dissemination::new(DisseminationSettings::new(own, seed));
        let book = AddressBook::new(&settings.peers);
        Self { membership, dissemination, book, generation: 0 }
    }

    /// The hosts of the fleet.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// What is replicated to every host.
    pub fn dissemination(&self) -> &Dissemination {
        &self.dissemination
    }

    /// The replicated maps, to publish into.
    pub fn dissemination_mut(&mut self) -> &mut Dissemination {
        &mut self.dissemination
    }

    /// A message to `to`, if its address is known.
    pub fn address_message(&self, to: HostId, message: PeerMessage) -> Option<Outgoing> {
        let learnt = || self.membership.member(to).map(|it| it.peer_address);
        let address = self.book.address(to).or_else(learnt)?;
        Some(Outgoing { to, address, message })
    }

    /// Says how many requests are in work here.
    pub fn set_in_flight(&mut self, in_flight: u32) {
        self.membership.set_in_flight(in_flight);
    }

    /// Says that the host can now do its work.
    pub fn ready(&mut self, now: Timestamp) -> Vec<FleetAction> {
        let actions = self.membership.ready(now);
        self.after_membership(now, actions)
    }

    /// Says that the host finishes its work and takes no more.
    pub fn drain(&mut self, now: Timestamp) -> Vec<FleetAction> {
        let actions = self.membership.drain(now);
        self.after_membership(now, actions)
    }

    /// Says that the host leaves.
    pub fn stop(&mut self, now: Timestamp) -> Vec<FleetAction> {
        let actions = self.membership.stop(now);
        self.after_membership(now, actions)
    }

    /// Does what is due; to be called every 50 ms or so.
    pub fn tick(&mut self, now: Timestamp) -> Vec<FleetAction> {
        let actions = self.membership.tick(now);
        let mut out = self.after_membership(now, actions);
        let actions = self.dissemination.tick(now);
        out.extend(self.convert(actions));
        out
    }

    /// Takes in a membership message.
    pub fn handle_membership(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: MembershipMessage,
    ) -> Vec<FleetAction> {
        let actions = self.membership.handle(now, from, message);
        self.after_membership(now, actions)
    }

    /// Takes in a dissemination message.
    pub fn handle_dissemination(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: DisseminationMessage,
    ) -> Vec<FleetAction> {
        let actions = self.dissemination.handle(now, from, message);
        self.convert(actions)
    }

    /// Takes in what a backend server announces of itself.
    pub fn announce(&mut self, now: Timestamp, announcement: Announcement) -> Vec<FleetAction> {
        let actions = self.dissemination.announce(now, announcement);
        self.convert(actions)
    }

    /// Turns dissemination's actions into those of the host.
    pub fn convert(&self, actions: Vec<DisseminationAction>) -> Vec<FleetAction> {
        let mut out = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                DisseminationAction::Send { to, message } => {
                    let message = PeerMessage::Dissemination(message);
                    out.extend(self.address_message(to, message).map(FleetAction::Send));
                }
                other => out.push(FleetAction::Replicated(other)),
            }
        }
        out
    }

    fn after_membership(
        &mut self,
        now: Timestamp,
        actions: Vec<MembershipAction>,
    ) -> Vec<FleetAction> {
        let mut out = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                MembershipAction::Send { to, address, message } => {
                    let address = self.book.address(to).unwrap_or(address);
                    let message = PeerMessage::Membership(message);
                    out.push(FleetAction::Send(Outgoing { to, address, message }));
                }
                MembershipAction::Joined { member } | MembershipAction::Changed { member } => {
                    self.book.learn(member.host, member.peer_address);
                }
                MembershipAction::Lost { member } => out.push(FleetAction::HostLost(member)),
            }
        }
        if self.generation != self.membership.generation() {
            self.generation = self.membership.generation();
            let view = View::from_membership(&self.membership);
            let actions = self.dissemination.set_view(now, view);
            out.extend(self.convert(actions));
            out.push(FleetAction::MembersChanged);
        }
        out
    }
}

fn seed_of(peer: &Peer) -> Seed {
    Seed { host: peer.host, address: peer.peer_address }
}
