//! The membership decisions of one host.

use std::net::SocketAddr;

use ids::{DataCentreName, HostId, Incarnation, Timestamp};
use rand_xoshiro::{Xoshiro256PlusPlus, rand_core::SeedableRng};
use schema::membership::{Heartbeat, Member, MemberState, MembershipMessage, Probe};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::{
    gossip::Gossip,
    lifecycle::{Lifecycle, LifecycleEvent},
    links::{Link, Links},
    reach::Reach,
    settings::{MembershipSettings, Seed},
    table::Table,
    topology::Topology,
};

/// What the caller has to do after a decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: HostId,
        /// Where the receiver listens.
        address: SocketAddr,
        /// What to send.
        message: MembershipMessage,
    },
    /// Another host is now live.
    Joined {
        /// The host.
        member: Member,
    },
    /// The record of another live host changed.
    Changed {
        /// The host.
        member: Member,
    },
    /// Another host has stopped or is dead.
    Lost {
        /// The host as last known.
        member: Member,
    },
}

/// The fleet's hosts as this one knows them.
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) seeds: Vec<Seed>,
    pub(crate) table: Table,
    pub(crate) links: Links,
    pub(crate) topology: Topology,
    pub(crate) reach: Reach,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) lifecycle: StateMachine<Lifecycle>,
    pub(crate) gossip: Gossip,
    pub(crate) incarnation: Incarnation,
    pub(crate) revision: u64,
    pub(crate) in_flight: u32,
    pub(crate) generation: u64,
    pub(crate) topology_is_old: bool,
    pub(crate) has_list: bool,
    pub(crate) last_tick: Timestamp,
    pub(crate) last_join: Option<Timestamp>,
    pub(crate) last_rejoin: Timestamp,
    pub(crate) last_compare: Timestamp,
    pub(crate) last_forget: Timestamp,
}

impl Membership {
    /// Starts a host that knows only its seeds.
    pub fn new(settings: MembershipSettings, seeds: Vec<Seed>, now: Timestamp) -> Self {
        let rng = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
        let incarnation = settings.incarnation;
        let own = settings.host;
        let mut membership = Self {
            settings,
            seeds: seeds.into_iter().filter(|it| it.host != own).collect(),
            table: Table::new(),
            links: Links::new(),
            topology: Topology::default(),
            reach: Reach::default(),
            rng,
            lifecycle: Lifecycle.state_machine(),
            gossip: Gossip::default(),
            incarnation,
            revision: 0,
            in_flight: 0,
            generation: 0,
            topology_is_old: true,
            has_list: false,
            last_tick: now,
            last_join: None,
            last_rejoin: now,
            last_compare: now,
            last_forget: now,
        };
        membership.lifecycle.init();
        let own = membership.own();
        membership.table.apply(now, own);
        membership.refresh_topology(now);
        membership
    }

