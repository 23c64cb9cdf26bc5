//! The dissemination decisions of one host.

use std::sync::Arc;

use ids::{Blob, ConfigVersion, ContentDigest, Epoch, HostId, ServerId, Timestamp};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use schema::{
    announcement::Announcement,
    config_text::ConfigText,
    dissemination::{
        ClaimMapCopy, ClaimMapStamp, ConfigStamp, DisseminationMessage, ServerBuckets, Summary,
    },
};

use crate::{
    acknowledgements::Acknowledgements, claim_map::ClaimMapSlot, config_slot::ConfigSlot,
    fragments::Fragments, pull::Pull, recovery::Recovery, renewals::Renewals, servers::Servers,
    settings::DisseminationSettings, view::View,
};

/// What the caller has to do after a decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DisseminationAction {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: HostId,
        /// What to send.
        message: DisseminationMessage,
    },
    /// A newer configuration is in force.
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
        /// Digest of the text that was submitted.
        digest: ContentDigest,
        /// The configuration; its lists are in an order of their own, the same on every host.
        config: Arc<ConfigText>,
    },
    /// A backend server is new or announced something else than before.
    ServerChanged {
        /// What it announced.
        announcement: Announcement,
    },
    /// A backend server is late with its announcement; it stays in use.
    ServerStale {
        /// The server.
        server: ServerId,
    },
    /// A backend server that was late announced itself again.
    ServerFresh {
        /// The server.
        server: ServerId,
    },
    /// A backend server has stopped or has been late for very long.
    ServerRemoved {
        /// The server.
        server: ServerId,
    },
    /// A newer claim map is known.
    ClaimMapChanged {
        /// Its epoch.
        epoch: Epoch,
        /// The encoded claim map.
        content: Blob,
    },
}

/// The replicated maps of one host.
pub struct Dissemination {
    pub(crate) settings: DisseminationSettings,
    pub(crate) view: View,
    pub(crate) servers: Servers,
    pub(crate) renewals: Renewals,
    config: ConfigSlot,
    pull: Option<Pull>,
    claim_map: ClaimMapSlot,
    recovery: Recovery,
    acknowledgements: Acknowledgements,
    rng: Xoshiro256PlusPlus,
    current: bool,
    conflicts: u64,
    summary_at: Option<Timestamp>,
    remote_summary_at: Timestamp,
    buckets_at: Timestamp,
    pub(crate) forgot_at: Timestamp,
    next_link: usize,
}

impl Dissemination {
    /// Starts with nothing.
    pub fn new(settings: DisseminationSettings) -> Self {
        let rng = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
        Self {
            settings,
            view: View::default(),
            servers: Servers::new(),
            renewals: Renewals::default(),
            config: ConfigSlot::new(),
            pull: None,
            claim_map: ClaimMapSlot::new(),
            recovery: Recovery::new(),
            acknowledgements: Acknowledgements::default(),
            rng,
            current: false,
            conflicts: 0,
            summary_at: None,
            remote_summary_at: Timestamp::default(),
            buckets_at: Timestamp::default(),
            forgot_at: Timestamp::default(),
            next_link: 0,
        }
    }

    /// Takes in a change of the other hosts.
    pub fn set_view(&mut self, now: Timestamp, view: View) -> Vec<DisseminationAction> {
        let mut actions = Vec::new();
        let new_relay = view.relay != self.view.relay;
        let changed = view.changed_data_centres(&self.view);
        self.view = view;
        self.assign_keepers(now, &changed);
        if new_relay {
            self.acknowledge(&mut actions);
        }
        actions
    }

    /// On a control host: says whether it knows its configuration to be the newest.
    pub fn set_current(&mut self, current: bool) {
        self.current = current;
        if current {
            self.recovery.note(self.settings.host, self.config.stamp.version, true);
        }
    }

