//! The backend servers, as announced.

use std::collections::BTreeMap;

use ids::{Incarnation, Millis, ServerId, Timestamp};
use schema::{
    announcement::{Announcement, ServerState},
    dissemination::{Freshness, ServerRecord},
};

/// Number of parts that two sets of servers are compared by.
pub(crate) const BUCKETS: usize = 512;

/// A known server.
#[derive(Debug, Clone)]
pub(crate) struct Known {
    pub(crate) record: ServerRecord,
    /// The highest sequence under which this host itself was told the announced content.
    confirmed: u64,
    /// The highest sequence that this host has heard of.
    pub(crate) renewed: u64,
    changed_at: Timestamp,
}

/// What taking in a record or announcement did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Taken {
    /// The announced content is new.
    Changed,
    /// The server was stale and is fresh again.
    Fresh,
    /// The server was fresh and is stale now.
    Stale,
    /// Only the sequence by which freshness is judged is newer.
    Noted,
    /// The server renewed its announcement; nothing to pass on to all.
    Renewed,
    /// What this host holds is newer and has to be told to all.
    Contradicted,
    /// Not newer than what is held.
    Old,
}

/// All known servers, in the order of their ids.
#[derive(Debug)]
pub(crate) struct Servers {
    known: BTreeMap<ServerId, Known>,
    buckets: Vec<u64>,
    pub(crate) changed_at: Timestamp,
}

impl Servers {
    pub(crate) fn new() -> Self {
        Self { known: BTreeMap::new(), buckets: vec![0; BUCKETS], changed_at: Timestamp::default() }
    }

    pub(crate) fn get(&self, server: &ServerId) -> Option<&Known> {
        self.known.get(server)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }

    /// Takes in what a server said to this host.
    pub(crate) fn announce(&mut self, now: Timestamp, announcement: Announcement) -> Taken {
        let sequence = announcement.sequence;
        let Some(known) = self.known.get_mut(&announcement.server) else {
            return self.adopt(now, announcement);
        };
        let held = &known.record.announcement;
        if stamp(&announcement) <= (held.incarnation, known.renewed.max(held.sequence)) {
            return Taken::Old;
        }
        if announcement.incarnation > held.incarnation || !same_content(held, &announcement) {
            return self.adopt(now, announcement);
        }
        known.confirmed = sequence;
        known.renewed = sequence;
        if known.record.freshness == Freshness::Fresh {
            return Taken::Renewed;
        }
        let mut record = known.record.clone();
        record.freshness = Freshness::Fresh;
        record.freshness_sequence = sequence;
        self.replace(now, record);
        Taken::Fresh
    }

    /// Takes in what another host holds.
    pub(crate) fn merge(&mut self, now: Timestamp, record: ServerRecord) -> Taken {
        let Some(known) = self.known.get(&record.announcement.server) else {
            self.replace(now, record);
            return Taken::Changed;
        };
        let held = &known.record;
        let theirs = stamp(&record.announcement);
        let ours = stamp(&held.announcement);
        if theirs > ours {
            return self.merge_newer(now, record);
        }
        if theirs < ours || freshness_rank(&record) <= freshness_rank(held) {
            return Taken::Old;
        }
        let (before, after) = (held.freshness, record.freshness);
        if after == Freshness::Stale && known.renewed > record.freshness_sequence {
            return self.refresh(now, &record);
        }
        self.replace(now, record);
        match (before, after) {
            (Freshness::Fresh, Freshness::Stale) => Taken::Stale,
            (Freshness::Stale, Freshness::Fresh) => Taken::Fresh,
            _ => Taken::Noted,
        }
    }

    /// Notes that a server renewed its announcement with another host.
    pub(crate) fn renew(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        at: (Incarnation, u64),
    ) -> Taken {
        let Some(known) = self.known.get_mut(server) else {
            return Taken::Old;
        };
        let (incarnation, sequence) = at;
        let held = &known.record.announcement;
        if incarnation != held.incarnation || sequence <= known.renewed {
            return Taken::Old;
        }
        known.renewed = sequence;
        if known.record.freshness == Freshness::Fresh {
            return Taken::Renewed;
        }
        let record = known.record.clone();
        self.refresh(now, &record);
        Taken::Fresh
    }

    /// Marks a server that has not renewed its announcement in time.
    pub(crate) fn mark_stale(&mut self, now: Timestamp, server: &ServerId) -> Option<ServerRecord> {
        let known = self.known.get(server)?;
        let mut record = known.record.clone();
        if record.freshness == Freshness::Stale {
            return None;
        }
        record.freshness = Freshness::Stale;
        record.freshness_sequence = known.renewed;
        self.replace(now, record.clone());
        Some(record)
    }

