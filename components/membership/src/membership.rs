//! The membership protocol of one host.

use std::net::SocketAddr;

use ids::{DataCentreName, HostId, Incarnation, Timestamp};
use rand_xoshiro::{Xoshiro256PlusPlus, rand_core::SeedableRng};
use schema::membership::{Heartbeat, Member, MemberState, MembershipMessage, Probe};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::{
    gossip::Gossip,
    lifecycle::{Lifecycle, LifecycleEvent},
    links::{Link, Links},
    reachability::Reachability,
    settings::{MembershipSettings, Seed},
    table::Table,
    topology::Topology,
};

/// What the driver of `Membership` has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a message; delivery is not guaranteed.
    Send {
        /// The recipient.
        to: HostId,
        /// The address of the recipient.
        address: SocketAddr,
        /// The message to send.
        message: MembershipMessage,
    },
    /// Another host is now live.
    Joined {
        /// The record of the host.
        member: Member,
    },
    /// The record of another live host changed.
    Changed {
        /// The new record of the host.
        member: Member,
    },
    /// Another host has stopped or is dead.
    Lost {
        /// The last known record of the host.
        member: Member,
    },
}

/// One host's view of the fleet: the member table, the links and the failure detector.
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) seeds: Vec<Seed>,
    pub(crate) table: Table,
    pub(crate) links: Links,
    pub(crate) topology: Topology,
    pub(crate) reachability: Reachability,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) lifecycle: StateMachine<Lifecycle>,
    pub(crate) gossip: Gossip,
    pub(crate) incarnation: Incarnation,
    /// The revision of the own record, which increases with each change in one incarnation.
    pub(crate) revision: u64,
    pub(crate) in_flight: u32,
    pub(crate) generation: u64,
    /// Whether the member table changed since the topology was computed.
    pub(crate) topology_stale: bool,
    /// Whether another host has sent updates, which ends the join requests to seeds.
    pub(crate) has_table: bool,
    pub(crate) last_tick: Timestamp,
    pub(crate) last_join: Option<Timestamp>,
    pub(crate) last_rejoin: Timestamp,
    pub(crate) last_anti_entropy: Timestamp,
    pub(crate) last_tombstone_sweep: Timestamp,
}

impl Membership {
    /// Creates the state of a host that knows only its seeds.
    pub fn new(settings: MembershipSettings, seeds: Vec<Seed>, now: Timestamp) -> Self {
        let rng = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
        let incarnation = settings.incarnation;
        let own_host = settings.host;
        let mut membership = Self {
            settings,
            seeds: seeds.into_iter().filter(|it| it.host != own_host).collect(),
            table: Table::new(),
            links: Links::new(),
            topology: Topology::default(),
            reachability: Reachability::default(),
            rng,
            lifecycle: Lifecycle.state_machine(),
            gossip: Gossip::default(),
            incarnation,
            revision: 0,
            in_flight: 0,
            generation: 0,
            topology_stale: true,
            has_table: false,
            last_tick: now,
            last_join: None,
            last_rejoin: now,
            last_anti_entropy: now,
            last_tombstone_sweep: now,
        };
        membership.lifecycle.init();
        let own = membership.own_record();
        membership.table.apply(now, own);
        membership.refresh_topology(now);
        membership
    }