    /// Takes in a message of another host.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: MembershipMessage,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if from == self.settings.host {
            return actions;
        }
        if let Some(link) = self.links.get_mut(&from) {
            link.heard = Some(now);
        }
        match message {
            MembershipMessage::Join(join) => self.on_join(now, from, join, &mut actions),
            MembershipMessage::Heartbeat(it) => self.on_heartbeat(now, from, it, &mut actions),
            MembershipMessage::Updates(updates) => {
                self.has_list = true;
                self.take_updates(now, Some(from), updates, &mut actions);
            }
            MembershipMessage::Buckets(theirs) => {
                let records = self.table.differing(&theirs);
                self.send_records(from, records, &mut actions);
            }
            MembershipMessage::ProbeRequest(probe) => {
                self.send(probe.target, MembershipMessage::Probe(probe), &mut actions);
            }
            MembershipMessage::Probe(probe) => {
                if probe.target == self.settings.host {
                    self.send(from, MembershipMessage::ProbeAnswer(probe), &mut actions);
                }
            }
            MembershipMessage::ProbeAnswer(probe) => {
                self.on_probe_answer(now, from, probe, &mut actions);
            }
            MembershipMessage::Unreachable(names) => self.on_unreachable(now, from, names),
        }
        self.refresh_topology(now);
        actions
    }

    /// Does what is due; to be called every 50 to 100 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if now.since(self.last_tick) > self.settings.timing.stall {
            self.forgive_silence(now);
        }
        self.last_tick = now;
        self.forget_members(now);
        self.gossip.expire(now, self.settings.timing.repeat);
        self.request_join(now, &mut actions);
        self.rejoin(now, &mut actions);
        self.watch_links(now, &mut actions);
        self.judge_suspects(now, &mut actions);
        self.watch_data_centres(now, &mut actions);
        self.compare_lists(now, &mut actions);
        self.refresh_topology(now);
        self.send_heartbeats(now, &mut actions);
        actions
    }

    /// Says that the host can now do its work.
    pub fn ready(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        self.advance(now, LifecycleEvent::Ready)
    }

    /// Says that the host finishes its work and takes no more.
    pub fn drain(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        self.advance(now, LifecycleEvent::Drain)
    }

    /// Says that the host leaves.
    pub fn stop(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        self.advance(now, LifecycleEvent::Stop)
    }

    /// Sets the load hint that the next heartbeats carry.
    pub fn set_in_flight(&mut self, in_flight: u32) {
        self.in_flight = in_flight;
        self.table.note_load(self.settings.host, in_flight);
    }

    /// All known hosts, this one and lost ones too, in the order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members()
    }

    /// The record of one host.
    pub fn member(&self, host: HostId) -> Option<&Member> {
        self.table.get(host).map(|it| &it.member)
    }

    /// Whether the fleet holds the host to be up.
    pub fn is_live(&self, host: HostId) -> bool {
        self.table.is_live(host)
    }

    /// Whether this host and the other one hear each other, as far as is known.
    pub fn reachable(&self, host: HostId) -> bool {
        if host == self.settings.host {
            return true;
        }
        let Some(entry) = self.table.get(host) else {
            return false;
        };
        let silence = self.settings.timing.silence;
        let remote = entry.member.data_centre != self.settings.data_centre;
        if remote && self.reach.is_unreachable(self.last_tick, &entry.member.data_centre) {
            return false;
        }
        let cut = self.links.get(&host).is_some_and(|it| !it.is_two_way(self.last_tick, silence));
        self.is_live(host) && !cut
    }

    /// This host's own record.
    pub fn own(&self) -> Member {
        Member {
            host: self.settings.host,
            role: self.settings.role.clone(),
            region: self.settings.region.clone(),
            data_centre: self.settings.data_centre.clone(),
            incarnation: self.incarnation,
            revision: self.revision,
            peer_address: self.settings.peer_address,
            admin_address: self.settings.admin_address,
            state: MemberState::from(*self.lifecycle.state()),
            in_flight: self.in_flight,
        }
    }

    /// The hosts of the same data centre that this one exchanges changes with.
    pub fn neighbours(&self) -> &[HostId] {
        &self.topology.neighbours
    }

    /// The relays of other data centres that this host exchanges changes with.
    pub fn remote_links(&self) -> &[HostId] {
        &self.topology.remote
    }

    /// The relay of a data centre.
    pub fn relay(&self, data_centre: &DataCentreName) -> Option<HostId> {
        self.topology.relays.get(data_centre).copied()
    }

    /// Higher after each change of the list or of the links.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether this host is the relay of its data centre.
    pub fn is_relay(&self) -> bool {
        self.topology.is_relay(&self.settings.data_centre, self.settings.host)
    }

    fn advance(&mut self, now: Timestamp, event: LifecycleEvent) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let before = *self.lifecycle.state();
        self.lifecycle.handle(&event);
        if *self.lifecycle.state() != before {
            self.renew_own_record(now, &mut actions);
        }
        self.refresh_topology(now);
        actions
    }

    fn on_heartbeat(
        &mut self,
        now: Timestamp,
        from: HostId,
        heartbeat: Heartbeat,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.take_updates(now, Some(from), heartbeat.updates, actions);
        self.correct_sender(from, actions);
        let Some(incarnation) = self.member(from).map(|it| it.incarnation) else {
            return;
        };
        if heartbeat.incarnation < incarnation {
            return;
        }
        self.table.note_load(from, heartbeat.in_flight);
        let same = heartbeat.table_digest == self.table.digest();
        let link = self.links.entry(from).or_insert_with(|| Link::new(now));
        link.heard = Some(now);
        link.hears_us = heartbeat.hears_you.then_some(now);
        if heartbeat.wants_answer {
            link.wanted = Some(now);
        }
        link.differs = if same { None } else { link.differs.or(Some(now)) };
    }

    pub(crate) fn send(
        &self,
        to: HostId,
        message: MembershipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(member) = self.member(to) {
            actions.push(MembershipAction::Send { to, address: member.peer_address, message });
        }
    }

    fn send_heartbeats(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let timing = &self.settings.timing;
        let digest = self.table.digest();
        let updates = self.gossip.latest();
        let mut due = Vec::new();
        for (host, link) in &mut self.links {
            let Some(entry) = self.table.get(*host) else {
                continue;
            };
            let local = entry.member.data_centre == self.settings.data_centre;
            let interval = if local { timing.heartbeat } else { timing.remote_heartbeat };
            if link.sent.is_some_and(|it| now.since(it) < interval) {
                continue;
            }
            link.sent = Some(now);
            let hears_you = link.heard.is_some_and(|it| now.since(it) <= timing.silence);
            due.push((*host, hears_you));
        }
        for (host, hears_you) in due {
            let heartbeat = Heartbeat {
                incarnation: self.incarnation,
                hears_you,
                wants_answer: self.topology.links_to(host),
                table_digest: digest,
                in_flight: self.in_flight,
                updates: updates.clone(),
            };
            self.send(host, MembershipMessage::Heartbeat(heartbeat), actions);
        }
    }

    /// Recomputes the links after a change of the list.
    fn refresh_topology(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.topology_is_old) {
            return;
        }
        let was_relay = self.is_relay();
        self.generation += 1;
        self.topology = Topology::of(&self.table, &self.own());
        if self.is_relay() && !was_relay {
            self.reach.reset();
        }
        let wanted = self.topology.neighbours.iter().chain(&self.topology.remote);
        for host in wanted {
            self.links.entry(*host).or_insert_with(|| Link::new(now));
        }
        let table = &self.table;
        self.links.retain(|host, _| table.is_live(*host));
    }

    fn on_probe_answer(
        &mut self,
        now: Timestamp,
        from: HostId,
        probe: Probe,
        actions: &mut Vec<MembershipAction>,
    ) {
        if probe.origin != self.settings.host {
            self.send(probe.origin, MembershipMessage::ProbeAnswer(probe), actions);
            return;
        }
        if from == probe.target {
            self.prove_data_centre(now, from);
        }
        if let Some(link) = self.links.get_mut(&probe.target) {
            if from == probe.target {
                link.hears_us = Some(now);
            } else {
                link.indirect = Some(now);
            }
        }
    }

    fn on_unreachable(&mut self, now: Timestamp, from: HostId, names: Vec<DataCentreName>) {
        let same = |it: &Member| it.data_centre == self.settings.data_centre;
        if self.member(from).is_some_and(same) {
            self.reach.report(now, names);
        }
    }
}
