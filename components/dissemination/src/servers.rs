//! The replicated table of backend servers and their announcements.

use std::collections::BTreeMap;

use ids::{Incarnation, Millis, ServerId, Timestamp};
use schema::{
    announcement::{Announcement, ServerState},
    dissemination::{Freshness, ServerRecord},
};

/// Number of hash buckets by which two hosts compare their server records.
pub(crate) const BUCKETS: usize = 512;

/// A backend server and what this host knows of its renewals.
#[derive(Debug, Clone)]
pub(crate) struct KnownServer {
    pub(crate) record: ServerRecord,
    /// The highest sequence under which the server announced the same content to this host.
    confirmed_sequence: u64,
    /// The highest sequence that this host knows, announced here or to another host.
    pub(crate) renewed_sequence: u64,
    changed_at: Timestamp,
}

/// How an announcement, a record or a renewal changed the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The server is new or announced different content.
    Changed,
    /// The server was stale and is now fresh.
    Fresh,
    /// The server was fresh and is now stale.
    Stale,
    /// The freshness is the same, under a higher sequence.
    FreshnessConfirmed,
    /// The server renewed its announcement; only its monitors need to know.
    Renewed,
    /// The record received is contradicted by newer information; this host sends its own record to
    /// all links.
    Refuted,
    /// The input is not newer than the record held.
    Outdated,
}

/// The known servers by id, with a hash of each bucket.
#[derive(Debug)]
pub(crate) struct Servers {
    known: BTreeMap<ServerId, KnownServer>,
    bucket_hashes: Vec<u64>,
    pub(crate) changed_at: Timestamp,
}

impl Servers {
    pub(crate) fn new() -> Self {
        Self {
            known: BTreeMap::new(),
            bucket_hashes: vec![0; BUCKETS],
            changed_at: Timestamp::default(),
        }
    }

