//! Pulls a newer configuration from the hosts that offer it.

use ids::{HostId, Timestamp};
use schema::dissemination::{
    ConfigDelta, ConfigManifest, ConfigRequest, ConfigStamp, DisseminationMessage, Fragment,
    FragmentKey, ManifestEntry,
};

use crate::{active_config::ActiveConfig, fragments::Fragments};

/// Maximum number of hosts that one pull remembers as sources.
const MAX_SOURCES: usize = 16;

/// The state of one pull.
#[derive(Debug)]
pub(crate) struct Pull {
    pub(crate) stamp: ConfigStamp,
    sources: Vec<HostId>,
    next_source: usize,
    requested_at: Timestamp,
    manifest: Vec<ManifestEntry>,
    received: Fragments,
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
            next_source: 0,
            requested_at: now,
            manifest: Vec::new(),
            received: Fragments::default(),
        }
    }

    /// Adds a host that offers the same configuration.
    pub(crate) fn add_source(&mut self, source: HostId) {
        if !self.sources.contains(&source) && self.sources.len() < MAX_SOURCES {
            self.sources.push(source);
        }
    }

    pub(crate) fn requested_at(&self) -> Timestamp {
        self.requested_at
    }

    /// Asks the next source for the missing fragments or, without a manifest, for a delta or the
    /// manifest.
    pub(crate) fn request_next(&mut self, now: Timestamp, active: &ActiveConfig) -> Request {
        self.requested_at = now;
        let to = self.sources[self.next_source % self.sources.len()];
        self.next_source += 1;
        let missing = self.missing_fragments(active);
        let message = if missing.is_empty() {
            let held = active.stamp.manifest_digest;
            DisseminationMessage::ConfigRequest(ConfigRequest { held })
        } else {
            DisseminationMessage::FragmentRequest(missing)
        };
        Request { to, message }
    }

    /// Asks `to` for the fragments of the manifest that are missing, if any are.
    pub(crate) fn request_missing(
        &mut self,
        now: Timestamp,
        to: HostId,
        active: &ActiveConfig,
    ) -> Option<Request> {
        self.requested_at = now;
        let missing = self.missing_fragments(active);
        let message = DisseminationMessage::FragmentRequest(missing.clone());
        (!missing.is_empty()).then_some(Request { to, message })
    }

    /// Applies `delta` to the fragments in force; `None` if it has another base.
    pub(crate) fn apply_delta(
        &self,
        delta: ConfigDelta,
        active: &ActiveConfig,
    ) -> Option<Fragments> {
        if delta.base != active.stamp.manifest_digest {
            return None;
        }
        let mut fragments = active.fragments.clone();
        for key in &delta.removed {
            fragments.remove(key);
        }
        for fragment in delta.changed {
            fragments.insert(fragment);
        }
        Some(fragments)
    }

    /// Sets the manifest to pull, and drops the fragments received so far.
    pub(crate) fn set_manifest(&mut self, manifest: ConfigManifest) {
        self.stamp = manifest.stamp;
        self.manifest = manifest.entries;
        self.received = Fragments::default();
    }

    pub(crate) fn add_fragments(&mut self, fragments: Vec<Fragment>) {
        for fragment in fragments {
            self.received.insert(fragment);
        }
    }

    /// Returns all fragments of the manifest once none is missing.
    pub(crate) fn assemble(&self, active: &ActiveConfig) -> Option<Fragments> {
        if self.manifest.is_empty() || !self.missing_fragments(active).is_empty() {
            return None;
        }
        let mut fragments = Fragments::default();
        for entry in &self.manifest {
            let copies = [self.received.get(&entry.key), active.fragments.get(&entry.key)];
            let held = copies.into_iter().flatten().find(|it| it.digest == entry.digest)?;
            fragments.insert_held(held.clone());
        }
        Some(fragments)
    }

    /// Returns the keys of the manifest whose content has neither been received nor is in force.
    fn missing_fragments(&self, active: &ActiveConfig) -> Vec<FragmentKey> {
        let is_held = |entry: &&ManifestEntry| {
            let copies = [self.received.get(&entry.key), active.fragments.get(&entry.key)];
            copies.into_iter().flatten().any(|it| it.digest == entry.digest)
        };
        self.manifest.iter().filter(|it| !is_held(it)).map(|it| it.key.clone()).collect()
    }
}
