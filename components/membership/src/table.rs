//! The member table: the records of all known hosts.

use std::collections::{BTreeMap, BTreeSet};

use ids::{HostId, Millis, Timestamp};
use schema::membership::{Member, MemberState, MemberVersion, Suspicion};

use crate::ring::splitmix64;

/// Number of buckets whose digests two hosts compare in anti-entropy.
pub(crate) const BUCKET_COUNT: usize = 128;

/// The record of a known host and the suspicions against it.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    pub(crate) suspected_by: BTreeSet<HostId>,
    pub(crate) suspected_at: Timestamp,
    changed_at: Timestamp,
}

/// The effect of applying an update to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ApplyOutcome {
    /// The host was not live before and is now.
    Joined,
    /// The record of a live host changed.
    Changed,
    /// The host was live before and is not now.
    Lost,
    /// The host was not live before, and its record changed without making it live.
    TombstoneChanged,
    /// The update is not newer than the table, or concerns an unknown host that is not live.
    Ignored,
}

/// The records of all known hosts, ordered by id.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<HostId, Entry>,
    /// For each bucket, the XOR of the digests of its live members.
    bucket_hashes: Vec<u64>,
    /// Hosts that were suspected at some time since their record last changed.
    suspects: BTreeSet<HostId>,
}

impl Table {
    pub(crate) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            bucket_hashes: vec![0; BUCKET_COUNT],
            suspects: BTreeSet::new(),
        }
    }

    pub(crate) fn get(&self, host: HostId) -> Option<&Entry> {
        self.entries.get(&host)
    }

    /// Returns the entries in `suspects`, ordered by id.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Entry> {
        self.suspects.iter().filter_map(|it| self.entries.get(it))
    }

    /// Records a suspicion against the known version of a record; returns whether it is new.
    pub(crate) fn add_suspicion(&mut self, now: Timestamp, suspicion: &Suspicion) -> bool {
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

    /// Removes the suspicion of `by` against `host`.
    pub(crate) fn remove_suspicion(&mut self, host: HostId, by: HostId) {
        if self.suspects.contains(&host)
            && let Some(entry) = self.entries.get_mut(&host)
        {
            entry.suspected_by.remove(&by);
        }
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|it| &it.member)
    }

    pub(crate) fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|it| is_live_state(it.state))
    }

    pub(crate) fn is_live(&self, host: HostId) -> bool {
        self.get(host).is_some_and(|it| is_live_state(it.member.state))
    }

    /// Stores a record if it is newer than the known one.
    pub(crate) fn apply(&mut self, now: Timestamp, member: Member) -> ApplyOutcome {
        let live = is_live_state(member.state);
        let old = self.entries.get(&member.host).map(|it| &it.member);
        if old.is_some_and(|it| precedence(it) >= precedence(&member)) {
            return ApplyOutcome::Ignored;
        }
        let was_live = old.is_some_and(|it| is_live_state(it.state));
        if old.is_none() && !live {
            return ApplyOutcome::Ignored;
        }
        self.replace(now, member);
        match (was_live, live) {
            (false, true) => ApplyOutcome::Joined,
            (true, true) => ApplyOutcome::Changed,
            (true, false) => ApplyOutcome::Lost,
            (false, false) => ApplyOutcome::TombstoneChanged,
        }
    }

    /// Marks the host dead unless a newer version of its record is known.
    pub(crate) fn mark_dead(&mut self, now: Timestamp, version: &MemberVersion) -> ApplyOutcome {
        let Some(entry) = self.entries.get(&version.host) else {
            return ApplyOutcome::Ignored;
        };
        let mut member = entry.member.clone();
        if (member.incarnation, member.revision) > (version.incarnation, version.revision) {
            return ApplyOutcome::Ignored;
        }
        member.state = MemberState::Dead;
        member.incarnation = version.incarnation;
        member.revision = version.revision;
        self.apply(now, member)
    }

    /// Sets the in-flight count of a host, which does not change the version of its record.
    pub(crate) fn set_in_flight(&mut self, host: HostId, in_flight: u32) {
        if let Some(entry) = self.entries.get_mut(&host) {
            entry.member.in_flight = in_flight;
        }
    }

    /// Removes the records of hosts that have been dead or stopped for `retention`.
    pub(crate) fn remove_tombstones(&mut self, now: Timestamp, retention: Millis) {
        self.entries
            .retain(|_, it| is_live_state(it.member.state) || now.since(it.changed_at) < retention);
    }

    /// Returns the digest of the record versions of all live hosts.
    pub(crate) fn digest(&self) -> u64 {
        self.bucket_hashes.iter().fold(0, |digest, it| digest ^ it)
    }

    /// Returns the digest of each bucket, in order.
    pub(crate) fn bucket_digests(&self) -> Vec<u32> {
        self.bucket_hashes.iter().map(|it| (it >> 32) as u32).collect()
    }

    /// Returns the records in the buckets whose digests differ from `remote_digests`.
    pub(crate) fn members_in_differing_buckets(&self, remote_digests: &[u32]) -> Vec<Member> {
        let own_digests = self.bucket_digests();
        self.members()
            .filter(|it| {
                let bucket = bucket_of(it.host);
                remote_digests.get(bucket) != own_digests.get(bucket)
            })
            .cloned()
            .collect()
    }

    fn replace(&mut self, now: Timestamp, member: Member) {
        let bucket = bucket_of(member.host);
        if let Some(old) = self.entries.get(&member.host) {
            self.bucket_hashes[bucket] ^= member_digest(&old.member);
        }
        self.bucket_hashes[bucket] ^= member_digest(&member);
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

/// Returns the host, incarnation and revision of a record.
pub(crate) fn version_of(member: &Member) -> MemberVersion {
    MemberVersion { host: member.host, incarnation: member.incarnation, revision: member.revision }
}

/// Returns whether a host in this state is up.
pub(crate) fn is_live_state(state: MemberState) -> bool {
    match state {
        MemberState::Joining | MemberState::Serving | MemberState::Draining => true,
        MemberState::Stopped | MemberState::Dead => false,
    }
}

/// Returns the sort key of the records of one host: the newer record has the higher key.
///
/// At the same version, `Dead` takes precedence.
fn precedence(member: &Member) -> (ids::Incarnation, u64, bool) {
    (member.incarnation, member.revision, member.state == MemberState::Dead)
}

fn bucket_of(host: HostId) -> usize {
    splitmix64(u64::from(host.0)) as usize % BUCKET_COUNT
}

fn member_digest(member: &Member) -> u64 {
    if !is_live_state(member.state) {
        return 0;
    }
    let host_hash = splitmix64(u64::from(member.host.0));
    splitmix64(splitmix64(host_hash ^ member.incarnation.0) ^ member.revision)
}
