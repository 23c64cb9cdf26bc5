//! The replicated state: the newest configuration and the backend servers.

use std::{collections::BTreeMap, net::SocketAddr};

use ids::{Blob, ConfigVersion, FastMap, Incarnation, LogIndex, ServerId};
use schema::{
    announcement::{Announcement, ServerState},
    registry::{ConfigDocument, Leave, RegistryCommand, RegistrySnapshot, ServerRecord},
    sync::RegistryChanges,
};

/// Servers that have left and are still listed, so that late announcements of theirs mean nothing.
///
/// A deployment that replaces all of 430 servers every few minutes stays below this for an hour.
const MAX_LEFT_SERVERS: usize = 8192;

/// Stands for whichever start of a server is known, where one leaves without naming its own.
pub(crate) const ANY_INCARNATION: Incarnation = Incarnation(0);

/// What an announcement means to the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// It says something new.
    Changes,
    /// It says what is known.
    Repeats,
    /// It is older than what is known of the server or of its address.
    Outdated,
}

/// The newest configuration and the backend servers.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    config: Option<ConfigDocument>,
    config_changed: LogIndex,
    servers: BTreeMap<ServerId, ServerRecord>,
    /// The servers that have not left, by address.
    addresses: FastMap<SocketAddr, ServerId>,
    /// The newest entry whose server was forgotten after it had left.
    forgotten: LogIndex,
    last_changed: LogIndex,
}

impl Registry {
    /// The state of a snapshot; empty data stands for an empty registry.
    pub fn restore(data: &Blob) -> Self {
        if data.as_slice().is_empty() {
            return Self::default();
        }
        let snapshot: RegistrySnapshot =
            schema::decode(data.as_slice()).expect("snapshots are checked before they are used");
        let RegistrySnapshot { config, config_changed, servers, forgotten } = snapshot;
        let config = (config.version > ConfigVersion(0)).then_some(config);
        let mut registry = Self { config, config_changed, forgotten, ..Self::default() };
        let newest = servers.iter().map(|it| it.changed).max().unwrap_or_default();
        registry.last_changed = newest.max(config_changed);
        servers.into_iter().for_each(|it| registry.insert(it));
        registry
    }

    /// The state as a snapshot.
    pub fn snapshot(&self) -> Blob {
        let empty = || ConfigDocument { version: ConfigVersion(0), packed_text: Blob::default() };
        let snapshot = RegistrySnapshot {
            config: self.config.clone().unwrap_or_else(empty),
            config_changed: self.config_changed,
            servers: self.servers.values().cloned().collect(),
            forgotten: self.forgotten,
        };
        schema::encode(&snapshot).into()
    }

    /// Applies an accepted command.
    pub fn apply(&mut self, index: LogIndex, command: RegistryCommand) {
        match command {
            RegistryCommand::PutConfig(it) => self.put_config(index, it),
            RegistryCommand::Announce(it) => self.announce(index, it),
            RegistryCommand::Leave(it) => self.leave(index, &it),
            RegistryCommand::Barrier => {}
        }
    }

    /// The newest configuration.
    pub fn config(&self) -> Option<&ConfigDocument> {
        self.config.as_ref()
    }

    /// The version of the newest configuration; 0 when there is none.
    pub fn version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(ConfigVersion(0), |it| it.version)
    }

    /// The newest entry that changed anything.
    pub fn last_changed(&self) -> LogIndex {
        self.last_changed
    }

    /// The servers that have not left.
    pub fn servers(&self) -> impl Iterator<Item = &Announcement> {
        let all = self.servers.values().map(|it| &it.announcement);
        all.filter(|it| it.state != ServerState::Stopped)
    }

    /// What an announcement would change.
    pub fn judge(&self, announcement: &Announcement) -> Judgement {
        if self.is_address_of_newer(announcement) {
            return Judgement::Outdated;
        }
        let Some(record) = self.servers.get(&announcement.server) else {
            return Judgement::Changes;
        };
        judge_same_server(&record.announcement, announcement)
    }

    /// Whether a server that says that it is gone is known to have left.
    pub fn has_left(&self, leave: &Leave) -> bool {
        self.leaving(leave).is_some_and(|it| it.announcement.state == ServerState::Stopped)
    }

    /// The record of the start that leaves.
    fn leaving(&self, leave: &Leave) -> Option<&ServerRecord> {
        let record = self.servers.get(&leave.server)?;
        let is_meant = leave.incarnation == ANY_INCARNATION
            || leave.incarnation == record.announcement.incarnation;
        is_meant.then_some(record)
    }

    /// What changed after entry `held`, for a follower that holds the registry up to there.
    pub fn changes_since(&self, held: LogIndex) -> RegistryChanges {
        let whole = held < self.forgotten || held == LogIndex(0);
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
        if config.version <= self.version() {
            return;
        }
        self.config = Some(config);
        self.config_changed = index;
        self.last_changed = index;
    }

    fn announce(&mut self, index: LogIndex, announcement: Announcement) {
        if self.judge(&announcement) != Judgement::Changes {
            return;
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
        if self.leaving(leave).is_some() && !self.has_left(leave) {
            self.mark_left(index, &leave.server);
        }
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
        self.forget_oldest();
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

    /// Forgets the server that left first when too many are listed.
    fn forget_oldest(&mut self) {
        let left = self.servers.values().filter(|it| it.announcement.state == ServerState::Stopped);
        if left.clone().count() <= MAX_LEFT_SERVERS {
            return;
        }
        let oldest = left.min_by_key(|it| it.changed);
        let Some((server, changed)) = oldest.map(|it| (it.announcement.server.clone(), it.changed))
        else {
            return;
        };
        self.servers.remove(&server);
        self.forgotten = self.forgotten.max(changed);
    }

    /// Whether another server that started later has the announced address.
    fn is_address_of_newer(&self, announcement: &Announcement) -> bool {
        let holder = self.addresses.get(&announcement.address);
        let record = holder.and_then(|it| self.servers.get(it));
        record.is_some_and(|it| {
            it.announcement.server != announcement.server
                && it.announcement.incarnation > announcement.incarnation
        })
    }
}

/// Compares an announcement with what the same server said before.
///
/// A server that drains or has left stays so until it starts anew.
fn judge_same_server(known: &Announcement, said: &Announcement) -> Judgement {
    if said.incarnation != known.incarnation {
        return match said.incarnation > known.incarnation {
            true => Judgement::Changes,
            false => Judgement::Outdated,
        };
    }
    let says_same = Announcement { sequence: known.sequence, ..said.clone() } == *known;
    if says_same {
        return Judgement::Repeats;
    }
    let is_leaving = matches!(known.state, ServerState::Draining | ServerState::Stopped);
    match is_leaving || said.sequence <= known.sequence {
        true => Judgement::Outdated,
        false => Judgement::Changes,
    }
}