    /// Drops servers that have been stale or stopped for long; returns those still in use.
    pub(crate) fn forget(&mut self, now: Timestamp, after: Millis) -> Vec<ServerId> {
        let old = |it: &Known| {
            let stopped = it.record.announcement.state == ServerState::Stopped;
            let stale = it.record.freshness == Freshness::Stale;
            (stopped || stale) && now.since(it.changed_at) >= after
        };
        let gone = self.known.values().filter(|it| old(it)).cloned().collect::<Vec<_>>();
        let mut in_use = Vec::new();
        for known in gone {
            let announcement = &known.record.announcement;
            self.buckets[bucket_of(&announcement.server)] ^= hash(&known.record);
            self.known.remove(&announcement.server);
            if announcement.state != ServerState::Stopped {
                in_use.push(announcement.server.clone());
            }
        }
        in_use
    }

    /// A digest of all records.
    pub(crate) fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |all, it| all ^ it)
    }

    /// One digest for each bucket.
    pub(crate) fn bucket_digests(&self) -> Vec<u32> {
        self.buckets.iter().map(|it| (it >> 32) as u32).collect()
    }

    /// The records in those buckets whose digests differ from `theirs`.
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

    fn adopt(&mut self, now: Timestamp, announcement: Announcement) -> Taken {
        let sequence = announcement.sequence;
        let server = announcement.server.clone();
        self.replace(now, fresh_record(announcement));
        if let Some(known) = self.known.get_mut(&server) {
            known.confirmed = sequence;
        }
        Taken::Changed
    }

    fn merge_newer(&mut self, now: Timestamp, record: ServerRecord) -> Taken {
        let server = &record.announcement.server;
        let Some(known) = self.known.get(server) else {
            return Taken::Old;
        };
        let held = &known.record.announcement;
        let same_start = record.announcement.incarnation == held.incarnation;
        if same_start && record.announcement.sequence < known.confirmed {
            let mut announcement = held.clone();
            announcement.sequence = known.confirmed;
            self.adopt(now, announcement);
            return Taken::Contradicted;
        }
        self.replace(now, record);
        Taken::Changed
    }

    /// Marks a server fresh by the renewals that this host has heard of.
    fn refresh(&mut self, now: Timestamp, record: &ServerRecord) -> Taken {
        let mut record = record.clone();
        if let Some(known) = self.known.get(&record.announcement.server) {
            record.freshness_sequence = known.renewed;
        }
        record.freshness = Freshness::Fresh;
        self.replace(now, record);
        Taken::Contradicted
    }

    fn replace(&mut self, now: Timestamp, record: ServerRecord) {
        let server = record.announcement.server.clone();
        let bucket = bucket_of(&server);
        let incarnation = record.announcement.incarnation;
        let mut confirmed = 0;
        let mut renewed = record.announcement.sequence.max(record.freshness_sequence);
        if let Some(old) = self.known.get(&server) {
            self.buckets[bucket] ^= hash(&old.record);
            if old.record.announcement.incarnation == incarnation {
                confirmed = old.confirmed;
                renewed = renewed.max(old.renewed);
            }
        }
        self.buckets[bucket] ^= hash(&record);
        self.changed_at = now;
        self.known.insert(server, Known { record, confirmed, renewed, changed_at: now });
    }
}

/// The record of a server that has just announced itself.
fn fresh_record(announcement: Announcement) -> ServerRecord {
    let freshness_sequence = announcement.sequence;
    ServerRecord { announcement, freshness: Freshness::Fresh, freshness_sequence }
}

/// Orders the announcements of one server.
fn stamp(announcement: &Announcement) -> (Incarnation, u64) {
    (announcement.incarnation, announcement.sequence)
}

/// Orders judgements of one announcement's freshness.
fn freshness_rank(record: &ServerRecord) -> (u64, bool) {
    (record.freshness_sequence, record.freshness == Freshness::Stale)
}

/// Whether two announcements differ in their sequence at most.
fn same_content(a: &Announcement, b: &Announcement) -> bool {
    let mut renewed = a.clone();
    renewed.sequence = b.sequence;
    renewed == *b
}

fn bucket_of(server: &ServerId) -> usize {
    hash_text(server.as_str()) as usize % BUCKETS
}

fn hash(record: &ServerRecord) -> u64 {
    let announcement = &record.announcement;
    let (sequence, stale) = freshness_rank(record);
    [announcement.incarnation.0, announcement.sequence, sequence, u64::from(stale)]
        .into_iter()
        .fold(hash_text(announcement.server.as_str()), |hash, it| mix(hash ^ it))
}

/// A hash that is the same on every host.
pub(crate) fn hash_text(text: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325_u64;
    let hash = text
        .bytes()
        .fold(start, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    mix(hash)
}

/// Scrambles the bits of `value`.
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
