//! Hands a shard over to the other replicas before a planned stop.

use std::collections::BTreeMap;

use ids::{Epoch, HostId, Incarnation, Timestamp};
use schema::claims::{ClaimsMessage, CopyCursor, HandOverAck, HandOverPage};

use super::record::{Page, Records};
use crate::{ShardNumber, claims::Outgoing};

/// A hand-over that is under way; the shard takes no more changes.
#[derive(Debug)]
pub(super) struct HandOver {
    shard: ShardNumber,
    epoch: Epoch,
    /// The records as they were when the shard was sealed.
    records: Records,
    targets: BTreeMap<HostId, Target>,
    pub(super) next_retry: Timestamp,
}

/// How far one target has got.
#[derive(Debug)]
struct Target {
    /// The start of the target that stored the pages so far.
    incarnation: Option<Incarnation>,
    cursor: CopyCursor,
    done: bool,
}

impl Target {
    fn new() -> Self {
        Self { incarnation: None, cursor: CopyCursor::Start, done: false }
    }
}

impl HandOver {
    pub(super) fn new(
        shard: ShardNumber,
        epoch: Epoch,
        records: Records,
        others: &[HostId],
    ) -> Self {
        let targets = others.iter().map(|it| (*it, Target::new())).collect();
        Self { shard, epoch, records, targets, next_retry: Timestamp(0) }
    }

    /// Whether every target has stored all pages.
    pub(super) fn is_complete(&self) -> bool {
        self.targets.values().all(|it| it.done)
    }

    /// The next page for each target that lacks one.
    pub(super) fn pages(&self) -> Vec<Outgoing> {
        self.targets.keys().filter_map(|it| self.page(*it)).collect()
    }

    /// Takes in that a target has stored a page, and returns the next one.
    ///
    /// A target that restarted in between has forgotten the pages before and gets them again.
    pub(super) fn handle_ack(
        &mut self,
        from: HostId,
        incarnation: Incarnation,
        ack: &HandOverAck,
    ) -> Option<Outgoing> {
        let target = self.targets.get_mut(&from)?;
        if ack.epoch != self.epoch || ack.cursor != target.cursor || target.done {
            return None;
        }
        let known = *target.incarnation.get_or_insert(incarnation);
        if incarnation != known {
            *target = Target::new();
            target.incarnation = Some(incarnation.max(known));
            return self.page(from);
        }
        let page = self.records.page(&target.cursor);
        target.done = page.last;
        target.cursor = Page::next_cursor(&page.records, target.cursor.clone());
        self.page(from)
    }

    fn page(&self, to: HostId) -> Option<Outgoing> {
        let target = self.targets.get(&to).filter(|it| !it.done)?;
        let page = self.records.page(&target.cursor);
        let message = HandOverPage {
            shard: self.shard.0,
            epoch: self.epoch,
            cursor: target.cursor.clone(),
            records: page.records,
            last: page.last,
        };
        Some(Outgoing::new(to, ClaimsMessage::HandOver(message)))
    }
}