    /// On a control host: spreads a committed configuration.
    pub fn publish_config(
        &mut self,
        now: Timestamp,
        version: ConfigVersion,
        digest: ContentDigest,
        text: &ConfigText,
    ) -> Vec<DisseminationAction> {
        let mut actions = Vec::new();
        let fragments = Fragments::split(text);
        let manifest_digest = fragments.manifest_digest();
        let stamp = ConfigStamp { version, text_digest: digest, manifest_digest };
        self.install_config(now, stamp, fragments, &mut actions);
        actions
    }

    /// On a control host: spreads a committed claim map.
    pub fn publish_claim_map(&mut self, epoch: Epoch, content: Blob) -> Vec<DisseminationAction> {
        let mut actions = Vec::new();
        self.install_claim_map(epoch, content, &mut actions);
        actions
    }

    /// Takes in a message of another host.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: DisseminationMessage,
    ) -> Vec<DisseminationAction> {
        let mut actions = Vec::new();
        match message {
            DisseminationMessage::Summary(it) => self.on_summary(now, from, it, &mut actions),
            DisseminationMessage::ConfigOffer(stamp) => {
                self.on_offer(now, from, stamp, &mut actions);
            }
            DisseminationMessage::ConfigRequest(request) => {
                let answer = self.config.answer(request.held);
                actions.extend(answer.map(|message| send(from, message)));
            }
            DisseminationMessage::ConfigDelta(delta) => {
                let Some(pull) = &self.pull else {
                    return actions;
                };
                let stamp = delta.stamp.clone();
                if let Some(fragments) = pull.apply_delta(delta, &self.config) {
                    self.install_config(now, stamp, fragments, &mut actions);
                }
            }
            DisseminationMessage::ConfigManifest(manifest) => {
                if manifest.stamp.version > self.config.stamp.version
                    && let Some(pull) = &mut self.pull
                    && manifest.stamp.version >= pull.stamp.version
                {
                    pull.take_manifest(manifest);
                    let request = pull.ask_again(now, from, &self.config);
                    actions.extend(request.map(|it| send(it.to, it.message)));
                    self.finish_pull(now, &mut actions);
                }
            }
            DisseminationMessage::FragmentRequest(keys) => {
                let messages = self.config.fragment_messages(&keys);
                actions.extend(messages.into_iter().map(|it| send(from, it)));
            }
            DisseminationMessage::Fragments(fragments) => {
                if let Some(pull) = &mut self.pull {
                    pull.take_fragments(fragments);
                    self.finish_pull(now, &mut actions);
                }
            }
            DisseminationMessage::ClaimMapOffer(stamp) => {
                self.on_claim_map_offer(from, &stamp, &mut actions);
            }
            DisseminationMessage::ClaimMapRequest(epoch) => {
                if self.claim_map.stamp.epoch >= epoch && epoch > Epoch(0) {
                    let epoch = self.claim_map.stamp.epoch;
                    let content = self.claim_map.content.clone();
                    let copy = ClaimMapCopy { epoch, content };
                    actions.push(send(from, DisseminationMessage::ClaimMap(copy)));
                }
            }
            DisseminationMessage::ClaimMap(copy) => {
                self.install_claim_map(copy.epoch, copy.content, &mut actions);
            }
            DisseminationMessage::Servers(records) => {
                self.take_records(now, from, records, &mut actions);
            }
            DisseminationMessage::Renewals(renewals) => {
                self.take_renewals(now, renewals, &mut actions);
            }
            DisseminationMessage::ServerBuckets(buckets) => {
                self.on_buckets(from, &buckets, &mut actions);
            }
            DisseminationMessage::InForce(groups) => self.acknowledgements.note_groups(groups),
        }
        actions
    }

    /// Does what is due; to be called every 50 to 100 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<DisseminationAction> {
        let mut actions = Vec::new();
        self.retry_pull(now, &mut actions);
        self.recover(now, &mut actions);
        self.send_summaries(now, &mut actions);
        self.pass_on_acknowledgements(now, &mut actions);
        self.send_renewals(now, &mut actions);
        self.watch_servers(now, &mut actions);
        actions
    }

    /// Whether this host may act on its configuration: it holds the newest that it can find.
    pub fn is_ready(&self) -> bool {
        self.recovery.is_ready()
    }

    /// The version in force; 0 when there is none.
    pub fn version(&self) -> ConfigVersion {
        self.config.stamp.version
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<ConfigText>> {
        self.config.text.as_ref()
    }

    /// On a control host: the version that each host last reported to have in force.
    pub fn in_force(&self) -> impl Iterator<Item = (HostId, ConfigVersion)> {
        self.acknowledgements.versions.iter().map(|(host, version)| (*host, *version))
    }

    /// Number of offers that gave other content for the version in force.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    fn on_offer(
        &mut self,
        now: Timestamp,
        from: HostId,
        stamp: ConfigStamp,
        actions: &mut Vec<DisseminationAction>,
    ) {
        if self.config.contradicts(&stamp) {
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
                let request = pull.ask(now, &self.config);
                self.pull = Some(pull);
                actions.push(send(request.to, request.message));
            }
        }
    }

    fn retry_pull(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        let timeout = self.settings.pull_timeout;
        if let Some(pull) = &mut self.pull
            && now.since(pull.asked_at()) >= timeout
        {
            let request = pull.ask(now, &self.config);
            actions.push(send(request.to, request.message));
        }
    }

    fn finish_pull(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        let Some(pull) = &self.pull else {
            return;
        };
        if let Some(fragments) = pull.assemble(&self.config) {
            let stamp = pull.stamp.clone();
            self.install_config(now, stamp, fragments, actions);
        }
    }

    fn install_config(
        &mut self,
        now: Timestamp,
        stamp: ConfigStamp,
        fragments: Fragments,
        actions: &mut Vec<DisseminationAction>,
    ) {
        if self.config.contradicts(&stamp) {
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
        self.judge_recovery(now);
    }

    fn on_claim_map_offer(
        &self,
        from: HostId,
        stamp: &ClaimMapStamp,
        actions: &mut Vec<DisseminationAction>,
    ) {
        if stamp.epoch > self.claim_map.stamp.epoch {
            actions.push(send(from, DisseminationMessage::ClaimMapRequest(stamp.epoch)));
        }
    }

    fn install_claim_map(
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

    fn summary(&self, wants_answer: bool) -> DisseminationMessage {
        DisseminationMessage::Summary(Summary {
            config: self.config.stamp.clone(),
            claim_map: self.claim_map.stamp.clone(),
            servers_digest: self.servers.digest(),
            current: self.current,
            wants_answer,
        })
    }

    fn on_summary(
        &mut self,
        now: Timestamp,
        from: HostId,
        summary: Summary,
        actions: &mut Vec<DisseminationAction>,
    ) {
        self.recovery.note(from, summary.config.version, summary.current);
        if summary.wants_answer {
            actions.push(send(from, self.summary(false)));
        }
        if summary.config.version < self.config.stamp.version {
            let offer = DisseminationMessage::ConfigOffer(self.config.stamp.clone());
            actions.push(send(from, offer));
        }
        self.on_offer(now, from, summary.config, actions);
        if summary.claim_map.epoch < self.claim_map.stamp.epoch {
            let offer = DisseminationMessage::ClaimMapOffer(self.claim_map.stamp.clone());
            actions.push(send(from, offer));
        }
        self.on_claim_map_offer(from, &summary.claim_map, actions);
        if summary.servers_digest != self.servers.digest() {
            self.compare_servers(now, from, actions);
        }
    }

    /// Compares the servers with another host, unless changes are just on their way.
    fn compare_servers(
        &mut self,
        now: Timestamp,
        from: HostId,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let interval = self.settings.summary;
        if now.since(self.buckets_at) < interval {
            return;
        }
        self.buckets_at = now;
        let digests = self.servers.bucket_digests();
        let buckets = ServerBuckets { digests, wants_answer: true };
        actions.push(send(from, DisseminationMessage::ServerBuckets(buckets)));
    }

    fn send_summaries(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        let due = self.summary_at.is_none_or(|it| now.since(it) >= self.settings.summary);
        if due && !self.view.links.is_empty() {
            self.summary_at = Some(now);
            self.next_link = (self.next_link + 1) % self.view.links.len();
            actions.push(send(self.view.links[self.next_link], self.summary(false)));
        }
        if now.since(self.remote_summary_at) >= self.settings.remote_summary {
            self.remote_summary_at = now;
            let hosts = self.view.entry.values().flatten().chain(&self.view.control).copied();
            let hosts = hosts.filter(|it| *it != self.settings.host).collect::<Vec<_>>();
            if !hosts.is_empty() {
                let host = hosts[self.rng.next_u64() as usize % hosts.len()];
                actions.push(send(host, self.summary(true)));
            }
        }
    }

    fn recover(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        self.judge_recovery(now);
        if !self.recovery.question_due(now, self.settings.recovery_question) {
            return;
        }
        let mut hosts = self.view.links.clone();
        hosts.extend(&self.view.control);
        hosts.sort_unstable();
        hosts.dedup();
        hosts.retain(|it| *it != self.settings.host);
        for host in hosts {
            actions.push(send(host, self.summary(true)));
        }
    }

    fn judge_recovery(&mut self, now: Timestamp) {
        let held = self.config.stamp.version;
        self.recovery.judge(now, held, &self.view, &self.settings);
    }

    /// Reports the version in force to the relay.
    fn acknowledge(&mut self, actions: &mut Vec<DisseminationAction>) {
        let version = self.config.stamp.version;
        if version == ConfigVersion(0) {
            return;
        }
        let host = self.settings.host;
        self.acknowledgements.note(host, version);
        if let Some(relay) = self.view.relay
            && relay != host
        {
            let group = schema::dissemination::VersionGroup { version, hosts: vec![host] };
            actions.push(send(relay, DisseminationMessage::InForce(vec![group])));
        }
    }

    fn pass_on_acknowledgements(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        if now.since(self.acknowledgements.repeated_at) >= self.settings.acknowledge_again {
            self.acknowledgements.repeated_at = now;
            self.acknowledge(actions);
            let local = self.local_hosts();
            self.acknowledgements.repeat(local.into_iter());
        }
        let due = now.since(self.acknowledgements.sent_at) >= self.settings.acknowledge;
        if !due || self.view.relay != Some(self.settings.host) {
            return;
        }
        self.acknowledgements.sent_at = now;
        let groups = self.acknowledgements.take_unsent();
        if groups.is_empty() {
            return;
        }
        for host in self.view.control.iter().filter(|it| **it != self.settings.host) {
            actions.push(send(*host, DisseminationMessage::InForce(groups.clone())));
        }
    }

    /// The hosts of this host's own data centre that report to it.
    fn local_hosts(&self) -> Vec<HostId> {
        let own = self.settings.host;
        let local = self.view.entry.values().find(|it| it.contains(&own));
        let mut hosts = local.cloned().unwrap_or_default();
        hosts.push(own);
        hosts
    }

    pub(crate) fn send_to_links(
        &self,
        message: &DisseminationMessage,
        except: Option<HostId>,
        actions: &mut Vec<DisseminationAction>,
    ) {
        for link in self.view.links.iter().filter(|it| Some(**it) != except) {
            actions.push(send(*link, message.clone()));
        }
    }
}

/// An action that sends a message.
pub(crate) fn send(to: HostId, message: DisseminationMessage) -> DisseminationAction {
    DisseminationAction::Send { to, message }
}