    /// Handles a message from another host.
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
            link.last_received = Some(now);
        }
        match message {
            MembershipMessage::Join(join) => self.on_join(now, from, join, &mut actions),
            MembershipMessage::Heartbeat(it) => self.on_heartbeat(now, from, it, &mut actions),
            MembershipMessage::Updates(updates) => {
                self.has_table = true;
                self.apply_updates(now, Some(from), updates, &mut actions);
            }
            MembershipMessage::Buckets(remote_digests) => {
                let records = self.table.members_in_differing_buckets(&remote_digests);
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

    /// Runs all periodic work; has to be called every 50 to 100 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if now.since(self.last_tick) > self.settings.timing.stall_threshold {
            self.reset_failure_detection(now);
        }
        self.last_tick = now;
        self.remove_tombstones(now);
        self.gossip.expire(now, self.settings.timing.piggyback_period);
        self.request_join(now, &mut actions);
        self.rejoin(now, &mut actions);
        self.check_links(now, &mut actions);
        self.expire_suspicions(now, &mut actions);
        self.check_data_centres(now, &mut actions);
        self.start_anti_entropy(now, &mut actions);
        self.refresh_topology(now);
        self.send_heartbeats(now, &mut actions);
        actions
    }

    /// Announces that this host can now serve.
    pub fn ready(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        self.advance(now, LifecycleEvent::Ready)
    }

    /// Announces that this host finishes its work and accepts no more.
    pub fn drain(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        self.advance(now, LifecycleEvent::Drain)
    }

    /// Announces that this host leaves the fleet.
    pub fn stop(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        self.advance(now, LifecycleEvent::Stop)
    }

    /// Sets the number of requests in flight, which heartbeats carry as a load hint.
    pub fn set_in_flight(&mut self, in_flight: u32) {
        self.in_flight = in_flight;
        self.table.set_in_flight(self.settings.host, in_flight);
    }

    /// Returns the records of all known hosts, including this one and lost ones, ordered by id.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members()
    }

    /// Returns the record of one host.
    pub fn member(&self, host: HostId) -> Option<&Member> {
        self.table.get(host).map(|it| &it.member)
    }

    /// Returns whether the host is up according to the member table.
    pub fn is_live(&self, host: HostId) -> bool {
        self.table.is_live(host)
    }

    /// Returns whether the host is live and no failure of the path to it is known.
    pub fn reachable(&self, host: HostId) -> bool {
        if host == self.settings.host {
            return true;
        }
        let Some(entry) = self.table.get(host) else {
            return false;
        };
        let link_timeout = self.settings.timing.link_timeout;
        let is_remote = entry.member.data_centre != self.settings.data_centre;
        if is_remote && self.reachability.is_unreachable(self.last_tick, &entry.member.data_centre)
        {
            return false;
        }
        let link_failed =
            self.links.get(&host).is_some_and(|it| !it.is_two_way(self.last_tick, link_timeout));
        self.is_live(host) && !link_failed
    }

    /// Returns the record of this host.
    pub fn own_record(&self) -> Member {
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

    /// Returns the linked hosts of the same data centre, in ascending order.
    pub fn neighbours(&self) -> &[HostId] {
        &self.topology.neighbours
    }

    /// Returns the linked relays of other data centres, in ascending order.
    pub fn remote_links(&self) -> &[HostId] {
        &self.topology.remote_relays
    }

    /// Returns the relay of a data centre.
    pub fn relay(&self, data_centre: &DataCentreName) -> Option<HostId> {
        self.topology.relays.get(data_centre).copied()
    }

    /// Returns a number that increases with each change of the member table or of the links.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether this host is the relay of its data centre.
    pub fn is_relay(&self) -> bool {
        self.topology.is_relay(&self.settings.data_centre, self.settings.host)
    }

    fn advance(&mut self, now: Timestamp, event: LifecycleEvent) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let before = *self.lifecycle.state();
        self.lifecycle.handle(&event);
        if *self.lifecycle.state() != before {
            self.publish_own_record(now, &mut actions);
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
        self.apply_updates(now, Some(from), heartbeat.updates, actions);
        self.notify_if_dead(from, actions);
        let Some(incarnation) = self.member(from).map(|it| it.incarnation) else {
            return;
        };
        if heartbeat.incarnation < incarnation {
            return;
        }
        self.table.set_in_flight(from, heartbeat.in_flight);
        let same_digest = heartbeat.table_digest == self.table.digest();
        let link = self.links.entry(from).or_insert_with(|| Link::new(now));
        link.last_received = Some(now);
        link.last_acknowledged = heartbeat.hears_you.then_some(now);
        if heartbeat.wants_answer {
            link.last_requested = Some(now);
        }
        link.table_differs_since =
            if same_digest { None } else { link.table_differs_since.or(Some(now)) };
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
        let updates = self.gossip.latest_batch();
        let mut due = Vec::new();
        for (host, link) in &mut self.links {
            let Some(entry) = self.table.get(*host) else {
                continue;
            };
            let is_local = entry.member.data_centre == self.settings.data_centre;
            let interval =
                if is_local { timing.heartbeat_interval } else { timing.remote_heartbeat_interval };
            if link.last_heartbeat_sent.is_some_and(|it| now.since(it) < interval) {
                continue;
            }
            link.last_heartbeat_sent = Some(now);
            let hears_you =
                link.last_received.is_some_and(|it| now.since(it) <= timing.link_timeout);
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

    /// Recomputes the links after a change of the member table.
    fn refresh_topology(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.topology_stale) {
            return;
        }
        let was_relay = self.is_relay();
        self.generation += 1;
        self.topology = Topology::new(&self.table, &self.own_record());
        if self.is_relay() && !was_relay {
            self.reachability.reset();
        }
        let linked_hosts = self.topology.neighbours.iter().chain(&self.topology.remote_relays);
        for host in linked_hosts {
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
            self.confirm_data_centre(now, from);
        }
        if let Some(link) = self.links.get_mut(&probe.target) {
            if from == probe.target {
                link.last_acknowledged = Some(now);
            } else {
                link.last_indirect_answer = Some(now);
            }
        }
    }

    fn on_unreachable(&mut self, now: Timestamp, from: HostId, names: Vec<DataCentreName>) {
        let is_local = |it: &Member| it.data_centre == self.settings.data_centre;
        if self.member(from).is_some_and(is_local) {
            self.reachability.record_report(now, names);
        }
    }
}
