//! Copies a shard from other replicas, page by page.

use std::collections::{BTreeMap, BTreeSet};

use ids::{Epoch, HostId, Incarnation, Timestamp};
use schema::claims::{ClaimsMessage, CopyCursor, CopyPage, CopyPurpose, CopyRequest};

use super::record::Page;
use crate::{ShardNumber, claims::Outgoing, map::quorum};

/// A copy that is under way.
#[derive(Debug)]
pub(super) struct CopyProgress {
    shard: ShardNumber,
    /// The epoch that is copied.
    epoch: Epoch,
    purpose: CopyPurpose,
    /// How many sources have to be copied.
    required_sources: usize,
    sources: BTreeMap<HostId, Source>,
    pub(super) next_retry: Timestamp,
}

/// How far one source has been copied.
#[derive(Debug)]
struct Source {
    /// The start of the source that sent the pages so far.
    incarnation: Option<Incarnation>,
    cursor: CopyCursor,
    done: bool,
}

impl Source {
    fn new() -> Self {
        Self { incarnation: None, cursor: CopyCursor::Start, done: false }
    }
}

impl CopyProgress {
    /// A copy within `epoch` from all `others`, since any of them may be the only one that
    /// shares a grant with this replica's earlier start.
    pub(super) fn recover(shard: ShardNumber, epoch: Epoch, others: &[HostId]) -> Self {
        Self::new(shard, epoch, CopyPurpose::Recover, others.len(), others)
    }

    /// A copy of the previous epoch from a majority of its `replicas`, which no longer grant
    /// keys in it.
    pub(super) fn next_epoch(shard: ShardNumber, previous: Epoch, replicas: &[HostId]) -> Self {
        let required_sources = quorum(replicas.len());
        Self::new(shard, previous, CopyPurpose::NextEpoch, required_sources, replicas)
    }

    fn new(
        shard: ShardNumber,
        epoch: Epoch,
        purpose: CopyPurpose,
        required_sources: usize,
        sources: &[HostId],
    ) -> Self {
        let sources = sources.iter().map(|it| (*it, Source::new())).collect();
        Self { shard, epoch, purpose, required_sources, sources, next_retry: Timestamp(0) }
    }

    pub(super) fn purpose(&self) -> CopyPurpose {
        self.purpose
    }

    /// Whether enough sources have been copied; a copy without any source never is.
    pub(super) fn is_complete(&self) -> bool {
        let done = self.sources.values().filter(|it| it.done).count();
        !self.sources.is_empty() && done >= self.required_sources
    }

    /// Takes in that all that `host` knows has been copied.
    pub(super) fn mark_copied(&mut self, host: HostId) {
        if let Some(source) = self.sources.get_mut(&host) {
            source.done = true;
        }
    }

    /// Whether a page continues the copy of its sender; a restarted sender is copied anew.
    pub(super) fn accepts(
        &mut self,
        from: HostId,
        incarnation: Incarnation,
        page: &CopyPage,
    ) -> bool {
        if page.epoch != self.epoch {
            return false;
        }
        let Some(source) = self.sources.get_mut(&from) else { return false };
        let known = *source.incarnation.get_or_insert(incarnation);
        if incarnation > known && !source.done {
            *source = Source::new();
            source.incarnation = Some(incarnation);
        }
        incarnation >= known && !source.done && source.cursor == page.cursor
    }

    /// Moves on after a page whose records have been taken in.
    pub(super) fn advance(&mut self, from: HostId, page: &CopyPage) {
        let Some(source) = self.sources.get_mut(&from) else { return };
        source.cursor = Page::next_cursor(&page.records, page.cursor.clone());
        if !page.last {
            return;
        }
        source.done = true;
        page.handed_over.iter().for_each(|it| self.mark_copied(*it));
    }

    /// Asks one source for its next page.
    pub(super) fn request(&self, host: HostId) -> Option<Outgoing> {
        let source = self.sources.get(&host).filter(|it| !it.done)?;
        let req = CopyRequest {
            shard: self.shard.0,
            epoch: self.epoch,
            purpose: self.purpose,
            cursor: source.cursor.clone(),
        };
        Some(Outgoing::new(host, ClaimsMessage::Copy(req)))
    }

    /// Asks all sources for their next pages.
    pub(super) fn requests(&self) -> Vec<Outgoing> {
        let hosts: BTreeSet<_> = self.sources.keys().copied().collect();
        hosts.into_iter().filter_map(|it| self.request(it)).collect()
    }
}
