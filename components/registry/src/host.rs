//! A control host of the registry: handles events and returns the actions to execute.

use std::collections::BTreeSet;

use consensus::{Consensus, ProposeError, Settings};
use ids::{
    Blob, ByteSize, ConfigVersion, DataCentreName, FastMap, HostId, Incarnation, LogIndex,
    RegionName, RequestId, ServerId, Term, Timestamp,
};
use quarantine::Recorder;
use schema::{
    announcement::Announcement,
    consensus::ConsensusMessage,
    list_digest,
    operator::Role,
    peer::PeerMessage,
    registry::{ConfigDocument, Leave, RegistryCommand},
    retry_budget::RetryBudgetMessage,
    server_limit::{LimitLeaseAnswer, LimitLeaseAsk, ServerLimitMessage},
    storage::Persisted,
    sync::{
        ControlHostRecord, EntryHostList, HostsRevision, HostsUpdate, Place, Poll, Presence,
        RegistryUpdate, SyncMessage, Update, UpdateBegins,
    },
};

use crate::{
    action::{Answer, HostAction, HostEvent, Request, UnavailableReason},
    entry_hosts::{EntryHosts, ListUpdate},
    limit_leases::LimitLeases,
    long_polls::{LongPolls, MAX_STATE_AGE, PendingPoll, RegistryHead},
    pending_requests::{OnCommit, PendingRequest, PendingRequests},
    places::Places,
    retry_charges::RetryChargeRecords,
    state::{ANY_INCARNATION, Departure, Freshness, Registry, departed},
};

/// Number of applied log entries at which the log is compacted into a snapshot.
const MAX_LOG_ENTRIES: u64 = 1_000;

/// Size of the applied commands at which the log is compacted into a snapshot.
const MAX_LOG_BYTES: usize = 8 * 1024 * 1024;

/// Size from which an [`UpdateBegins`] message precedes an update: what the slowest link carries in
/// about 100 ms.
const LARGE_UPDATE: ByteSize = ByteSize(12 * 1024);

/// Interval between discovery polls of a host that is not a voter or has no leader.
const DISCOVERY_INTERVAL: ids::Millis = ids::Millis(500);

/// Time without a leader after which a voter looks for other control hosts, in milliseconds: it may
/// have been removed, and replaced hosts may lead.
const LEADER_SILENCE: ids::Millis = ids::Millis(2_000);

/// Time after the start of a new fleet from which entry hosts of the same region get its state from
/// this host, in milliseconds: most control hosts have joined by then.
const SAME_REGION_SERVED_AFTER: ids::Millis = ids::Millis(4_000);

/// Time after the start of a new fleet from which all entry hosts get its state from this host, in
/// milliseconds.
const OTHER_REGION_SERVED_AFTER: ids::Millis = ids::Millis(6_000);

/// Settings of a control host.
#[derive(Debug, Clone)]
pub struct RegistryHostSettings {
    /// Settings of the replicated log.
    pub consensus: Settings,
    /// The place of this host.
    pub place: Place,
    /// The regions of all data centres.
    pub regions: FastMap<DataCentreName, RegionName>,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// Whether the whole fleet is starting for the first time.
    pub is_new_fleet: bool,
}

/// Status of a control host for metrics and logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryStatus {
    /// The role of the host in the replicated log.
    pub role: Role,
    /// The current term of the replicated log.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<HostId>,
    /// The highest index known to be committed.
    pub commit: LogIndex,
    /// The members that vote.
    pub voters: Vec<HostId>,
    /// Members that replicate the log but don't vote yet.
    pub learners: Vec<HostId>,
    /// The version of the newest configuration; 0 if there is none.
    pub version: ConfigVersion,
    /// The number of backend servers that have not left.
    pub servers: usize,
    /// The number of departures of servers that were not registered, since the state was restored.
    pub unregistered_departures: u64,
    /// The number of entry hosts in the fleet.
    pub entry_hosts: usize,
    /// Whether the applied state is up to date.
    pub is_current: bool,
    /// Whether the disk takes no writes, so that this host doesn't vote.
    pub is_read_only: bool,
}

