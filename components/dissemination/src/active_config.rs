//! The configuration in force and the recent changes that led to it.

use std::{collections::VecDeque, sync::Arc};

use ids::{ConfigVersion, ContentDigest};
use schema::dissemination::{
    ConfigDelta, ConfigManifest, ConfigStamp, DisseminationMessage, Fragment, FragmentKey,
};

use crate::fragments::{Fragments, SharedConfig, encode_key};

/// Number of changes kept to build deltas from; a host that is further behind gets the manifest.
const MAX_CHANGES: usize = 64;

/// Size of the fragment content in one message, in bytes; exceeded by at most one fragment.
const MAX_MESSAGE_BYTES: usize = 512 * 1024;

/// The fragments that one new version changed and removed, relative to the one before it.
#[derive(Debug)]
struct ConfigChange {
    base: ContentDigest,
    changed: Vec<FragmentKey>,
    removed: Vec<FragmentKey>,
}

/// The configuration in force; version 0 means none.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    pub(crate) stamp: ConfigStamp,
    pub(crate) fragments: Fragments,
    pub(crate) text: Option<SharedConfig>,
    changes: VecDeque<ConfigChange>,
}

impl ActiveConfig {
    pub(crate) fn new() -> Self {
        Self {
            stamp: ConfigStamp {
                version: ConfigVersion(0),
                text_digest: ContentDigest::default(),
                manifest_digest: ContentDigest::default(),
            },
            fragments: Fragments::default(),
            text: None,
            changes: VecDeque::new(),
        }
    }

    /// Brings a configuration into force if it is newer, complete and matches its manifest digest.
    ///
    /// Returns whether it did.
    pub(crate) fn install(&mut self, stamp: ConfigStamp, fragments: Fragments) -> bool {
        if stamp.version <= self.stamp.version {
            return false;
        }
        if fragments.manifest_digest() != stamp.manifest_digest {
            return false;
        }
        let Some(text) = fragments.join(stamp.version) else {
            return false;
        };
        self.changes.push_back(ConfigChange {
            base: self.stamp.manifest_digest,
            changed: fragments.changed_since(&self.fragments),
            removed: fragments.removed_since(&self.fragments),
        });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        self.stamp = stamp;
        self.fragments = fragments;
        self.text = Some(Arc::new(text));
        true
    }

    /// Returns whether `stamp` names a different configuration under the version in force.
    pub(crate) fn conflicts_with(&self, stamp: &ConfigStamp) -> bool {
        stamp.version == self.stamp.version && *stamp != self.stamp
    }

    /// Returns the delta from the manifest digest `held` or, if it is unknown or the delta is too
    /// large, the manifest; `None` while no configuration is in force.
    pub(crate) fn delta_or_manifest(&self, held: ContentDigest) -> Option<DisseminationMessage> {
        self.text.as_ref()?;
        let base = self.changes.iter().rposition(|it| it.base == held);
        let Some(delta) = base.map(|it| self.delta(it, held)) else {
            return Some(self.manifest());
        };
        let bytes = delta.changed.iter().map(|it| it.content.as_slice().len()).sum::<usize>();
        if bytes > MAX_MESSAGE_BYTES {
            return Some(self.manifest());
        }
        Some(DisseminationMessage::ConfigDelta(delta))
    }

    /// Returns the requested fragments that are held, in messages of bounded size.
    pub(crate) fn fragment_messages(&self, keys: &[FragmentKey]) -> Vec<DisseminationMessage> {
        let mut messages = Vec::new();
        let mut batch = Vec::new();
        let mut bytes = 0;
        for held in keys.iter().filter_map(|it| self.fragments.get(it)) {
            bytes += held.fragment.content.as_slice().len();
            batch.push(held.fragment.clone());
            if bytes > MAX_MESSAGE_BYTES {
                messages.push(DisseminationMessage::Fragments(std::mem::take(&mut batch)));
                bytes = 0;
            }
        }
        if !batch.is_empty() {
            messages.push(DisseminationMessage::Fragments(batch));
        }
        messages
    }

    fn manifest(&self) -> DisseminationMessage {
        let entries = self.fragments.manifest();
        DisseminationMessage::ConfigManifest(ConfigManifest { stamp: self.stamp.clone(), entries })
    }

    /// Returns the delta over all changes from index `first`, with the current content.
    fn delta(&self, first: usize, base: ContentDigest) -> ConfigDelta {
        let changes = self.changes.iter().skip(first);
        let mut touched = changes
            .flat_map(|it| it.changed.iter().chain(&it.removed))
            .cloned()
            .collect::<Vec<_>>();
        touched.sort_by_key(encode_key);
        touched.dedup();
        let mut changed = Vec::<Fragment>::new();
        let mut removed = Vec::new();
        for key in touched {
            match self.fragments.get(&key) {
                Some(held) => changed.push(held.fragment.clone()),
                None => removed.push(key),
            }
        }
        ConfigDelta { stamp: self.stamp.clone(), base, changed, removed }
    }
}
