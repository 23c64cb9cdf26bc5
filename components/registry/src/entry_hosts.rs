//! The entry hosts of the fleet: the union of the lists of all control hosts.
//!
//! Each control host lists the entry hosts that poll it and sends this list to the other control
//! hosts. The union has revisions, so that a poller is sent only the changes.

use std::collections::BTreeMap;

use ids::{FastMap, HostId, Incarnation, Millis, Timestamp};
use schema::{
    record_digest,
    sync::{EntryHostRecord, HostsChanges, HostsRevision, HostsUpdate},
};

/// Time without a poll after which an entry host is removed from the list.
///
/// A live host polls again right after each answer, and answers are delayed for one second at most.
const POLLER_TIMEOUT: Millis = Millis(2_500);

/// Interval at which control hosts send each other at least the digest of their list, by which the
/// receivers notice that they missed changes.
const LIST_INTERVAL: Millis = Millis(4_000);

/// Age at which the list of another control host expires: after two digests were lost.
const PEER_LIST_TIMEOUT: Millis = Millis(10_000);

/// Time after a restart during which lists of other control hosts may still be missing.
const WARM_UP: Millis = Millis(5_000);

/// The entry hosts that poll another control host.
#[derive(Debug)]
struct PeerList {
    incarnation: Incarnation,
    hosts: BTreeMap<HostId, EntryHostRecord>,
    received_at: Timestamp,
}

/// An entry host that polls this control host.
#[derive(Debug)]
struct Poller {
    record: EntryHostRecord,
    polled_at: Timestamp,
}

/// An entry host in the union of all lists; `record` is `None` once the host is gone.
#[derive(Debug)]
struct UnionEntry {
    record: Option<EntryHostRecord>,
    /// Digest of the record, 0 if there is none.
    digest: u64,
    /// Revision of the union at which `record` last changed.
    revision: u64,
}

/// The entry hosts of the fleet.
#[derive(Debug)]
pub(crate) struct EntryHosts {
    own_id: HostId,
    incarnation: Incarnation,
    warm_up_until: Timestamp,
    /// The first revision after the warm-up; pollers that hold an older one get the whole union.
    first_complete_revision: Option<u64>,
    pollers: BTreeMap<HostId, Poller>,
    peer_lists: FastMap<HostId, PeerList>,
    union: BTreeMap<HostId, UnionEntry>,
    revision: u64,
    /// Digest of the union.
    digest: u64,
    /// This host's list as last sent to the other control hosts.
    last_sent: BTreeMap<HostId, EntryHostRecord>,
    /// When the list or its digest was last sent.
    list_sent_at: Option<Timestamp>,
}

/// An update of one control host's list for the others: the full list, or changes that may be none.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ListUpdate {
    /// Whether `hosts` is the full list.
    pub(crate) whole: bool,
    pub(crate) hosts: Vec<EntryHostRecord>,
    pub(crate) gone: Vec<HostId>,
    /// Digest of the full list.
    pub(crate) digest: u64,
}

/// Full lists that two control hosts need after an update from one to the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NeededLists {
    /// The result of the update is not the list that the sender has.
    pub(crate) from_sender: bool,
    /// The sender has started since the last update and has no lists.
    pub(crate) to_sender: bool,
}

impl EntryHosts {
    /// Creates an empty list; a new fleet needs no warm-up, since no lists can be missing.
    pub(crate) fn new(
        own_id: HostId,
        incarnation: Incarnation,
        now: Timestamp,
        is_new_fleet: bool,
    ) -> Self {
        let warm_up_until = if is_new_fleet { now } else { now + WARM_UP };
        Self {
            own_id,
            incarnation,
            warm_up_until,
            first_complete_revision: is_new_fleet.then_some(0),
            pollers: BTreeMap::new(),
            peer_lists: FastMap::default(),
            union: BTreeMap::new(),
            revision: 0,
            digest: 0,
            last_sent: BTreeMap::new(),
            list_sent_at: None,
        }
    }

    /// Records that an entry host has polled this control host.
    pub(crate) fn record_poll(&mut self, now: Timestamp, record: EntryHostRecord) {
        self.pollers.insert(record.host, Poller { record, polled_at: now });
    }

    /// Merges an update from another control host into its list; returns which full lists are needed
    /// to complete this exchange.
    pub(crate) fn merge_list(
        &mut self,
        now: Timestamp,
        (from, incarnation): (HostId, Incarnation),
        update: ListUpdate,
    ) -> NeededLists {
        let is_new_incarnation =
            self.peer_lists.get(&from).is_none_or(|it| it.incarnation != incarnation);
        if is_new_incarnation {
            self.peer_lists.remove(&from);
        }
        let empty = || PeerList { incarnation, hosts: BTreeMap::new(), received_at: now };
        let list = self.peer_lists.entry(from).or_insert_with(empty);
        list.received_at = now;
        if update.whole {
            list.hosts.clear();
        }
        list.hosts.extend(update.hosts.into_iter().map(|it| (it.host, it)));
        for host in update.gone {
            list.hosts.remove(&host);
        }
        NeededLists {
            from_sender: list_digest(list.hosts.values()) != update.digest,
            to_sender: is_new_incarnation,
        }
    }

