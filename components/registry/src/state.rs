//! The replicated state machine: the newest configuration and the backend servers.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

use ids::{Blob, ConfigVersion, FastMap, Incarnation, LogIndex, Millis, ServerId};
use schema::{
    announcement::{Announcement, ServerState},
    registry::{ConfigDocument, Leave, RegistryCommand, RegistrySnapshot, ServerRecord},
    sync::RegistryChanges,
};

/// Records of stopped servers that are kept so that their late announcements are ignored.
///
/// Replacing all of 430 servers every few minutes stays below this for an hour.
const MAX_TOMBSTONES: usize = 8192;

/// Records of stopped servers that were never registered, which anyone can create for any id. Further
/// ones displace only each other.
const MAX_UNREGISTERED_TOMBSTONES: usize = 1024;

/// Service and data centre in the record of a server that was never registered.
const UNREGISTERED: &str = "unregistered";

/// Matches any incarnation in a [`Leave`] command whose request names none.
pub(crate) const ANY_INCARNATION: Incarnation = Incarnation(0);

/// How an announcement compares with the state of the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It changes the state.
    New,
    /// It repeats what is known.
    Duplicate,
    /// It has no effect: it is older than what is known about the server or its address, or the
    /// server is draining or has left.
    Stale,
}

/// What the registry knows of a server incarnation that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// It has left, or a later incarnation of the server is known.
    Recorded,
    /// It is registered.
    Registered,
    /// It is not known: its first announcement may still arrive.
    Unknown,
}

/// The newest configuration and the backend servers.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    config: Option<ConfigDocument>,
    /// Index of the log entry that stored `config`.
    config_changed: LogIndex,
    servers: BTreeMap<ServerId, ServerRecord>,
    /// Servers that have not left, by address.
    addresses: FastMap<SocketAddr, ServerId>,
    /// Index at which the newest of the removed tombstones was created.
    tombstones_removed_to: LogIndex,
    last_changed: LogIndex,
    /// Number of departures of servers that were not registered, since the last restore.
    unregistered_departures: u64,
}

impl Registry {
    /// Restores the state from a snapshot; empty data means an empty registry.
    pub fn restore(data: &Blob) -> Self {
        if data.as_slice().is_empty() {
            return Self::default();
        }
        let snapshot: RegistrySnapshot =
            schema::decode(data.as_slice()).expect("snapshots are checked before they are used");
        let RegistrySnapshot { config, config_changed, servers, forgotten } = snapshot;
        let config = (!config.packed_text.as_slice().is_empty()).then_some(config);
        let mut registry =
            Self { config, config_changed, tombstones_removed_to: forgotten, ..Self::default() };
        let newest = servers.iter().map(|it| it.changed).max().unwrap_or_default();
        registry.last_changed = newest.max(config_changed);
        servers.into_iter().for_each(|it| registry.insert(it));
        registry
    }

    /// Encodes the state as a snapshot.
    pub fn snapshot(&self) -> Blob {
        let empty = || ConfigDocument { version: ConfigVersion(0), packed_text: Blob::default() };
        let snapshot = RegistrySnapshot {
            config: self.config.clone().unwrap_or_else(empty),
            config_changed: self.config_changed,
            servers: self.servers.values().cloned().collect(),
            forgotten: self.tombstones_removed_to,
        };
        schema::encode(&snapshot).into()
    }

    /// Applies the command of the committed log entry at `index`.
    pub fn apply(&mut self, index: LogIndex, command: RegistryCommand) {
        match command {
            RegistryCommand::PutConfig(it) => self.put_config(index, it),
            RegistryCommand::Announce(it) => self.announce(index, it),
            RegistryCommand::Leave(it) => self.leave(index, &it),
            RegistryCommand::Barrier => {}
        }
    }

    /// Returns the newest configuration.
    pub fn config(&self) -> Option<&ConfigDocument> {
        self.config.as_ref()
    }