/// A control host of the registry, without I/O and clocks.
pub struct RegistryHost {
    own_id: HostId,
    consensus_settings: Settings,
    consensus: Consensus,
    /// Whether the disk takes no writes.
    is_read_only: bool,
    registry: Registry,
    requests: PendingRequests,
    long_polls: LongPolls,
    entry_hosts: EntryHosts,
    limit_leases: LimitLeases,
    retry_charges: RetryChargeRecords,
    quarantine: Recorder,
    seeds: Vec<HostId>,
    /// Control hosts named in answers to discovery polls.
    discovered: BTreeSet<HostId>,
    places: Places,
    next_discovery: Timestamp,
    is_stopping: bool,
    started_at: Timestamp,
    is_new_fleet: bool,
    /// When the applied state was last up to date; `None` if never since the start.
    last_current_at: Option<Timestamp>,
    applied: LogIndex,
    /// Size of the commands applied since the last snapshot.
    log_bytes: usize,
    actions: Vec<HostAction>,
}

impl RegistryHost {
    /// Restores a host from its persisted state.
    pub fn restore(settings: RegistryHostSettings, persisted: Persisted, now: Timestamp) -> Self {
        let RegistryHostSettings { consensus, place, regions, incarnation, is_new_fleet } =
            settings;
        let own_id = persisted.identity.host;
        let seeds = consensus.voters.clone();
        let registry = Registry::restore(&persisted.snapshot.data);
        let applied = persisted.snapshot.index;
        // The setting alone doesn't tell: it may have been left as it was at the first start.
        let has_no_past = is_new_fleet && persisted.entries.is_empty() && applied == LogIndex(0);
        Self {
            own_id,
            consensus: Consensus::restore(consensus.clone(), persisted, now),
            consensus_settings: consensus,
            is_read_only: false,
            registry,
            requests: PendingRequests::default(),
            long_polls: LongPolls::default(),
            entry_hosts: EntryHosts::new(own_id, incarnation, now, is_new_fleet),
            limit_leases: LimitLeases::new(now),
            retry_charges: RetryChargeRecords::new(now, has_no_past),
            quarantine: Recorder::new(now, has_no_past),
            seeds,
            discovered: BTreeSet::new(),
            places: Places::new(own_id, place, regions),
            next_discovery: now,
            is_stopping: false,
            started_at: now,
            is_new_fleet,
            last_current_at: None,
            applied,
            log_bytes: 0,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to execute, in order.
    pub fn handle(&mut self, now: Timestamp, event: HostEvent) -> Vec<HostAction> {
        match event {
            HostEvent::Tick => self.tick(now),
            HostEvent::Peer { from, incarnation, message } => {
                self.on_peer(now, from, incarnation, message);
            }
            HostEvent::Request { id, request } => self.on_request(now, id, request),
            HostEvent::SeedsChanged(seeds) => {
                self.seeds = seeds;
                self.update_contacts();
            }
            HostEvent::Stop => self.is_stopping = true,
        }
        self.fail_requests_from_other_terms();
        self.compact(now);
        self.answer_polls(now);
        std::mem::take(&mut self.actions)
    }

    /// Continues without writes after one has failed, with the state that the disk holds.
    ///
    /// The host keeps following the leader and answers polls, but it gives up its lead, doesn't vote
    /// and acknowledges nothing.
    pub fn disk_failed(&mut self, now: Timestamp, persisted: Persisted) -> Vec<HostAction> {
        self.is_read_only = true;
        self.reload(now, persisted)
    }

    /// Takes part again with the state that the disk holds, once it takes writes.
    pub fn disk_recovered(&mut self, now: Timestamp, persisted: Persisted) -> Vec<HostAction> {
        self.is_read_only = false;
        self.reload(now, persisted)
    }

    /// Replaces all state that depends on the disk. The actions of the failed event are lost, so
    /// all requests fail.
    fn reload(&mut self, now: Timestamp, persisted: Persisted) -> Vec<HostAction> {
        self.actions.clear();
        for request in self.requests.take_all() {
            self.answer(request.id, Answer::Unavailable(UnavailableReason::DiskFailed));
        }
        self.registry = Registry::restore(&persisted.snapshot.data);
        self.applied = persisted.snapshot.index;
        self.log_bytes = 0;
        let settings = self.consensus_settings.clone();
        self.consensus = match self.is_read_only {
            true => Consensus::restore_read_only(settings, persisted, now),
            false => Consensus::restore(settings, persisted, now),
        };
        self.update_contacts();
        std::mem::take(&mut self.actions)
    }

    /// Returns the state that this host has applied, which may be behind the leader's.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the status for metrics and logs.
    pub fn status(&self, now: Timestamp) -> RegistryStatus {
        let members = self.consensus.members();
        RegistryStatus {
            role: self.consensus.role(),
            term: self.consensus.term(),
            leader: self.consensus.leader(),
            commit: self.consensus.commit_index(),
            voters: members.voters.iter().map(|it| it.host).collect(),
            learners: members.learners.iter().map(|it| it.host).collect(),
            version: self.registry.version(),
            servers: self.registry.servers().count(),
            unregistered_departures: self.registry.unregistered_departures(),
            entry_hosts: self.entry_hosts.len(),
            is_current: self.consensus.is_current(now),
            is_read_only: self.is_read_only,
        }
    }

    /// Returns the initial voters for which this host waits to bootstrap the replicated log.
    pub fn missing_initial_voters(&self, now: Timestamp) -> Vec<HostId> {
        self.consensus.missing_initial_voters(now)
    }

    fn tick(&mut self, now: Timestamp) {
        let actions = self.consensus.tick(now);
        self.handle_consensus_actions(now, actions);
        for request in self.requests.take_expired(now) {
            self.answer(request.id, Answer::Unavailable(UnavailableReason::TimedOut));
        }
        if let Some(update) = self.entry_hosts.tick(now) {
            let list = self.list_message(update);
            for to in self.other_members() {
                self.send(to, PeerMessage::Sync(list.clone()));
            }
        }
        self.discover_control_hosts(now);
    }

    fn on_peer(
        &mut self,
        now: Timestamp,
        from: HostId,
        incarnation: Incarnation,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Consensus(it) => self.on_consensus(now, from, it),
            PeerMessage::Sync(SyncMessage::Poll(it)) => self.on_poll(now, from, &it),
            PeerMessage::Sync(SyncMessage::Update(it)) => self.on_update(it),
            PeerMessage::Sync(SyncMessage::EntryHosts(it)) => {
                self.places.record(now, from, it.place.clone());
                self.consensus.record_contact(now, from);
                let EntryHostList { whole, hosts, gone, digest, .. } = it;
                let update = ListUpdate { whole, hosts, gone, digest };
                let needed = self.entry_hosts.merge_list(now, (from, incarnation), update);
                if needed.from_sender {
                    self.send(from, PeerMessage::Sync(SyncMessage::EntryHostsWanted));
                }
                if needed.to_sender {
                    self.send_full_list(from);
                }
            }
            PeerMessage::Sync(SyncMessage::EntryHostsWanted) => self.send_full_list(from),
            PeerMessage::ServerLimit(ServerLimitMessage::LeaseAsk(ask)) => {
                self.on_lease_ask(now, (from, incarnation), &ask);
            }
            PeerMessage::ServerLimit(ServerLimitMessage::LeaseRelease(release)) => {
                self.limit_leases.release((from, incarnation), &release);
            }
            PeerMessage::RetryBudget(RetryBudgetMessage::Charges(charges)) => {
                self.retry_charges.record(now, (from, incarnation), &charges);
            }
            PeerMessage::RetryBudget(RetryBudgetMessage::EarlierChargesWanted) => {
                let earlier = self.retry_charges.before(now, (from, incarnation));
                let message = RetryBudgetMessage::EarlierCharges(earlier);
                self.send(from, PeerMessage::RetryBudget(message));
            }
            PeerMessage::Quarantine(message) => {
                let members = list_digest(&self.members());
                let sender = (from, incarnation);
                for answer in self.quarantine.on_message(now, sender, members, &message) {
                    self.send(from, PeerMessage::Quarantine(answer));
                }
            }
            // Discovery polls have no timeout that a large answer could exceed.
            PeerMessage::Sync(SyncMessage::UpdateBegins(_)) => {}
            // Messages to components that do not run on control hosts.
            PeerMessage::Membership(_)
            | PeerMessage::Dissemination(_)
            | PeerMessage::Claims(_)
            | PeerMessage::Health(_)
            | PeerMessage::Limits(_)
            | PeerMessage::ClaimReport(_)
            | PeerMessage::ServerLoad(_)
            | PeerMessage::RetryBudget(_)
            | PeerMessage::ServerLimit(_)
            | PeerMessage::OrganisationRate(_)
            | PeerMessage::ServerWork(_) => {}
        }
    }

    /// Answers a lease ask. Majorities of different sets of control hosts need not overlap, so an
    /// asker that counts other control hosts than this one gets nothing.
    fn on_lease_ask(&mut self, now: Timestamp, holder: (HostId, Incarnation), ask: &LimitLeaseAsk) {
        let counts_same_hosts = ask.control_hosts == list_digest(&self.members());
        let is_granted = counts_same_hosts && self.limit_leases.grant(now, holder, ask);
        let answer = LimitLeaseAnswer { number: ask.number, is_granted };
        let message = ServerLimitMessage::LeaseAnswer(answer);
        self.send(holder.0, PeerMessage::ServerLimit(message));
    }

    fn send_full_list(&mut self, to: HostId) {
        let list = self.list_message(self.entry_hosts.full_list());
        self.send(to, PeerMessage::Sync(list));
    }

    fn list_message(&self, update: ListUpdate) -> SyncMessage {
        let ListUpdate { whole, hosts, gone, digest } = update;
        let place = self.places.own_place().clone();
        SyncMessage::EntryHosts(EntryHostList { place, whole, hosts, gone, digest })
    }

    fn on_consensus(&mut self, now: Timestamp, from: HostId, message: ConsensusMessage) {
        let actions = self.consensus.handle(now, from, message);
        self.handle_consensus_actions(now, actions);
    }

    fn on_poll(&mut self, now: Timestamp, from: HostId, poll: &Poll) {
        if let Presence::Entry(record) = &poll.presence {
            self.entry_hosts.record_poll(now, record.clone());
        }
        self.long_polls.add(now, from, poll);
    }

    /// Handles the answer to a discovery poll.
    fn on_update(&mut self, update: Update) {
        self.discovered.extend(update.control_hosts.iter().map(|it| it.host));
        self.discovered.remove(&self.own_id);
        self.update_contacts();
    }

    /// Asks the known control hosts for all control hosts while this host is not a voter or has no
    /// leader.
    fn discover_control_hosts(&mut self, now: Timestamp) {
        if self.consensus.is_voter() && self.consensus.has_heard_since(now - LEADER_SILENCE) {
            // The log names the others.
            if !self.discovered.is_empty() {
                self.discovered.clear();
                self.update_contacts();
            }
            return;
        }
        if now < self.next_discovery {
            return;
        }
        self.next_discovery = now + DISCOVERY_INTERVAL;
        let poll = Poll {
            sequence: 0,
            presence: Presence::Control,
            // Only the control hosts are of interest: the highest index excludes registry changes.
            // Without a list of entry hosts, the poll is answered after `MIN_HOST_UPDATE_INTERVAL`.
            holds: LogIndex(u64::MAX),
            holds_hosts: HostsRevision::NONE,
            hosts_digest: 0,
        };
        let mut targets: BTreeSet<_> = self.other_members().into_iter().collect();
        targets.extend(self.seeds.iter().chain(&self.discovered));
        targets.remove(&self.own_id);
        for to in targets {
            self.send(to, PeerMessage::Sync(SyncMessage::Poll(poll.clone())));
        }
    }

    fn update_contacts(&mut self) {
        let contacts: BTreeSet<_> = self.seeds.iter().chain(&self.discovered).copied().collect();
        self.consensus.set_contacts(contacts.into_iter().collect());
    }

    fn on_request(&mut self, now: Timestamp, id: RequestId, request: Request) {
        match request {
            Request::PutConfig(it) => self.put_config(now, id, it),
            Request::ReadConfig => {
                self.propose(now, id, &RegistryCommand::Barrier, OnCommit::ReadConfig);
            }
            Request::Announce(it) => self.announce(now, id, it),
            Request::Leave { server, incarnation } => self.leave(now, id, server, incarnation),
        }
    }

    fn put_config(&mut self, now: Timestamp, id: RequestId, config: ConfigDocument) {
        if self.registry.holds_version(config.version) {
            return self.answer(id, Answer::Accepted);
        }
        self.propose(now, id, &RegistryCommand::PutConfig(config), OnCommit::Accept);
    }

    /// Proposes only announcements that change the state: the applied state is durable, so any host
    /// can acknowledge what it already contains.
    fn announce(&mut self, now: Timestamp, id: RequestId, announcement: Announcement) {
        let data_centre = announcement.data_centre.clone();
        match self.registry.freshness(&announcement) {
            Freshness::New => {
                let command = RegistryCommand::Announce(announcement);
                self.propose(now, id, &command, OnCommit::AcceptAnnouncement(data_centre));
            }
            Freshness::Duplicate | Freshness::Stale => {
                let next = self.nearest_to(now, &data_centre);
                self.answer(id, Answer::AnnouncementAccepted { next });
            }
        }
    }

    fn leave(
        &mut self,
        now: Timestamp,
        id: RequestId,
        server: ServerId,
        incarnation: Option<Incarnation>,
    ) {
        let leave = Leave { server, incarnation: incarnation.unwrap_or(ANY_INCARNATION) };
        let departure = self.registry.departure(&leave);
        if departure == Departure::Recorded {
            return self.answer(id, Answer::Accepted);
        }
        // A late announcement would register an incarnation that left before it was registered.
        if departure == Departure::Unknown && leave.incarnation != ANY_INCARNATION {
            let command = RegistryCommand::Announce(departed(&leave));
            if let Err(e) = self.append(now, &command) {
                return self.answer(id, answer_for_error(&e, self.own_id));
            }
        }
        // The log may hold announcements that this host has not applied yet; if the server drains by
        // them, only this command has an effect.
        let command = RegistryCommand::Leave(leave.clone());
        self.propose(now, id, &command, OnCommit::AcceptLeave(leave));
    }

    /// Appends a command to the log.
    fn append(&mut self, now: Timestamp, command: &RegistryCommand) -> Result<(), ProposeError> {
        let proposed = self.consensus.propose(now, Blob::from(schema::encode(command)));
        self.handle_consensus_actions(now, proposed.actions);
        proposed.outcome.map(drop)
    }

    fn propose(
        &mut self,
        now: Timestamp,
        id: RequestId,
        command: &RegistryCommand,
        on_commit: OnCommit,
    ) {
        let data = Blob::from(schema::encode(command));
        let proposed = self.consensus.propose(now, data);
        match proposed.outcome {
            Ok(index) => {
                let term = self.consensus.term();
                self.requests.add(now, index, term, id, on_commit);
            }
            Err(e) => self.answer(id, answer_for_error(&e, self.own_id)),
        }
        self.handle_consensus_actions(now, proposed.actions);
    }

    fn handle_consensus_actions(&mut self, now: Timestamp, actions: Vec<consensus::Action>) {
        for action in actions {
            match action {
                consensus::Action::Store(record) => self.actions.push(HostAction::Store(record)),
                consensus::Action::SaveSnapshot(it) => {
                    self.actions.push(HostAction::SaveSnapshot(it));
                }
                consensus::Action::Send { to, message } => {
                    self.send(to, PeerMessage::Consensus(message));
                }
                consensus::Action::Apply { index, data } => self.apply(now, index, &data),
                consensus::Action::RestoreState { index, data } => {
                    self.registry = Registry::restore(&data);
                    self.applied = index;
                    self.log_bytes = 0;
                }
                consensus::Action::MembersChanged(_) => {}
            }
        }
    }

    fn apply(&mut self, now: Timestamp, index: LogIndex, data: &Blob) {
        let command = schema::decode(data.as_slice()).expect("committed commands can be decoded");
        self.registry.apply(index, command);
        self.applied = index;
        self.log_bytes += data.as_slice().len();
        for request in self.requests.take_committed(index, self.consensus.term()) {
            let answer = self.answer_on_commit(now, &request);
            self.answer(request.id, answer);
        }
    }

    fn answer_on_commit(&self, now: Timestamp, request: &PendingRequest) -> Answer {
        match &request.on_commit {
            OnCommit::Accept => Answer::Accepted,
            OnCommit::AcceptAnnouncement(data_centre) => {
                Answer::AnnouncementAccepted { next: self.nearest_to(now, data_centre) }
            }
            OnCommit::AcceptLeave(leave) => match self.registry.departure(leave) {
                Departure::Recorded => Answer::Accepted,
                Departure::Registered | Departure::Unknown => Answer::UnknownServer,
            },
            OnCommit::ReadConfig => match self.registry.config() {
                Some(it) => Answer::Config(it.clone()),
                None => Answer::NoConfig,
            },
        }
    }

    /// Fails requests from other terms: a new leader may overwrite their log entries.
    fn fail_requests_from_other_terms(&mut self) {
        for request in self.requests.take_from_other_terms(self.consensus.term()) {
            self.answer(request.id, Answer::Unavailable(UnavailableReason::LeadershipLost));
        }
    }

    fn compact(&mut self, now: Timestamp) {
        if self.is_read_only {
            return;
        }
        let log_entries = self.applied.0.saturating_sub(self.consensus.snapshot_index().0);
        if log_entries < MAX_LOG_ENTRIES && self.log_bytes < MAX_LOG_BYTES {
            return;
        }
        self.log_bytes = 0;
        let actions = self.consensus.compact(self.applied, self.registry.snapshot());
        self.handle_consensus_actions(now, actions);
    }

    fn answer_polls(&mut self, now: Timestamp) {
        let is_current = self.consensus.is_current(now) && !self.is_stopping;
        if is_current {
            self.last_current_at = Some(now);
        }
        let head = RegistryHead {
            last_changed: self.registry.last_changed(),
            is_current,
            is_leaving: self.is_stopping,
            last_current_at: self.last_current_at,
        };
        let mut long_polls = std::mem::take(&mut self.long_polls);
        let due = long_polls.take_due(
            now,
            head,
            |poll| self.consensus.has_heard_since(poll.received_at - MAX_STATE_AGE),
            |poll| self.is_withheld(now, poll),
            |held| self.entry_hosts.has_changes_since(held),
        );
        self.long_polls = long_polls;
        for (to, poll) in due {
            let update = self.update_for(now, &poll, head);
            let size = schema::encoded_size(&update);
            if size >= LARGE_UPDATE {
                let begins = UpdateBegins { sequence: update.sequence, size };
                self.send(to, PeerMessage::Sync(SyncMessage::UpdateBegins(begins)));
            }
            self.send(to, PeerMessage::Sync(SyncMessage::Update(update)));
        }
    }

    fn update_for(&self, now: Timestamp, poll: &PendingPoll, head: RegistryHead) -> Update {
        let has_changes = head.is_current && head.last_changed > poll.holds;
        let is_withheld = self.is_withheld(now, poll);
        let registry = match has_changes && !is_withheld && !self.should_ask_nearer(poll) {
            true => RegistryUpdate::Changed(self.registry.changes_since(poll.holds)),
            false => RegistryUpdate::Unchanged,
        };
        let hosts = match head.is_current && !is_withheld {
            true => self.entry_hosts.update_for(&poll.holds_hosts, poll.hosts_digest),
            false => HostsUpdate::Unchanged,
        };
        let control_hosts = self
            .members()
            .into_iter()
            .map(|host| ControlHostRecord { host, place: self.places.place_of(host) });
        Update {
            sequence: poll.sequence,
            current: head.is_current,
            control_hosts: control_hosts.collect(),
            registry,
            hosts,
        }
    }

    /// Returns whether a poller should wait for a nearer control host, as long as a new fleet starts.
    ///
    /// Only the seeds can answer at first, and the other control hosts join within seconds. A fleet
    /// that fetched everything from the seeds would send it between data centres once for each of
    /// its entry hosts.
    fn is_withheld(&self, now: Timestamp, poll: &PendingPoll) -> bool {
        let Some(place) = poll.place.as_ref().filter(|_| self.is_new_fleet) else { return false };
        let uptime = now.since(self.started_at);
        let own = self.places.own_place();
        (uptime < SAME_REGION_SERVED_AFTER && place.data_centre != own.data_centre)
            || (uptime < OTHER_REGION_SERVED_AFTER && place.region != own.region)
    }

    /// Returns whether an entry host that has just started should get the whole registry from a
    /// nearer control host, which it discovers through this answer.
    fn should_ask_nearer(&self, poll: &PendingPoll) -> bool {
        let Some(place) = &poll.place else { return false };
        let is_first = poll.sequence == 1 && poll.holds == LogIndex(0);
        is_first && self.places.is_another_nearer(place, &self.other_members())
    }

    /// Returns the control host to which backend servers of a data centre should announce
    /// themselves.
    fn nearest_to(&self, now: Timestamp, data_centre: &DataCentreName) -> Option<HostId> {
        self.places.nearest_to(now, data_centre, &self.other_members())
    }

    /// Returns the control hosts that take part in the replicated log.
    fn members(&self) -> Vec<HostId> {
        let members = self.consensus.members();
        members.voters.iter().chain(&members.learners).map(|it| it.host).collect()
    }

    fn other_members(&self) -> Vec<HostId> {
        self.members().into_iter().filter(|it| *it != self.own_id).collect()
    }

    fn send(&mut self, to: HostId, message: PeerMessage) {
        self.actions.push(HostAction::Send { to, message });
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        self.actions.push(HostAction::Answer { id, answer });
    }
}

fn answer_for_error(e: &ProposeError, own_id: HostId) -> Answer {
    let reason = match e {
        ProposeError::NotLeader { leader: Some(leader) } if *leader != own_id => {
            return Answer::AskLeader(*leader);
        }
        ProposeError::NotLeader { .. } => UnavailableReason::NoLeader,
        ProposeError::TooLarge(_) => UnavailableReason::TooLarge,
        ProposeError::LeaseExpired
        | ProposeError::ChangePending
        | ProposeError::MajorityUnreachable
        | ProposeError::NotRemovable(_) => UnavailableReason::NoMajority,
    };
    Answer::Unavailable(reason)
}