    /// Returns the full list for a control host that needs it.
    pub(crate) fn full_list(&self) -> ListUpdate {
        ListUpdate {
            whole: true,
            hosts: self.last_sent.values().cloned().collect(),
            gone: Vec::new(),
            digest: list_digest(self.last_sent.values()),
        }
    }

    /// Updates the union and returns the list update to send to the other control hosts, if any.
    pub(crate) fn tick(&mut self, now: Timestamp) -> Option<ListUpdate> {
        self.pollers.retain(|_, it| now < it.polled_at + POLLER_TIMEOUT);
        self.peer_lists.retain(|_, it| now < it.received_at + PEER_LIST_TIMEOUT);
        self.update_union();
        if self.first_complete_revision.is_none() && now >= self.warm_up_until {
            self.revision += 1;
            self.first_complete_revision = Some(self.revision);
        }
        self.next_list_update(now)
    }

    /// Returns the changes since the last update; at regular intervals also if there are none.
    fn next_list_update(&mut self, now: Timestamp) -> Option<ListUpdate> {
        let list: BTreeMap<_, _> =
            self.pollers.iter().map(|(host, it)| (*host, it.record.clone())).collect();
        let is_due = self.list_sent_at.is_none_or(|it| now >= it + LIST_INTERVAL);
        if list == self.last_sent && !is_due {
            return None;
        }
        self.list_sent_at = Some(now);
        let previous = std::mem::replace(&mut self.last_sent, list);
        let is_changed = |it: &&EntryHostRecord| previous.get(&it.host) != Some(*it);
        Some(ListUpdate {
            whole: false,
            hosts: self.last_sent.values().filter(is_changed).cloned().collect(),
            gone: previous.into_keys().filter(|it| !self.last_sent.contains_key(it)).collect(),
            digest: list_digest(self.last_sent.values()),
        })
    }

    /// Returns whether the union has changed since revision `held`.
    pub(crate) fn has_changes_since(&self, held: &HostsRevision) -> bool {
        *held != self.current_revision()
    }

    /// Returns the changes since revision `held` for a poller whose list has this digest.
    ///
    /// A poller that comes from another control host with the same list gets only the new revision.
    /// During the warm-up, the update doesn't replace the list of the poller: it may contain hosts
    /// that this control host has not learned of yet.
    pub(crate) fn update_for(&self, held: &HostsRevision, digest: u64) -> HostsUpdate {
        if !self.has_changes_since(held) {
            return HostsUpdate::Unchanged;
        }
        let revision = self.current_revision();
        let is_same_list =
            held.control_host == revision.control_host && held.incarnation == revision.incarnation;
        let whole =
            self.first_complete_revision.is_some_and(|it| !is_same_list || held.number < it);
        if digest == self.digest {
            let (hosts, gone) = (Vec::new(), Vec::new());
            return HostsUpdate::Changed(HostsChanges { revision, whole: false, hosts, gone });
        }
        let since = if is_same_list && !whole { held.number } else { 0 };
        let changed = self.union.iter().filter(|(_, it)| it.revision > since);
        let gone = changed.clone().filter(|(_, it)| it.record.is_none()).map(|(host, _)| *host);
        HostsUpdate::Changed(HostsChanges {
            revision,
            whole,
            hosts: changed.clone().filter_map(|(_, it)| it.record.clone()).collect(),
            gone: gone.collect(),
        })
    }

    /// Returns the number of entry hosts in the union.
    pub(crate) fn len(&self) -> usize {
        self.union.values().filter(|it| it.record.is_some()).count()
    }

    fn current_revision(&self) -> HostsRevision {
        HostsRevision {
            control_host: self.own_id,
            incarnation: self.incarnation,
            number: self.revision,
        }
    }

    fn update_union(&mut self) {
        let mut union: BTreeMap<HostId, EntryHostRecord> = BTreeMap::new();
        let own = self.pollers.values().map(|it| &it.record);
        for record in own.chain(self.peer_lists.values().flat_map(|it| it.hosts.values())) {
            let is_newest = union.get(&record.host).is_none_or(|it| is_newer(record, it));
            if is_newest {
                union.insert(record.host, record.clone());
            }
        }
        let mut revision = self.revision;
        for (host, entry) in &mut self.union {
            let record = union.remove(host);
            if record != entry.record {
                revision += 1;
                let digest = record.as_ref().map_or(0, record_digest);
                self.digest ^= entry.digest ^ digest;
                *entry = UnionEntry { record, digest, revision };
            }
        }
        for (host, record) in union {
            revision += 1;
            let digest = record_digest(&record);
            self.digest ^= digest;
            self.union.insert(host, UnionEntry { record: Some(record), digest, revision });
        }
        self.revision = revision;
    }
}

fn list_digest<'a>(list: impl Iterator<Item = &'a EntryHostRecord>) -> u64 {
    list.fold(0, |sum, it| sum ^ record_digest(it))
}

/// Returns whether `record` is newer than `other`, a record of the same host.
fn is_newer(record: &EntryHostRecord, other: &EntryHostRecord) -> bool {
    (record.incarnation, record.state) > (other.incarnation, other.state)
}
