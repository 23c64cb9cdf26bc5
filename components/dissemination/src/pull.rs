//! Fetches a newer configuration from the hosts that offer it.

use ids::{HostId, Timestamp};
use schema::dissemination::{
    ConfigDelta, ConfigManifest, ConfigRequest, ConfigStamp, DisseminationMessage, Fragment,
    FragmentKey, ManifestEntry,
};

use crate::{config_slot::ConfigSlot, fragments::Fragments};

/// The most hosts that are remembered as sources.
const MAX_SOURCES: usize = 16;

/// A configuration being fetched.
#[derive(Debug)]
pub(crate) struct Pull {
    pub(crate) stamp: ConfigStamp,
    sources: Vec<HostId>,
    next: usize,
    asked_at: Timestamp,
    manifest: Vec<ManifestEntry>,
    collected: Fragments,
}

/// A request to one host.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) to: HostId,
    pub(crate) message: DisseminationMessage,
}

impl Pull {
    pub(crate) fn new(now: Timestamp, stamp: ConfigStamp, source: HostId) -> Self {
        Self {
            stamp,
            sources: vec![source],
            next: 0,
            asked_at: now,
            manifest: Vec::new(),
            collected: Fragments::default(),
        }
    }

    pub(crate) fn add_source(&mut self, source: HostId) {
        if !self.sources.contains(&source) && self.sources.len() < MAX_SOURCES {
            self.sources.push(source);
        }
    }

    pub(crate) fn asked_at(&self) -> Timestamp {
        self.asked_at
    }

    /// Asks the next source.
    pub(crate) fn ask(&mut self, now: Timestamp, slot: &ConfigSlot) -> Request {
        self.asked_at = now;
        let to = self.sources[self.next % self.sources.len()];
        self.next += 1;
        let missing = self.missing(slot);
        let message = if missing.is_empty() {
            let held = slot.stamp.manifest_digest;
            DisseminationMessage::ConfigRequest(ConfigRequest { held })
        } else {
            DisseminationMessage::FragmentRequest(missing)
        };
        Request { to, message }
    }

    /// Asks the host that sent the manifest for the missing fragments.
    pub(crate) fn ask_again(
        &mut self,
        now: Timestamp,
        to: HostId,
        slot: &ConfigSlot,
    ) -> Option<Request> {
        self.asked_at = now;
        let missing = self.missing(slot);
        let message = DisseminationMessage::FragmentRequest(missing.clone());
        (!missing.is_empty()).then_some(Request { to, message })
    }

    /// The fragments after the delta, when it applies to what is held.
    pub(crate) fn apply_delta(&self, delta: ConfigDelta, slot: &ConfigSlot) -> Option<Fragments> {
        if delta.base != slot.stamp.manifest_digest {
            return None;
        }
        let mut fragments = slot.fragments.clone();
        for key in &delta.removed {
            fragments.remove(key);
        }
        for fragment in delta.changed {
            fragments.insert(fragment);
        }
        Some(fragments)
    }

    pub(crate) fn take_manifest(&mut self, manifest: ConfigManifest) {
        self.stamp = manifest.stamp;
        self.manifest = manifest.entries;
        self.collected = Fragments::default();
    }

    pub(crate) fn take_fragments(&mut self, fragments: Vec<Fragment>) {
        for fragment in fragments {
            self.collected.insert(fragment);
        }
    }

    /// The whole configuration, once no fragment of the manifest is missing.
    pub(crate) fn assemble(&self, slot: &ConfigSlot) -> Option<Fragments> {
        if self.manifest.is_empty() || !self.missing(slot).is_empty() {
            return None;
        }
        let mut fragments = Fragments::default();
        for entry in &self.manifest {
            let sources = [self.collected.get(&entry.key), slot.fragments.get(&entry.key)];
            let held = sources.into_iter().flatten().find(|it| it.digest == entry.digest)?;
            fragments.insert_held(held.clone());
        }
        Some(fragments)
    }

    /// The fragments of the manifest that are not yet here.
    fn missing(&self, slot: &ConfigSlot) -> Vec<FragmentKey> {
        let here = |entry: &&ManifestEntry| {
            let sources = [self.collected.get(&entry.key), slot.fragments.get(&entry.key)];
            sources.into_iter().flatten().any(|it| it.digest == entry.digest)
        };
        self.manifest.iter().filter(|it| !here(it)).map(|it| it.key.clone()).collect()
    }
}
