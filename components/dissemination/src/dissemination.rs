//! The dissemination decisions of one host.

use std::sync::Arc;

use ids::{Blob, ConfigVersion, ContentDigest, Epoch, HostId, ServerId, Timestamp};
use rand_xoshiro::{Xoshiro256PlusPlus, rand_core::SeedableRng};
use schema::{
    announcement::Announcement,
    config_text::ConfigText,
    dissemination::{ClaimMapCopy, ConfigStamp, DisseminationMessage},
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
    pub(crate) config: ConfigSlot,
    pub(crate) pull: Option<Pull>,
    pub(crate) claim_map: ClaimMapSlot,
    pub(crate) recovery: Recovery,
    pub(crate) acknowledgements: Acknowledgements,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) current: bool,
    pub(crate) conflicts: u64,
    pub(crate) summary_at: Option<Timestamp>,
    pub(crate) remote_summary_at: Timestamp,
    pub(crate) buckets_at: Timestamp,
    pub(crate) forgot_at: Timestamp,
    pub(crate) next_link: usize,
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
            DisseminationMessage::ConfigDelta(delta) => self.on_delta(now, delta, &mut actions),
            DisseminationMessage::ConfigManifest(manifest) => {
                self.on_manifest(now, from, manifest, &mut actions);
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
    pub fn reported_versions(&self) -> impl Iterator<Item = (HostId, ConfigVersion)> {
        self.acknowledgements.versions.iter().map(|(host, version)| (*host, *version))
    }

    /// Number of offers that gave other content for the version in force.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
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