    pub(crate) fn get(&self, server: &ServerId) -> Option<&KnownServer> {
        self.known.get(server)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &KnownServer> {
        self.known.values()
    }

    /// Applies an announcement that a server sent to this host.
    pub(crate) fn announce(&mut self, now: Timestamp, announcement: Announcement) -> Outcome {
        let sequence = announcement.sequence;
        let Some(known) = self.known.get_mut(&announcement.server) else {
            return self.store_announcement(now, announcement);
        };
        let held = &known.record.announcement;
        if announcement_version(&announcement)
            <= (held.incarnation, known.renewed_sequence.max(held.sequence))
        {
            return Outcome::Outdated;
        }
        if announcement.incarnation > held.incarnation || !same_content(held, &announcement) {
            return self.store_announcement(now, announcement);
        }
        known.confirmed_sequence = sequence;
        known.renewed_sequence = sequence;
        if known.record.freshness == Freshness::Fresh {
            return Outcome::Renewed;
        }
        let mut record = known.record.clone();
        record.freshness = Freshness::Fresh;
        record.freshness_sequence = sequence;
        self.store(now, record);
        Outcome::Fresh
    }

    /// Merges a record that another host holds.
    pub(crate) fn merge(&mut self, now: Timestamp, record: ServerRecord) -> Outcome {
        let Some(known) = self.known.get(&record.announcement.server) else {
            self.store(now, record);
            return Outcome::Changed;
        };
        let held = &known.record;
        let theirs = announcement_version(&record.announcement);
        let ours = announcement_version(&held.announcement);
        if theirs > ours {
            return self.merge_newer(now, record);
        }
        if theirs < ours || freshness_rank(&record) <= freshness_rank(held) {
            return Outcome::Outdated;
        }
        let (before, after) = (held.freshness, record.freshness);
        if after == Freshness::Stale && known.renewed_sequence > record.freshness_sequence {
            return self.mark_fresh(now, &record);
        }
        self.store(now, record);
        match (before, after) {
            (Freshness::Fresh, Freshness::Stale) => Outcome::Stale,
            (Freshness::Stale, Freshness::Fresh) => Outcome::Fresh,
            _ => Outcome::FreshnessConfirmed,
        }
    }

    /// Records that a server renewed its announcement through another host.
    pub(crate) fn renew(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        version: (Incarnation, u64),
    ) -> Outcome {
        let Some(known) = self.known.get_mut(server) else {
            return Outcome::Outdated;
        };
        let (incarnation, sequence) = version;
        let held = &known.record.announcement;
        if incarnation != held.incarnation || sequence <= known.renewed_sequence {
            return Outcome::Outdated;
        }
        known.renewed_sequence = sequence;
        if known.record.freshness == Freshness::Fresh {
            return Outcome::Renewed;
        }
        let record = known.record.clone();
        self.mark_fresh(now, &record);
        Outcome::Fresh
    }

    /// Marks a server stale; returns its new record, or `None` if it is unknown or already stale.
    pub(crate) fn mark_stale(&mut self, now: Timestamp, server: &ServerId) -> Option<ServerRecord> {
        let known = self.known.get(server)?;
        let mut record = known.record.clone();
        if record.freshness == Freshness::Stale {
            return None;
        }
        record.freshness = Freshness::Stale;
        record.freshness_sequence = known.renewed_sequence;
        self.store(now, record.clone());
        Some(record)
    }

    /// Removes servers that have been stale or stopped for `retention`.
    ///
    /// Returns the stale ones; the stopped ones were already reported as removed.
    pub(crate) fn expire(&mut self, now: Timestamp, retention: Millis) -> Vec<ServerId> {
        let is_expired = |it: &KnownServer| {
            let stopped = it.record.announcement.state == ServerState::Stopped;
            let stale = it.record.freshness == Freshness::Stale;
            (stopped || stale) && now.since(it.changed_at) >= retention
        };
        let expired = self.known.values().filter(|it| is_expired(it)).cloned().collect::<Vec<_>>();
        let mut in_use = Vec::new();
        for known in expired {
            let announcement = &known.record.announcement;
            self.bucket_hashes[bucket_of(&announcement.server)] ^= hash_record(&known.record);
            self.known.remove(&announcement.server);
            if announcement.state != ServerState::Stopped {
                in_use.push(announcement.server.clone());
            }
        }
        in_use
    }

    /// Returns the combined hash of all records.
    pub(crate) fn digest(&self) -> u64 {
        self.bucket_hashes.iter().fold(0, |all, it| all ^ it)
    }

    /// Returns the upper 32 bits of the hash of each bucket.
    pub(crate) fn bucket_digests(&self) -> Vec<u32> {
        self.bucket_hashes.iter().map(|it| (it >> 32) as u32).collect()
    }

    /// Returns the records of the buckets whose digests differ from `theirs`.
    pub(crate) fn differing(&self, theirs: &[u32]) -> Vec<ServerRecord> {
        let ours = self.bucket_digests();
        self.known
            .values()
            .map(|it| &it.record)
            .filter(|it| {
                let bucket = bucket_of(&it.announcement.server);
                theirs.get(bucket) != ours.get(bucket)
            })
            .cloned()
            .collect()
    }

    fn store_announcement(&mut self, now: Timestamp, announcement: Announcement) -> Outcome {
        let sequence = announcement.sequence;
        let server = announcement.server.clone();
        self.store(now, fresh_record(announcement));
        if let Some(known) = self.known.get_mut(&server) {
            known.confirmed_sequence = sequence;
        }
        Outcome::Changed
    }

    fn merge_newer(&mut self, now: Timestamp, record: ServerRecord) -> Outcome {
        let server = &record.announcement.server;
        let Some(known) = self.known.get(server) else {
            return Outcome::Outdated;
        };
        let held = &known.record.announcement;
        let same_incarnation = record.announcement.incarnation == held.incarnation;
        if same_incarnation && record.announcement.sequence < known.confirmed_sequence {
            let mut announcement = held.clone();
            announcement.sequence = known.confirmed_sequence;
            self.store_announcement(now, announcement);
            return Outcome::Refuted;
        }
        self.store(now, record);
        Outcome::Changed
    }

    /// Marks a server fresh under the highest renewal that this host knows.
    fn mark_fresh(&mut self, now: Timestamp, record: &ServerRecord) -> Outcome {
        let mut record = record.clone();
        if let Some(known) = self.known.get(&record.announcement.server) {
            record.freshness_sequence = known.renewed_sequence;
        }
        record.freshness = Freshness::Fresh;
        self.store(now, record);
        Outcome::Refuted
    }

    fn store(&mut self, now: Timestamp, record: ServerRecord) {
        let server = record.announcement.server.clone();
        let bucket = bucket_of(&server);
        let incarnation = record.announcement.incarnation;
        let mut confirmed_sequence = 0;
        let mut renewed_sequence = record.announcement.sequence.max(record.freshness_sequence);
        if let Some(old) = self.known.get(&server) {
            self.bucket_hashes[bucket] ^= hash_record(&old.record);
            if old.record.announcement.incarnation == incarnation {
                confirmed_sequence = old.confirmed_sequence;
                renewed_sequence = renewed_sequence.max(old.renewed_sequence);
            }
        }
        self.bucket_hashes[bucket] ^= hash_record(&record);
        self.changed_at = now;
        self.known.insert(
            server,
            KnownServer { record, confirmed_sequence, renewed_sequence, changed_at: now },
        );
    }
}

/// Returns the record of a server that has just announced itself.
fn fresh_record(announcement: Announcement) -> ServerRecord {
    let freshness_sequence = announcement.sequence;
    ServerRecord { announcement, freshness: Freshness::Fresh, freshness_sequence }
}

/// Returns the incarnation and sequence, which order the announcements of one server.
fn announcement_version(announcement: &Announcement) -> (Incarnation, u64) {
    (announcement.incarnation, announcement.sequence)
}

/// Orders the freshness marks of one announcement; under equal sequences, stale wins.
fn freshness_rank(record: &ServerRecord) -> (u64, bool) {
    (record.freshness_sequence, record.freshness == Freshness::Stale)
}

/// Returns whether two announcements are equal apart from their sequences.
fn same_content(a: &Announcement, b: &Announcement) -> bool {
    let mut renewed = a.clone();
    renewed.sequence = b.sequence;
    renewed == *b
}

fn bucket_of(server: &ServerId) -> usize {
    hash_text(server.as_str()) as usize % BUCKETS
}

fn hash_record(record: &ServerRecord) -> u64 {
    let announcement = &record.announcement;
    let (sequence, stale) = freshness_rank(record);
    [announcement.incarnation.0, announcement.sequence, sequence, u64::from(stale)]
        .into_iter()
        .fold(hash_text(announcement.server.as_str()), |hash, it| mix(hash ^ it))
}

/// Hashes `text` with FNV-1a and mixes the result; the same on every host.
pub(crate) fn hash_text(text: &str) -> u64 {
    let offset_basis = 0xcbf2_9ce4_8422_2325_u64;
    let hash = text
        .bytes()
        .fold(offset_basis, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    mix(hash)
}

/// Mixes the bits of `value` with the SplitMix64 function.
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
