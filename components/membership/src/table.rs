//! The records of all known hosts.

use std::collections::{BTreeMap, BTreeSet};

use ids::{HostId, Millis, Timestamp};
use schema::membership::{Member, MemberState, MemberVersion, Suspicion};

use crate::ring::mix;

/// Number of parts that two lists are compared by.
pub(crate) const BUCKETS: usize = 128;

/// A known host.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    pub(crate) suspected_by: BTreeSet<HostId>,
    pub(crate) suspected_at: Timestamp,
    changed_at: Timestamp,
}

/// What applying a record did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Applied {
    /// The host was not live before and is now.
    Joined,
    /// The record of a live host changed.
    Changed,
    /// The host was live before and is not now.
    Lost,
    /// The record of a host that is not live changed.
    Noted,
    /// The record is not newer than the one held.
    Old,
}

/// The records of all known hosts, in the order of their ids.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<HostId, Entry>,
    buckets: Vec<u64>,
    /// Hosts that were suspected since their record last changed.
    suspects: BTreeSet<HostId>,
}

impl Table {
    pub(crate) fn new() -> Self {
        Self { entries: BTreeMap::new(), buckets: vec![0; BUCKETS], suspects: BTreeSet::new() }
    }

    pub(crate) fn get(&self, host: HostId) -> Option<&Entry> {
        self.entries.get(&host)
    }

    /// The entries of suspected hosts, in the order of their ids.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Entry> {
        self.suspects.iter().filter_map(|it| self.entries.get(it))
    }

    /// Notes a suspicion of the version held; returns whether it is news.
    pub(crate) fn suspect(&mut self, now: Timestamp, suspicion: &Suspicion) -> bool {
        let Some(entry) = self.entries.get_mut(&suspicion.suspect.host) else {
            return false;
        };
        let member = &entry.member;
        if version_of(member) != suspicion.suspect || !is_live_state(member.state) {
            return false;
        }
        if entry.suspected_by.is_empty() {
            entry.suspected_at = now;
        }
        self.suspects.insert(suspicion.suspect.host);
        entry.suspected_by.insert(suspicion.by)
    }

    /// Takes back the suspicion that `by` had of `host`.
    pub(crate) fn unsuspect(&mut self, host: HostId, by: HostId) {
        if self.suspects.contains(&host)
            && let Some(entry) = self.entries.get_mut(&host)
        {
            entry.suspected_by.remove(&by);
        }
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|it| &it.member)
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|it| is_live_state(it.state))
    }

    pub(crate) fn is_live(&self, host: HostId) -> bool {
        self.get(host).is_some_and(|it| is_live_state(it.member.state))
    }

    /// Takes in a record when it is newer than the one held.
    pub(crate) fn apply(&mut self, now: Timestamp, member: Member) -> Applied {
        let live = is_live_state(member.state);
        let old = self.entries.get(&member.host).map(|it| &it.member);
        if old.is_some_and(|it| rank(it) >= rank(&member)) {
            return Applied::Old;
        }
        let was_live = old.is_some_and(|it| is_live_state(it.state));
        if old.is_none() && !live {
            return Applied::Old;
        }
        self.replace(now, member);
        match (was_live, live) {
            (false, true) => Applied::Joined,
            (true, true) => Applied::Changed,
            (true, false) => Applied::Lost,
            (false, false) => Applied::Noted,
        }
    }

    /// Marks the host dead unless it has shown a newer record.
    pub(crate) fn mark_dead(&mut self, now: Timestamp, version: &MemberVersion) -> Applied {
        let Some(entry) = self.entries.get(&version.host) else {
            return Applied::Old;
        };
        let mut member = entry.member.clone();
        if (member.incarnation, member.revision) > (version.incarnation, version.revision) {
            return Applied::Old;
        }
        member.state = MemberState::Dead;
        member.incarnation = version.incarnation;
        member.revision = version.revision;
        self.apply(now, member)
    }

    /// Notes the load of a host; the load is no part of the record's version.
    pub(crate) fn note_load(&mut self, host: HostId, in_flight: u32) {
        if let Some(entry) = self.entries.get_mut(&host) {
            entry.member.in_flight = in_flight;
        }
    }

    /// Drops the records of hosts that have been dead or stopped for long.
    pub(crate) fn forget(&mut self, now: Timestamp, after: Millis) {
        self.entries
            .retain(|_, it| is_live_state(it.member.state) || now.since(it.changed_at) < after);
    }

    /// A digest of all live hosts' record versions.
    pub(crate) fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |all, it| all ^ it)
    }

    /// One digest for each bucket.
    pub(crate) fn bucket_digests(&self) -> Vec<u32> {
        self.buckets.iter().map(|it| (it >> 32) as u32).collect()
    }

    /// The records in those buckets whose digests differ from `theirs`.
    pub(crate) fn differing(&self, theirs: &[u32]) -> Vec<Member> {
        let ours = self.bucket_digests();
        self.members()
            .filter(|it| {
                let bucket = bucket_of(it.host);
                theirs.get(bucket) != ours.get(bucket)
            })
            .cloned()
            .collect()
    }

    fn replace(&mut self, now: Timestamp, member: Member) {
        let bucket = bucket_of(member.host);
        if let Some(old) = self.entries.get(&member.host) {
            self.buckets[bucket] ^= hash(&old.member);
        }
        self.buckets[bucket] ^= hash(&member);
        let entry = Entry {
            member,
            suspected_by: BTreeSet::new(),
            suspected_at: Timestamp::default(),
            changed_at: now,
        };
        self.suspects.remove(&entry.member.host);
        self.entries.insert(entry.member.host, entry);
    }
}

/// Names the version of a record.
pub(crate) fn version_of(member: &Member) -> MemberVersion {
    MemberVersion { host: member.host, incarnation: member.incarnation, revision: member.revision }
}

/// Whether a host in this state is up.
pub(crate) fn is_live_state(state: MemberState) -> bool {
    match state {
        MemberState::Joining | MemberState::Serving | MemberState::Draining => true,
        MemberState::Stopped | MemberState::Dead => false,
    }
}

/// Orders the records of one host; the higher one is newer.
fn rank(member: &Member) -> (ids::Incarnation, u64, bool) {
    (member.incarnation, member.revision, member.state == MemberState::Dead)
}

fn bucket_of(host: HostId) -> usize {
    mix(u64::from(host.0)) as usize % BUCKETS
}

fn hash(member: &Member) -> u64 {
    if !is_live_state(member.state) {
        return 0;
    }
    let host = mix(u64::from(member.host.0));
    mix(mix(host ^ member.incarnation.0) ^ member.revision)
}
