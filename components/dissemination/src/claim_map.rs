//! The newest claim map; the highest epoch wins.

use ids::{Blob, ContentDigest, Epoch};
use schema::dissemination::ClaimMapStamp;

/// The claim map held.
#[derive(Debug)]
pub(crate) struct ClaimMapSlot {
    pub(crate) stamp: ClaimMapStamp,
    pub(crate) content: Blob,
}

impl ClaimMapSlot {
    pub(crate) fn new() -> Self {
        let stamp = ClaimMapStamp { epoch: Epoch(0), digest: ContentDigest::default() };
        Self { stamp, content: Blob::default() }
    }

    /// Takes in a claim map of a higher epoch.
    pub(crate) fn install(&mut self, epoch: Epoch, content: Blob) -> bool {
        if epoch <= self.stamp.epoch {
            return false;
        }
        let digest = ContentDigest::of(content.as_slice());
        self.stamp = ClaimMapStamp { epoch, digest };
        self.content = content;
        true
    }
}
