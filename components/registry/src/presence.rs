//! The entry hosts of the fleet, as the control hosts see them together.
//!
//! Each control host lists the entry hosts that poll it and sends that list to the others. The
//! union is kept with revisions, so that followers get only what changed.

use std::collections::BTreeMap;

use ids::{FastMap, HostId, Incarnation, Millis, Timestamp};
use schema::sync::{EntryHostRecord, HostsChanges, HostsRevision, HostsUpdate};

/// Silence after which a host that polled counts as gone, in milliseconds.
///
/// A live host polls again right after each answer, and answers are held for a second at most.
const POLLER_TIMEOUT: Millis = Millis(2_500);

/// Between two lists that say the same, in milliseconds.
const REPEAT_INTERVAL: Millis = Millis(4_000);

/// Age at which another control host's list no longer counts, in milliseconds: two repeats lost.
const LIST_TIMEOUT: Millis = Millis(10_000);

/// Time after a start in which lists of other control hosts may be missing, in milliseconds.
const WARM_UP: Millis = Millis(5_000);

/// The list of another control host.
#[derive(Debug)]
struct OtherList {
    incarnation: Incarnation,
    hosts: BTreeMap<HostId, EntryHostRecord>,
    received_at: Timestamp,
}

/// A host that polls this control host.
#[derive(Debug)]
struct Poller {
    record: EntryHostRecord,
    seen_at: Timestamp,
}

/// An entry host in the union of all lists; `record` is empty once it is gone.
#[derive(Debug)]
struct Listed {
    record: Option<EntryHostRecord>,
    revision: u64,
}

/// The entry hosts of the fleet.
#[derive(Debug)]
pub(crate) struct EntryHosts {
    own: HostId,
    incarnation: Incarnation,
    complete_at: Timestamp,
    /// The revision from which the union was complete; followers with an older one get all of it.
    complete_from: Option<u64>,
    pollers: BTreeMap<HostId, Poller>,
    others: FastMap<HostId, OtherList>,
    union: BTreeMap<HostId, Listed>,
    revision: u64,
    /// The own list as the others were last told.
    sent: BTreeMap<HostId, EntryHostRecord>,
    /// When all of it was last sent; `None` when a control host has just appeared that lacks it.
    whole_sent_at: Option<Timestamp>,
}

/// What the other control hosts are told of the own list.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ListNews {
    pub(crate) whole: bool,
    pub(crate) hosts: Vec<EntryHostRecord>,
    pub(crate) gone: Vec<HostId>,
}

impl EntryHosts {
    /// An empty list; with `is_new_fleet` there is nothing to wait for.
    pub(crate) fn new(
        own: HostId,
        incarnation: Incarnation,
        now: Timestamp,
        is_new_fleet: bool,
    ) -> Self {
        let complete_at = if is_new_fleet { now } else { now + WARM_UP };
        Self {
            own,
            incarnation,
            complete_at,
            complete_from: is_new_fleet.then_some(0),
            pollers: BTreeMap::new(),
            others: FastMap::default(),
            union: BTreeMap::new(),
            revision: 0,
            sent: BTreeMap::new(),
            whole_sent_at: None,
        }
    }

    /// Notes that an entry host has polled.
    pub(crate) fn note_poll(&mut self, now: Timestamp, record: EntryHostRecord) {
        self.pollers.insert(record.host, Poller { record, seen_at: now });
    }

    /// Takes what another control host says of its list.
    pub(crate) fn note_list(
        &mut self,
        now: Timestamp,
        (from, incarnation): (HostId, Incarnation),
        news: ListNews,
    ) {
        let is_new = self.others.get(&from).is_none_or(|it| it.incarnation != incarnation);
        if is_new {
            self.others.remove(&from);
            self.whole_sent_at = None;
        }
        let empty = || OtherList { incarnation, hosts: BTreeMap::new(), received_at: now };
        let list = self.others.entry(from).or_insert_with(empty);
        list.received_at = now;
        if news.whole {
            list.hosts.clear();
        }
        list.hosts.extend(news.hosts.into_iter().map(|it| (it.host, it)));
        for host in news.gone {
            list.hosts.remove(&host);
        }
    }

    /// Brings the union up to date; returns what the others should be told of the own list.
    pub(crate) fn tick(&mut self, now: Timestamp) -> Option<ListNews> {
        self.pollers.retain(|_, it| now < it.seen_at + POLLER_TIMEOUT);
        self.others.retain(|_, it| now < it.received_at + LIST_TIMEOUT);
        self.update_union();
        if self.complete_from.is_none() && now >= self.complete_at {
            self.revision += 1;
            self.complete_from = Some(self.revision);
        }
        self.list_news(now)
    }

    /// All of the list from time to time, since messages may be lost; else what changed.
    fn list_news(&mut self, now: Timestamp) -> Option<ListNews> {
        let list: BTreeMap<_, _> =
            self.pollers.iter().map(|(host, it)| (*host, it.record.clone())).collect();
        let whole = self.whole_sent_at.is_none_or(|it| now >= it + REPEAT_INTERVAL);
        if list == self.sent && !whole {
            return None;
        }
        if whole {
            self.whole_sent_at = Some(now);
        }
        let sent = std::mem::replace(&mut self.sent, list);
        let is_new = |it: &&EntryHostRecord| whole || sent.get(&it.host) != Some(*it);
        Some(ListNews {
            whole,
            hosts: self.sent.values().filter(is_new).cloned().collect(),
            gone: sent.into_keys().filter(|it| !self.sent.contains_key(it)).collect(),
        })
    }

    /// Whether a follower lacks something of the list.
    pub(crate) fn has_news_for(&self, held: &HostsRevision) -> bool {
        *held != self.current_revision()
    }

    /// What a follower lacks.
    ///
    /// As long as lists of other control hosts may be missing, hosts are only added to what a
    /// follower holds.
    pub(crate) fn update_for(&self, held: &HostsRevision) -> HostsUpdate {
        if !self.has_news_for(held) {
            return HostsUpdate::Unchanged;
        }
        let revision = self.current_revision();
        let is_same_list =
            held.control_host == revision.control_host && held.incarnation == revision.incarnation;
        let whole = self.complete_from.is_some_and(|it| !is_same_list || held.number < it);
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

    /// Entry hosts in the union.
    pub(crate) fn len(&self) -> usize {
        self.union.values().filter(|it| it.record.is_some()).count()
    }

    fn current_revision(&self) -> HostsRevision {
        HostsRevision {
            control_host: self.own,
            incarnation: self.incarnation,
            number: self.revision,
        }
    }

    fn update_union(&mut self) {
        let mut union: BTreeMap<HostId, EntryHostRecord> = BTreeMap::new();
        let own = self.pollers.values().map(|it| &it.record);
        for record in own.chain(self.others.values().flat_map(|it| it.hosts.values())) {
            let newest = union.get(&record.host).is_none_or(|it| is_newer(record, it));
            if newest {
                union.insert(record.host, record.clone());
            }
        }
        let mut revision = self.revision;
        for (host, listed) in &mut self.union {
            let record = union.remove(host);
            if record != listed.record {
                revision += 1;
                *listed = Listed { record, revision };
            }
        }
        for (host, record) in union {
            revision += 1;
            self.union.insert(host, Listed { record: Some(record), revision });
        }
        self.revision = revision;
    }
}

/// Whether `record` says something newer of the same host.
fn is_newer(record: &EntryHostRecord, than: &EntryHostRecord) -> bool {
    (record.incarnation, record.state) > (than.incarnation, than.state)
}