    /// Returns the version of the newest configuration, 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(ConfigVersion(0), |it| it.version)
    }

    /// Returns whether a configuration of this version or a higher one is stored.
    pub fn holds_version(&self, version: ConfigVersion) -> bool {
        self.config.as_ref().is_some_and(|it| version <= it.version)
    }

    /// Returns the index of the newest log entry that changed the state.
    pub fn last_changed(&self) -> LogIndex {
        self.last_changed
    }

    /// Returns how many servers have left that were not registered, since this state was restored.
    pub fn unregistered_departures(&self) -> u64 {
        self.unregistered_departures
    }

    /// Returns the servers that have not left.
    pub fn servers(&self) -> impl Iterator<Item = &Announcement> {
        let all = self.servers.values().map(|it| &it.announcement);
        all.filter(|it| it.state != ServerState::Stopped)
    }

    /// Compares an announcement with the known state of its server and address.
    pub fn freshness(&self, announcement: &Announcement) -> Freshness {
        let has_left = announcement.state == ServerState::Stopped;
        if !has_left && self.is_address_held_by_newer_server(announcement) {
            return Freshness::Stale;
        }
        let Some(record) = self.servers.get(&announcement.server) else {
            return Freshness::New;
        };
        compare_announcements(&record.announcement, announcement)
    }

    /// Returns what is known of the server incarnation named by `leave`.
    pub fn departure(&self, leave: &Leave) -> Departure {
        let Some(record) = self.servers.get(&leave.server) else { return Departure::Unknown };
        let known = &record.announcement;
        let leaving = match leave.incarnation {
            ANY_INCARNATION => known.incarnation,
            incarnation => incarnation,
        };
        if leaving > known.incarnation {
            return Departure::Unknown;
        }
        match leaving < known.incarnation || known.state == ServerState::Stopped {
            true => Departure::Recorded,
            false => Departure::Registered,
        }
    }

    /// Returns the changes after index `held`, for a poller that has the state up to there.
    ///
    /// Returns the whole state if `held` is 0 or a tombstone created after `held` has been removed.
    pub fn changes_since(&self, held: LogIndex) -> RegistryChanges {
        let whole = held < self.tombstones_removed_to || held == LogIndex(0);
        let is_new = |it: &&ServerRecord| match whole {
            true => it.announcement.state != ServerState::Stopped,
            false => it.changed > held,
        };
        let servers = self.servers.values().filter(is_new).map(|it| it.announcement.clone());
        let config = self.config.iter().filter(|_| self.config_changed > held).cloned();
        RegistryChanges {
            up_to: self.last_changed,
            whole,
            config: config.collect(),
            servers: servers.collect(),
        }
    }

    fn put_config(&mut self, index: LogIndex, config: ConfigDocument) {
        if self.holds_version(config.version) {
            return;
        }
        self.config = Some(config);
        self.config_changed = index;
        self.last_changed = index;
    }

    fn announce(&mut self, index: LogIndex, announcement: Announcement) {
        if self.freshness(&announcement) != Freshness::New {
            return;
        }
        if announcement.state == ServerState::Stopped {
            return self.record_departure(index, announcement);
        }
        if let Some(older) = self.addresses.get(&announcement.address).cloned()
            && older != announcement.server
        {
            self.mark_left(index, &older);
        }
        self.insert(ServerRecord { announcement, changed: index });
        self.last_changed = index;
    }

    fn leave(&mut self, index: LogIndex, leave: &Leave) {
        if self.departure(leave) == Departure::Registered {
            self.mark_left(index, &leave.server);
        }
    }

    /// Records that a server incarnation has left which may not be registered. What is known of an
    /// earlier incarnation stays in the record.
    fn record_departure(&mut self, index: LogIndex, departed: Announcement) {
        let announcement = match self.servers.get(&departed.server) {
            Some(known) => Announcement {
                incarnation: departed.incarnation,
                sequence: departed.sequence,
                state: departed.state,
                ..known.announcement.clone()
            },
            None => departed,
        };
        self.insert(ServerRecord { announcement, changed: index });
        self.last_changed = index;
        self.unregistered_departures += 1;
        self.remove_oldest_tombstone();
    }

    fn mark_left(&mut self, index: LogIndex, server: &ServerId) {
        let Some(record) = self.servers.get_mut(server) else { return };
        record.announcement.state = ServerState::Stopped;
        record.changed = index;
        let address = record.announcement.address;
        self.last_changed = index;
        if self.addresses.get(&address) == Some(server) {
            self.addresses.remove(&address);
        }
        self.remove_oldest_tombstone();
    }

    fn insert(&mut self, record: ServerRecord) {
        let server = record.announcement.server.clone();
        let address = record.announcement.address;
        let has_left = record.announcement.state == ServerState::Stopped;
        if let Some(older) = self.servers.insert(server.clone(), record) {
            let old_address = older.announcement.address;
            if self.addresses.get(&old_address) == Some(&server) {
                self.addresses.remove(&old_address);
            }
        }
        if !has_left {
            self.addresses.insert(address, server);
        }
    }

    /// Removes the oldest tombstone if there are too many: of servers that were never registered, or
    /// of all.
    fn remove_oldest_tombstone(&mut self) {
        let tombstones =
            || self.servers.values().filter(|it| it.announcement.state == ServerState::Stopped);
        let unregistered = || tombstones().filter(|it| is_unregistered(&it.announcement));
        let oldest = match () {
            () if unregistered().count() > MAX_UNREGISTERED_TOMBSTONES => {
                unregistered().min_by_key(|it| it.changed)
            }
            () if tombstones().count() > MAX_TOMBSTONES => tombstones().min_by_key(|it| it.changed),
            () => None,
        };
        let Some(oldest) = oldest.cloned() else { return };
        self.servers.remove(&oldest.announcement.server);
        // No poller can hold a server that was never registered.
        if !is_unregistered(&oldest.announcement) {
            self.tombstones_removed_to = self.tombstones_removed_to.max(oldest.changed);
        }
    }

    /// Returns whether a server with a higher incarnation already uses the announced address.
    fn is_address_held_by_newer_server(&self, announcement: &Announcement) -> bool {
        let holder = self.addresses.get(&announcement.address);
        let record = holder.and_then(|it| self.servers.get(it));
        record.is_some_and(|it| {
            it.announcement.server != announcement.server
                && it.announcement.incarnation > announcement.incarnation
        })
    }
}

