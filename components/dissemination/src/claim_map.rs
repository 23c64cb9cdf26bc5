//! The claim map with the highest epoch that this host knows.

use ids::{Blob, ContentDigest, Epoch};
use schema::dissemination::ClaimMapStamp;

/// The encoded claim map with its epoch and digest; epoch 0 means none.
#[derive(Debug)]
pub(crate) struct LatestClaimMap {
    pub(crate) stamp: ClaimMapStamp,
    pub(crate) content: Blob,
}

impl LatestClaimMap {
    pub(crate) fn new() -> Self {
        let stamp = ClaimMapStamp { epoch: Epoch(0), digest: ContentDigest::default() };
        Self { stamp, content: Blob::default() }
    }

    /// Replaces the claim map if `epoch` is higher; returns whether it did.
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
