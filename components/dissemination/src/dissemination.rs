//! The entry points of the component: messages, ticks and publications.

use std::sync::Arc;

use ids::{Blob, ConfigVersion, ContentDigest, Epoch, HostId, ServerId, Timestamp};
use rand_xoshiro::{Xoshiro256PlusPlus, rand_core::SeedableRng};
use schema::{
    announcement::Announcement,
    config_text::ConfigText,
    dissemination::{ClaimMapCopy, ConfigStamp, DisseminationMessage},
};

use crate::{
    acknowledgements::Acknowledgements, active_config::ActiveConfig, claim_map::LatestClaimMap,
    fragments::Fragments, pull::Pull, recovery::Recovery, renewals::Renewals, servers::Servers,
    settings::DisseminationSettings, view::View,
};

/// An action for the owner of this component.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DisseminationAction {
    /// Send a message, which may be lost.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: DisseminationMessage,
    },
    /// A newer configuration came into force.
    ConfigInForce {
        /// The version of the configuration.
        version: ConfigVersion,
        /// Digest of the text that was submitted.
        digest: ContentDigest,
        /// The configuration; its lists are in fragment order, which is the same on every host.
        config: Arc<ConfigText>,
    },
    /// A backend server is new, or its announcement changed.
    ServerChanged {
        /// The latest announcement.
        announcement: Announcement,
    },
    /// A backend server did not renew its announcement in time; it stays in use.
    ServerStale {
        /// The server.
        server: ServerId,
    },
    /// A stale backend server renewed its announcement.
    ServerFresh {
        /// The server.
        server: ServerId,
    },
    /// A backend server stopped, or has been stale for the retention time.
    ServerRemoved {
        /// The server.
        server: ServerId,
    },
    /// A newer claim map was received or published.
    ClaimMapChanged {
        /// The epoch of the claim map.
        epoch: Epoch,
        /// The encoded claim map.
        content: Blob,
    },
}

/// The replicated data of one host: configuration, backend servers and claim map.
pub struct Dissemination {
    pub(crate) settings: DisseminationSettings,
    pub(crate) view: View,
    pub(crate) servers: Servers,
    pub(crate) renewals: Renewals,
    pub(crate) config: ActiveConfig,
    pub(crate) pull: Option<Pull>,
    pub(crate) claim_map: LatestClaimMap,
    pub(crate) recovery: Recovery,
    pub(crate) acknowledgements: Acknowledgements,
    pub(crate) rng: Xoshiro256PlusPlus,
    /// On a control host: whether its configuration is known to be the newest.
    pub(crate) config_is_current: bool,
    /// Number of stamps seen with different content for the version in force.
    pub(crate) conflicts: u64,
    pub(crate) summary_sent_at: Option<Timestamp>,
    pub(crate) remote_summary_sent_at: Timestamp,
    /// Time at which bucket digests were last sent to start a comparison.
    pub(crate) buckets_sent_at: Timestamp,
    /// Time of the last search for expired servers.
    pub(crate) expiry_checked_at: Timestamp,
    /// Index of the link that received the last summary.
    pub(crate) last_link: usize,
}

impl Dissemination {
    /// Creates the state of a host that holds no data yet.
    pub fn new(settings: DisseminationSettings) -> Self {
        let rng = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
        Self {
            settings,
            view: View::default(),
            servers: Servers::new(),
            renewals: Renewals::default(),
            config: ActiveConfig::new(),
            pull: None,
            claim_map: LatestClaimMap::new(),
            recovery: Recovery::new(),
            acknowledgements: Acknowledgements::default(),
            rng,
            config_is_current: false,
            conflicts: 0,
            summary_sent_at: None,
            remote_summary_sent_at: Timestamp::default(),
            buckets_sent_at: Timestamp::default(),
            expiry_checked_at: Timestamp::default(),
            last_link: 0,
        }
    }

    /// Replaces the view of the fleet after a membership change.
    pub fn set_view(&mut self, now: Timestamp, view: View) -> Vec<DisseminationAction> {
        let mut actions = Vec::new();
        let new_relay = view.relay != self.view.relay;
        let changed = view.changed_data_centres(&self.view);
        self.view = view;
        self.assign_monitors(now, &changed);
        if new_relay {
            self.acknowledge(&mut actions);
        }
        actions
    }

    /// On a control host: sets whether its configuration is known to be the newest.
    pub fn set_current(&mut self, current: bool) {
        self.config_is_current = current;
        if current {
            self.recovery.record_answer(self.settings.host, self.config.stamp.version, true);
        }
    }

    /// On a control host: publishes a committed configuration to the fleet.
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

    /// On a control host: publishes a committed claim map to the fleet.
    pub fn publish_claim_map(&mut self, epoch: Epoch, content: Blob) -> Vec<DisseminationAction> {
        let mut actions = Vec::new();
        self.install_claim_map(epoch, content, &mut actions);
        actions
    }

    /// Handles a message from another host.
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
                self.on_config_offer(now, from, stamp, &mut actions);
            }
            DisseminationMessage::ConfigRequest(request) => {
                let answer = self.config.delta_or_manifest(request.held);
                actions.extend(answer.map(|message| send(from, message)));
            }
            DisseminationMessage::ConfigDelta(delta) => {
                self.on_config_delta(now, delta, &mut actions);
            }
            DisseminationMessage::ConfigManifest(manifest) => {
                self.on_config_manifest(now, from, manifest, &mut actions);
            }
            DisseminationMessage::FragmentRequest(keys) => {
                let messages = self.config.fragment_messages(&keys);
                actions.extend(messages.into_iter().map(|it| send(from, it)));
            }
            DisseminationMessage::Fragments(fragments) => {
                if let Some(pull) = &mut self.pull {
                    pull.add_fragments(fragments);
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
                self.on_server_records(now, from, records, &mut actions);
            }
            DisseminationMessage::Renewals(renewals) => {
                self.on_renewals(now, renewals, &mut actions);
            }
            DisseminationMessage::ServerBuckets(buckets) => {
                self.on_server_buckets(from, &buckets, &mut actions);
            }
            DisseminationMessage::InForce(groups) => self.acknowledgements.record_groups(groups),
        }
        actions
    }

    /// Runs periodic work; call it every 50 to 100 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<DisseminationAction> {
        let mut actions = Vec::new();
        self.retry_pull(now, &mut actions);
        self.tick_recovery(now, &mut actions);
        self.send_summaries(now, &mut actions);
        self.forward_acknowledgements(now, &mut actions);
        self.send_renewals(now, &mut actions);
        self.check_renewals(now, &mut actions);
        actions
    }

    /// Returns whether this host may act on its configuration, after checking with other hosts that
    /// it is the newest.
    pub fn is_ready(&self) -> bool {
        self.recovery.is_ready()
    }

    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.config.stamp.version
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<ConfigText>> {
        self.config.text.as_ref()
    }

    /// On a control host: returns the version that each host last reported as in force.
    pub fn reported_versions(&self) -> impl Iterator<Item = (HostId, ConfigVersion)> {
        self.acknowledgements.versions.iter().map(|(host, version)| (*host, *version))
    }

    /// Returns how often an offer or publication gave different content for the version in force.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Sends `message` to all links except `except`.
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

/// Returns an action that sends `message` to `to`.
pub(crate) fn send(to: HostId, message: DisseminationMessage) -> DisseminationAction {
    DisseminationAction::Send { to, message }
}
