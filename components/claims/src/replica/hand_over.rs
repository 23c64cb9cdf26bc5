//! Hand-over of a shard to the other replicas before a planned stop.

use std::collections::BTreeMap;

use ids::{Epoch, HostId, Incarnation, Timestamp};
use schema::claims::{ClaimsMessage, CopyCursor, HandOverAck, HandOverPage};

use super::record::{Page, Records};
use crate::{ShardNumber, claims::Outgoing};

/// State of a hand-over in progress; the shard is sealed.
#[derive(Debug)]
pub(super) struct HandOver {
    shard: ShardNumber,
    epoch: Epoch,
    /// The records as they were when the shard was sealed.
    records: Records,
    targets: BTreeMap<HostId, Target>,
    pub(super) next_retry: Timestamp,
}

/// State of the hand-over to one target.
#[derive(Debug)]
struct Target {
    /// The incarnation of the target that has stored the pages so far.
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

    /// Returns whether every target has stored all pages.
    pub(super) fn is_complete(&self) -> bool {
        self.targets.values().all(|it| it.done)
    }

    /// Returns the next page for each target that has not stored all.
    pub(super) fn pages(&self) -> Vec<Outgoing> {
        self.targets.keys().filter_map(|it| self.page(*it)).collect()
    }

    /// Handles a target's acknowledgement of a page and returns the next one.
    ///
    /// A target that has restarted in between has lost the earlier pages and gets all again.
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
