//! Recent updates that are piggybacked on heartbeats.

use ids::{Millis, Timestamp};
use schema::membership::MemberUpdate;

/// The largest part of a datagram that updates fill, in bytes.
const MAX_BATCH_BYTES: usize = 1_000;

/// The most updates that are kept for piggybacking; anti-entropy delivers the rest.
const MAX_RECENT_UPDATES: usize = 512;

/// An update that is still piggybacked on heartbeats.
#[derive(Debug)]
struct RecentUpdate {
    update: MemberUpdate,
    encoded_bytes: usize,
    added_at: Timestamp,
}

/// The updates that are still piggybacked on heartbeats, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    recent: Vec<RecentUpdate>,
}

impl Gossip {
    /// Keeps an update for piggybacking unless the buffer is full.
    pub(crate) fn add(&mut self, now: Timestamp, update: &MemberUpdate) {
        if self.recent.len() < MAX_RECENT_UPDATES {
            let encoded_bytes = schema::encode(update).len();
            self.recent.push(RecentUpdate { update: update.clone(), encoded_bytes, added_at: now });
        }
    }

    /// Drops the updates that have been piggybacked for `period`.
    pub(crate) fn expire(&mut self, now: Timestamp, period: Millis) {
        self.recent.retain(|it| now.since(it.added_at) < period);
    }

    /// Returns the latest updates that fit into one datagram, newest first.
    pub(crate) fn latest_batch(&self) -> Vec<MemberUpdate> {
        let mut free_bytes = MAX_BATCH_BYTES;
        let mut updates = Vec::new();
        for recent in self.recent.iter().rev() {
            if recent.encoded_bytes > free_bytes {
                break;
            }
            free_bytes -= recent.encoded_bytes;
            updates.push(recent.update.clone());
        }
        updates
    }
}

/// Splits updates into batches that each fit into one datagram.
pub(crate) fn split_into_batches(updates: Vec<MemberUpdate>) -> Vec<Vec<MemberUpdate>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut free_bytes = MAX_BATCH_BYTES;
    for update in updates {
        let encoded_bytes = schema::encode(&update).len();
        if encoded_bytes > free_bytes && !batch.is_empty() {
            batches.push(std::mem::take(&mut batch));
            free_bytes = MAX_BATCH_BYTES;
        }
        free_bytes = free_bytes.saturating_sub(encoded_bytes);
        batch.push(update);
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
