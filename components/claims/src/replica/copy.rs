//! Copying of a shard's records from other replicas, page by page.

use std::collections::{BTreeMap, BTreeSet};

use ids::{Epoch, HostId, Incarnation, Timestamp};
use schema::claims::{ClaimsMessage, CopyCursor, CopyPage, CopyPurpose, CopyRequest};

use super::record::Page;
use crate::{ShardNumber, claims::Outgoing, map::quorum};

/// State of a copy in progress.
#[derive(Debug)]
pub(super) struct CopyProgress {
    shard: ShardNumber,
    /// The epoch that is copied.
    epoch: Epoch,
    purpose: CopyPurpose,
    /// Number of sources that have to be copied.
    required_sources: usize,
    sources: BTreeMap<HostId, Source>,
    pub(super) next_retry: Timestamp,
}

/// State of the copy from one source.
#[derive(Debug)]
struct Source {
    /// The incarnation of the source that has sent the pages so far.
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
    /// Starts a copy of `epoch` from all `others`.
    ///
    /// A majority is not enough: any of them may be the only other replica that has a grant of
    /// this replica's earlier incarnation.
    pub(super) fn recover(shard: ShardNumber, epoch: Epoch, others: &[HostId]) -> Self {
        Self::new(shard, epoch, CopyPurpose::Recover, others.len(), others)
    }

    /// Starts a copy of the previous epoch from a majority of its `replicas`, which are thereby
    /// sealed and grant no more keys in it.
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

    /// Returns whether enough sources have been copied; a copy without sources never completes.
    pub(super) fn is_complete(&self) -> bool {
        let done = self.sources.values().filter(|it| it.done).count();
        !self.sources.is_empty() && done >= self.required_sources
    }

    /// Marks all records of `host` as copied.
    pub(super) fn mark_copied(&mut self, host: HostId) {
        if let Some(source) = self.sources.get_mut(&host) {
            source.done = true;
        }
    }

    /// Returns whether a page is the next one of its sender; starts over if the sender restarted.
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

    /// Advances the cursor past a page that is being merged.
    ///
    /// The last page also marks the replicas that have handed over to its sender as copied.
    pub(super) fn advance(&mut self, from: HostId, page: &CopyPage) {
        let Some(source) = self.sources.get_mut(&from) else { return };
        source.cursor = Page::next_cursor(&page.records, page.cursor.clone());
        if !page.last {
            return;
        }
        source.done = true;
        page.handed_over.iter().for_each(|it| self.mark_copied(*it));
    }

    /// Returns the request for a source's next page.
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

    /// Returns the requests for the next page of each source.
    pub(super) fn requests(&self) -> Vec<Outgoing> {
        let hosts: BTreeSet<_> = self.sources.keys().copied().collect();
        hosts.into_iter().filter_map(|it| self.request(it)).collect()
    }
}
