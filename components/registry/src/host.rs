//! All decisions of a control host of the registry.

use std::collections::BTreeSet;

use consensus::{Consensus, ProposeError, Settings};
use ids::{
    Blob, ByteSize, ConfigVersion, DataCentreName, FastMap, HostId, Incarnation, LogIndex,
    RegionName, RequestId, ServerId, Term, Timestamp,
};
use schema::{
    announcement::Announcement,
    consensus::ConsensusMessage,
    operator::Role,
    peer::PeerMessage,
    registry::{ConfigDocument, Leave, RegistryCommand},
    storage::Persisted,
    sync::{
        ControlHostRecord, EntryHostList, HostsUpdate, Place, Poll, Presence, RegistryUpdate,
        SyncMessage, Update, UpdateBegins,
    },
};

use crate::{
    action::{Answer, HostAction, HostEvent, Request, UnavailableReason},
    followers::{Followers, News, WaitingPoll},
    log_requests::{LogRequests, Waiting, WhenAccepted},
    places::Places,
    presence::{EntryHosts, ListNews},
    state::{ANY_INCARNATION, Judgement, Registry},
};

/// Entries after which the log is replaced by a snapshot.
const MAX_LOG_ENTRIES: u64 = 1_000;

/// Bytes of commands after which the log is replaced by a snapshot.
const MAX_LOG_BYTES: usize = 8 * 1024 * 1024;

/// Size from which an update is announced: what the slowest link carries in about 100 ms.
const LARGE_UPDATE: ByteSize = ByteSize(12 * 1024);

/// Between two polls by which a host that is no voter looks for the others, in milliseconds.
const SEARCH_INTERVAL: ids::Millis = ids::Millis(500);

/// Settings of a control host.
#[derive(Debug, Clone)]
pub struct RegistryHostSettings {
    /// Settings of the replicated log.
    pub consensus: Settings,
    /// Where this host is.
    pub place: Place,
    /// The regions of all data centres.
    pub regions: FastMap<DataCentreName, RegionName>,
    /// The start of this process.
    pub incarnation: Incarnation,
    /// Whether the whole fleet starts for the first time.
    pub is_new_fleet: bool,
}

/// What metrics and logs show of a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryStatus {
    /// Its role in the replicated log.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader that it knows.
    pub leader: Option<HostId>,
    /// The newest entry that it knows to be accepted.
    pub commit: LogIndex,
    /// The voters.
    pub voters: Vec<HostId>,
    /// Hosts that copy the log before they vote.
    pub learners: Vec<HostId>,
    /// The newest configuration.
    pub version: ConfigVersion,
    /// Backend servers that have not left.
    pub servers: usize,
    /// Entry hosts.
    pub entry_hosts: usize,
    /// Whether what it has applied is current.
    pub is_current: bool,
}

/// All decisions of a control host.
pub struct RegistryHost {
    own: HostId,
    consensus: Consensus,
    registry: Registry,
    requests: LogRequests,
    followers: Followers,
    entry_hosts: EntryHosts,
    seeds: Vec<HostId>,
    /// Control hosts that others have named.
    named: BTreeSet<HostId>,
    places: Places,
    next_search: Timestamp,
    is_stopping: bool,
    applied: LogIndex,
    log_bytes: usize,
    actions: Vec<HostAction>,
}

impl RegistryHost {
    /// Resumes from what the disk holds.
    pub fn restore(settings: RegistryHostSettings, persisted: Persisted, now: Timestamp) -> Self {
        let RegistryHostSettings { consensus, place, regions, incarnation, is_new_fleet } =
            settings;
        let own = persisted.identity.host;
        let seeds = consensus.voters.clone();
        let registry = Registry::restore(&persisted.snapshot.data);
        let applied = persisted.snapshot.index;
        Self {
            own,
            consensus: Consensus::restore(consensus, persisted, now),
            registry,
            requests: LogRequests::default(),
            followers: Followers::default(),
            entry_hosts: EntryHosts::new(own, incarnation, now, is_new_fleet),
            seeds,
            named: BTreeSet::new(),
            places: Places::new(own, place, regions),
            next_search: now,
            is_stopping: false,
            applied,
            log_bytes: 0,
            actions: Vec::new(),
        }
    }

