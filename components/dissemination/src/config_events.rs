//! Handles offers and transfers of configurations and claim maps.

use ids::{Blob, Epoch, HostId, Timestamp};
use schema::dissemination::{
    ClaimMapStamp, ConfigDelta, ConfigManifest, ConfigStamp, DisseminationMessage,
};

use crate::{
    dissemination::{Dissemination, DisseminationAction, send},
    fragments::Fragments,
    pull::Pull,
};

impl Dissemination {
    pub(crate) fn on_config_delta(
        &mut self,
        now: Timestamp,
        delta: ConfigDelta,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let Some(pull) = &self.pull else {
            return;
        };
        let stamp = delta.stamp.clone();
        if let Some(fragments) = pull.apply_delta(delta, &self.config) {
            self.install_config(now, stamp, fragments, actions);
        }
    }

    /// Sets the manifest of the pull in progress and requests the missing fragments.
    pub(crate) fn on_config_manifest(
        &mut self,
        now: Timestamp,
        from: HostId,
        manifest: ConfigManifest,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let Some(pull) = &mut self.pull else {
            return;
        };
        if manifest.stamp.version < pull.stamp.version {
            return;
        }
        pull.set_manifest(manifest);
        let request = pull.request_missing(now, from, &self.config);
        actions.extend(request.map(|it| send(it.to, it.message)));
        self.finish_pull(now, actions);
    }

    /// Pulls an offered newer configuration, or adds `from` as a source to the running pull.
    pub(crate) fn on_config_offer(
        &mut self,
        now: Timestamp,
        from: HostId,
        stamp: ConfigStamp,
        actions: &mut Vec<DisseminationAction>,
    ) {
        if self.config.conflicts_with(&stamp) {
            self.conflicts += 1;
        }
        if stamp.version <= self.config.stamp.version {
            return;
        }
        match &mut self.pull {
            Some(pull) if pull.stamp == stamp => pull.add_source(from),
            Some(pull) if pull.stamp.version >= stamp.version => {}
            _ => {
                let mut pull = Pull::new(now, stamp, from);
                let request = pull.request_next(now, &self.config);
                self.pull = Some(pull);
                actions.push(send(request.to, request.message));
            }
        }
    }

    /// Asks the next source when the last request has timed out.
    pub(crate) fn retry_pull(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        let timeout = self.settings.pull_timeout;
        if let Some(pull) = &mut self.pull
            && now.since(pull.requested_at()) >= timeout
        {
            let request = pull.request_next(now, &self.config);
            actions.push(send(request.to, request.message));
        }
    }

    /// Installs the configuration being pulled once all its fragments are held.
    pub(crate) fn finish_pull(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        let Some(pull) = &self.pull else {
            return;
        };
        if let Some(fragments) = pull.assemble(&self.config) {
            let stamp = pull.stamp.clone();
            self.install_config(now, stamp, fragments, actions);
        }
    }

    /// Brings a valid, newer configuration into force and offers it to all links.
    pub(crate) fn install_config(
        &mut self,
        now: Timestamp,
        stamp: ConfigStamp,
        fragments: Fragments,
        actions: &mut Vec<DisseminationAction>,
    ) {
        if self.config.conflicts_with(&stamp) {
            self.conflicts += 1;
        }
        if !self.config.install(stamp, fragments) {
            return;
        }
        let stamp = self.config.stamp.clone();
        if self.pull.as_ref().is_some_and(|it| it.stamp.version <= stamp.version) {
            self.pull = None;
        }
        if let Some(config) = self.config.text.clone() {
            let (version, digest) = (stamp.version, stamp.text_digest);
            actions.push(DisseminationAction::ConfigInForce { version, digest, config });
        }
        self.send_to_links(&DisseminationMessage::ConfigOffer(stamp), None, actions);
        self.acknowledge(actions);
        self.update_recovery(now);
    }

    pub(crate) fn on_claim_map_offer(
        &self,
        from: HostId,
        stamp: &ClaimMapStamp,
        actions: &mut Vec<DisseminationAction>,
    ) {
        if stamp.epoch > self.claim_map.stamp.epoch {
            actions.push(send(from, DisseminationMessage::ClaimMapRequest(stamp.epoch)));
        }
    }

    /// Installs a newer claim map and offers it to all links.
    pub(crate) fn install_claim_map(
        &mut self,
        epoch: Epoch,
        content: Blob,
        actions: &mut Vec<DisseminationAction>,
    ) {
        if !self.claim_map.install(epoch, content.clone()) {
            return;
        }
        actions.push(DisseminationAction::ClaimMapChanged { epoch, content });
        let offer = DisseminationMessage::ClaimMapOffer(self.claim_map.stamp.clone());
        self.send_to_links(&offer, None, actions);
    }
}
