//! Changed records on their way to other hosts.

use ids::{Millis, Timestamp};
use schema::membership::MemberUpdate;

/// The largest part of a datagram that updates fill, in bytes.
const MAX_UPDATE_BYTES: usize = 1_000;

/// The most changes that wait to be repeated; comparing lists repairs the rest.
const MAX_RECENT: usize = 512;

/// A change that is still repeated in heartbeats.
#[derive(Debug)]
struct Recent {
    update: MemberUpdate,
    bytes: usize,
    since: Timestamp,
}

/// The changes that are still repeated in heartbeats.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    recent: Vec<Recent>,
}

impl Gossip {
    pub(crate) fn add(&mut self, now: Timestamp, update: &MemberUpdate) {
        if self.recent.len() < MAX_RECENT {
            let bytes = schema::encode(update).len();
            self.recent.push(Recent { update: update.clone(), bytes, since: now });
        }
    }

    pub(crate) fn expire(&mut self, now: Timestamp, after: Millis) {
        self.recent.retain(|it| now.since(it.since) < after);
    }

    /// The latest changes that fit into one datagram.
    pub(crate) fn latest(&self) -> Vec<MemberUpdate> {
        let mut room = MAX_UPDATE_BYTES;
        let mut updates = Vec::new();
        for recent in self.recent.iter().rev() {
            if recent.bytes > room {
                break;
            }
            room -= recent.bytes;
            updates.push(recent.update.clone());
        }
        updates
    }
}

/// Splits updates so that each part fits into one datagram.
pub(crate) fn pages(updates: Vec<MemberUpdate>) -> Vec<Vec<MemberUpdate>> {
    let mut pages = Vec::new();
    let mut page = Vec::new();
    let mut room = MAX_UPDATE_BYTES;
    for update in updates {
        let bytes = schema::encode(&update).len();
        if bytes > room && !page.is_empty() {
            pages.push(std::mem::take(&mut page));
            room = MAX_UPDATE_BYTES;
        }
        room = room.saturating_sub(bytes);
        page.push(update);
    }
    if !page.is_empty() {
        pages.push(page);
    }
    pages
}