    /// Decides what to do about an event.
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
        self.abandon_lost();
        self.compact(now);
        self.answer_followers(now);
        std::mem::take(&mut self.actions)
    }

    /// The replicated state as far as this host knows it.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// What metrics and logs show.
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
            entry_hosts: self.entry_hosts.len(),
            is_current: self.consensus.is_current(now),
        }
    }

    fn tick(&mut self, now: Timestamp) {
        let actions = self.consensus.tick(now);
        self.carry_out(now, actions);
        for waiting in self.requests.take_late(now) {
            self.answer(waiting.id, Answer::Unavailable(UnavailableReason::TimedOut));
        }
        if let Some(ListNews { whole, hosts, gone }) = self.entry_hosts.tick(now) {
            let place = self.places.own_place().clone();
            let list = SyncMessage::EntryHosts(EntryHostList { place, whole, hosts, gone });
            for to in self.other_members() {
                self.send(to, PeerMessage::Sync(list.clone()));
            }
        }
        self.search(now);
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
                self.places.note(now, from, it.place.clone());
                let EntryHostList { whole, hosts, gone, .. } = it;
                let news = ListNews { whole, hosts, gone };
                self.entry_hosts.note_list(now, (from, incarnation), news);
            }
            // This host's own search asks for names only, which are never large.
            PeerMessage::Sync(SyncMessage::UpdateBegins(_)) => {}
            // Other components of the product do not run on this host.
            PeerMessage::Membership(_)
            | PeerMessage::Dissemination(_)
            | PeerMessage::Claims(_)
            | PeerMessage::Health(_)
            | PeerMessage::Limits(_)
            | PeerMessage::ClaimReport(_)
            | PeerMessage::ServerLoad(_) => {}
        }
    }

    fn on_consensus(&mut self, now: Timestamp, from: HostId, message: ConsensusMessage) {
        let actions = self.consensus.handle(now, from, message);
        self.carry_out(now, actions);
    }

    fn on_poll(&mut self, now: Timestamp, from: HostId, poll: &Poll) {
        if let Presence::Entry(record) = &poll.presence {
            self.entry_hosts.note_poll(now, record.clone());
        }
        self.followers.add(now, from, poll);
    }

    /// An answer to this host's own search for the others.
    fn on_update(&mut self, update: Update) {
        self.named.extend(update.control_hosts.iter().map(|it| it.host));
        self.named.remove(&self.own);
        self.update_contacts();
    }

    /// Asks the seeds which control hosts there are, as long as this host is no voter.
    fn search(&mut self, now: Timestamp) {
        if self.consensus.is_voter() || now < self.next_search {
            return;
        }
        self.next_search = now + SEARCH_INTERVAL;
        let poll = Poll {
            sequence: 0,
            presence: Presence::Control,
            // Only the names of the control hosts are wanted, and at once.
            holds: LogIndex(u64::MAX),
            holds_hosts: no_hosts_held(),
        };
        let asked: BTreeSet<_> = self.seeds.iter().chain(&self.named).copied().collect();
        for to in asked {
            if to == self.own {
                continue;
            }
            self.send(to, PeerMessage::Sync(SyncMessage::Poll(poll.clone())));
        }
    }

    fn update_contacts(&mut self) {
        let contacts: BTreeSet<_> = self.seeds.iter().chain(&self.named).copied().collect();
        self.consensus.set_contacts(contacts.into_iter().collect());
    }

    fn on_request(&mut self, now: Timestamp, id: RequestId, request: Request) {
        match request {
            Request::PutConfig(it) => self.put_config(now, id, it),
            Request::ReadConfig => {
                self.propose(now, id, &RegistryCommand::Barrier, WhenAccepted::Config);
            }
            Request::Announce(it) => self.announce(now, id, it),
            Request::Leave { server, incarnation } => self.leave(now, id, server, incarnation),
        }
    }

    fn put_config(&mut self, now: Timestamp, id: RequestId, config: ConfigDocument) {
        if config.version <= self.registry.version() {
            return self.answer(id, Answer::Accepted);
        }
        self.propose(now, id, &RegistryCommand::PutConfig(config), WhenAccepted::Done);
    }

    /// What the applied state knows is durable, so that only news need the leader.
    fn announce(&mut self, now: Timestamp, id: RequestId, announcement: Announcement) {
        let data_centre = announcement.data_centre.clone();
        match self.registry.judge(&announcement) {
            Judgement::Changes => {
                let command = RegistryCommand::Announce(announcement);
                self.propose(now, id, &command, WhenAccepted::Taken(data_centre));
            }
            Judgement::Repeats | Judgement::Outdated => {
                let next = self.nearest_to(now, &data_centre);
                self.answer(id, Answer::Taken { next });
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
        // A server that is unknown here may be known to the leader.
        match self.registry.has_left(&leave) {
            true => self.answer(id, Answer::Accepted),
            false => self.propose(now, id, &RegistryCommand::Leave(leave), WhenAccepted::Done),
        }
    }

    fn propose(
        &mut self,
        now: Timestamp,
        id: RequestId,
        command: &RegistryCommand,
        when_accepted: WhenAccepted,
    ) {
        let data = Blob::from(schema::encode(command));
        let proposed = self.consensus.propose(now, data);
        match proposed.outcome {
            Ok(index) => {
                let term = self.consensus.term();
                self.requests.add(now, index, term, id, when_accepted);
            }
            Err(e) => self.answer(id, answer_of(&e, self.own)),
        }
        self.carry_out(now, proposed.actions);
    }

    fn carry_out(&mut self, now: Timestamp, actions: Vec<consensus::Action>) {
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
        let command = schema::decode(data.as_slice()).expect("accepted commands are whole");
        self.registry.apply(index, command);
        self.applied = index;
        self.log_bytes += data.as_slice().len();
        for waiting in self.requests.take_accepted(index, self.consensus.term()) {
            let answer = self.accepted_answer(now, &waiting);
            self.answer(waiting.id, answer);
        }
    }

    fn accepted_answer(&self, now: Timestamp, waiting: &Waiting) -> Answer {
        match &waiting.when_accepted {
            WhenAccepted::Done => Answer::Accepted,
            WhenAccepted::Taken(data_centre) => {
                Answer::Taken { next: self.nearest_to(now, data_centre) }
            }
            WhenAccepted::Config => match self.registry.config() {
                Some(it) => Answer::Config(it.clone()),
                None => Answer::NoConfig,
            },
        }
    }

    /// Answers requests whose entries may be replaced by those of another leader.
    fn abandon_lost(&mut self) {
        for waiting in self.requests.take_of_other_terms(self.consensus.term()) {
            self.answer(waiting.id, Answer::Unavailable(UnavailableReason::LeadLost));
        }
    }

    fn compact(&mut self, now: Timestamp) {
        let entries = self.applied.0.saturating_sub(self.consensus.snapshot_index().0);
        if entries < MAX_LOG_ENTRIES && self.log_bytes < MAX_LOG_BYTES {
            return;
        }
        self.log_bytes = 0;
        let actions = self.consensus.compact(self.applied, self.registry.snapshot());
        self.carry_out(now, actions);
    }

    fn answer_followers(&mut self, now: Timestamp) {
        let news = News {
            last_changed: self.registry.last_changed(),
            is_current: self.consensus.is_current(now) && !self.is_stopping,
        };
        let hosts = &self.entry_hosts;
        let due = self.followers.take_due(now, news, |held| hosts.has_news_for(held));
        for (to, poll) in due {
            let update = self.update_for(&poll, news);
            let size = schema::encoded_size(&update);
            if size >= LARGE_UPDATE {
                let begins = UpdateBegins { sequence: update.sequence, size };
                self.send(to, PeerMessage::Sync(SyncMessage::UpdateBegins(begins)));
            }
            self.send(to, PeerMessage::Sync(SyncMessage::Update(update)));
        }
    }

    fn update_for(&self, poll: &WaitingPoll, news: News) -> Update {
        let has_news = news.is_current && news.last_changed > poll.holds;
        let registry = match has_news && !self.should_ask_nearer(poll) {
            true => RegistryUpdate::Changed(self.registry.changes_since(poll.holds)),
            false => RegistryUpdate::Unchanged,
        };
        let hosts = match news.is_current {
            true => self.entry_hosts.update_for(&poll.holds_hosts),
            false => HostsUpdate::Unchanged,
        };
        let members = self.consensus.members();
        let ids = members.voters.iter().chain(&members.learners).map(|it| it.host);
        let control_hosts = ids.map(|host| ControlHostRecord { host, place: self.places.of(host) });
        Update {
            sequence: poll.sequence,
            current: news.is_current,
            control_hosts: control_hosts.collect(),
            registry,
            hosts,
        }
    }

    /// Whether an entry host that has just started should get the whole registry from a control
    /// host nearer to it, which it learns of by this answer.
    fn should_ask_nearer(&self, poll: &WaitingPoll) -> bool {
        let Some(place) = &poll.place else { return false };
        let is_first = poll.sequence == 1 && poll.holds == LogIndex(0);
        is_first && self.places.is_another_nearer(place, &self.other_members())
    }

    /// The control host to which backend servers of a data centre should announce themselves.
    fn nearest_to(&self, now: Timestamp, data_centre: &DataCentreName) -> Option<HostId> {
        self.places.nearest_to(now, data_centre, &self.other_members())
    }

    fn other_members(&self) -> Vec<HostId> {
        let members = self.consensus.members();
        let all = members.voters.iter().chain(&members.learners).map(|it| it.host);
        all.filter(|it| *it != self.own).collect()
    }

    fn send(&mut self, to: HostId, message: PeerMessage) {
        self.actions.push(HostAction::Send { to, message });
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        self.actions.push(HostAction::Answer { id, answer });
    }
}

/// The revision of a host that holds no list of entry hosts.
pub(crate) fn no_hosts_held() -> schema::sync::HostsRevision {
    schema::sync::HostsRevision { control_host: HostId(0), incarnation: Incarnation(0), number: 0 }
}

fn answer_of(e: &ProposeError, own: HostId) -> Answer {
    let reason = match e {
        ProposeError::NotLeader { leader: Some(leader) } if *leader != own => {
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