/// Returns the announcement that records the departure of a server incarnation that is not
/// registered.
///
/// Builds that ignore such departures apply the announcement too, so that replicas of both agree.
pub fn departed(leave: &Leave) -> Announcement {
    Announcement {
        server: leave.server.clone(),
        service: UNREGISTERED.parse().expect("a valid name"),
        data_centre: UNREGISTERED.parse().expect("a valid name"),
        address: (Ipv4Addr::UNSPECIFIED, 0).into(),
        incarnation: leave.incarnation,
        sequence: u64::MAX,
        state: ServerState::Stopped,
        slots: 0,
        lifetime_ms: Millis(0),
    }
}

/// Returns whether a record comes from [`departed`] alone.
fn is_unregistered(announcement: &Announcement) -> bool {
    announcement.state == ServerState::Stopped
        && announcement.address.ip().is_unspecified()
        && announcement.service.as_str() == UNREGISTERED
}

/// Compares a received announcement with the known one of the same server.
///
/// A server that is draining or has left cannot change its state until it restarts.
fn compare_announcements(known: &Announcement, received: &Announcement) -> Freshness {
    if received.incarnation != known.incarnation {
        return match received.incarnation > known.incarnation {
            true => Freshness::New,
            false => Freshness::Stale,
        };
    }
    let is_same = Announcement { sequence: known.sequence, ..received.clone() } == *known;
    if is_same {
        return Freshness::Duplicate;
    }
    let is_leaving = matches!(known.state, ServerState::Draining | ServerState::Stopped);
    match is_leaving || received.sequence <= known.sequence {
        true => Freshness::Stale,
        false => Freshness::New,
    }
}
