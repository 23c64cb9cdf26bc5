//! The configuration in force and the deltas that lead to it.

use std::{collections::VecDeque, sync::Arc};

use ids::{ConfigVersion, ContentDigest};
use schema::dissemination::{
    ConfigDelta, ConfigManifest, ConfigStamp, DisseminationMessage, Fragment, FragmentKey,
};

use crate::fragments::{Fragments, SharedText, ordered};

/// Number of earlier changes that deltas are made from.
const MAX_CHANGES: usize = 64;

/// The largest part of a configuration that travels in one message, in bytes.
const MAX_MESSAGE_BYTES: usize = 512 * 1024;

/// How the configuration changed from one version to a later one.
#[derive(Debug)]
struct Change {
    base: ContentDigest,
    changed: Vec<FragmentKey>,
    removed: Vec<FragmentKey>,
}

/// The configuration in force.
#[derive(Debug)]
pub(crate) struct ConfigSlot {
    pub(crate) stamp: ConfigStamp,
    pub(crate) fragments: Fragments,
    pub(crate) text: Option<SharedText>,
    changes: VecDeque<Change>,
}

impl ConfigSlot {
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

    /// Takes the configuration into force when it is whole and newer.
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
        self.changes.push_back(Change {
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

    /// Whether `stamp` names another configuration under the version in force.
    pub(crate) fn contradicts(&self, stamp: &ConfigStamp) -> bool {
        stamp.version == self.stamp.version && *stamp != self.stamp
    }

    /// What brings a host that holds `held` up to date.
    pub(crate) fn answer(&self, held: ContentDigest) -> Option<DisseminationMessage> {
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

    /// The fragments asked for, in messages of bounded size.
    pub(crate) fn fragment_messages(&self, keys: &[FragmentKey]) -> Vec<DisseminationMessage> {
        let mut messages = Vec::new();
        let mut page = Vec::new();
        let mut bytes = 0;
        for held in keys.iter().filter_map(|it| self.fragments.get(it)) {
            bytes += held.fragment.content.as_slice().len();
            page.push(held.fragment.clone());
            if bytes > MAX_MESSAGE_BYTES {
                messages.push(DisseminationMessage::Fragments(std::mem::take(&mut page)));
                bytes = 0;
            }
        }
        if !page.is_empty() {
            messages.push(DisseminationMessage::Fragments(page));
        }
        messages
    }

    fn manifest(&self) -> DisseminationMessage {
        let entries = self.fragments.manifest();
        DisseminationMessage::ConfigManifest(ConfigManifest { stamp: self.stamp.clone(), entries })
    }

    /// All that changed since the change at `first`, with its present content.
    fn delta(&self, first: usize, base: ContentDigest) -> ConfigDelta {
        let changes = self.changes.iter().skip(first);
        let mut touched = changes
            .flat_map(|it| it.changed.iter().chain(&it.removed))
            .cloned()
            .collect::<Vec<_>>();
        touched.sort_by_key(ordered);
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
