//! Compares the replicated data with other hosts by summaries (anti-entropy).

use ids::{HostId, Timestamp};
use rand_xoshiro::rand_core::RngCore;
use schema::dissemination::{DisseminationMessage, ServerBuckets, Summary};

use crate::dissemination::{Dissemination, DisseminationAction, send};

impl Dissemination {
    fn summary(&self, wants_answer: bool) -> DisseminationMessage {
        DisseminationMessage::Summary(Summary {
            config: self.config.stamp.clone(),
            claim_map: self.claim_map.stamp.clone(),
            servers_digest: self.servers.digest(),
            current: self.config_is_current,
            wants_answer,
        })
    }

    /// Offers what the sender lacks, and requests what this host lacks.
    pub(crate) fn on_summary(
        &mut self,
        now: Timestamp,
        from: HostId,
        summary: Summary,
        actions: &mut Vec<DisseminationAction>,
    ) {
        self.recovery.record_answer(from, summary.config.version, summary.current);
        if summary.wants_answer {
            actions.push(send(from, self.summary(false)));
        }
        if summary.config.version < self.config.stamp.version {
            let offer = DisseminationMessage::ConfigOffer(self.config.stamp.clone());
            actions.push(send(from, offer));
        }
        self.on_config_offer(now, from, summary.config, actions);
        if summary.claim_map.epoch < self.claim_map.stamp.epoch {
            let offer = DisseminationMessage::ClaimMapOffer(self.claim_map.stamp.clone());
            actions.push(send(from, offer));
        }
        self.on_claim_map_offer(from, &summary.claim_map, actions);
        if summary.servers_digest != self.servers.digest() {
            self.compare_servers(now, from, actions);
        }
    }

    /// Sends bucket digests to `from`, at most once per summary interval, since digests also differ
    /// while changes are in flight.
    fn compare_servers(
        &mut self,
        now: Timestamp,
        from: HostId,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let interval = self.settings.summary_interval;
        if now.since(self.buckets_sent_at) < interval {
            return;
        }
        self.buckets_sent_at = now;
        let digests = self.servers.bucket_digests();
        let buckets = ServerBuckets { digests, wants_answer: true };
        actions.push(send(from, DisseminationMessage::ServerBuckets(buckets)));
    }

    /// Sends summaries that are due: to the links in turn and to a random host of the fleet.
    pub(crate) fn send_summaries(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<DisseminationAction>,
    ) {
        let due =
            self.summary_sent_at.is_none_or(|it| now.since(it) >= self.settings.summary_interval);
        if due && !self.view.links.is_empty() {
            self.summary_sent_at = Some(now);
            self.last_link = (self.last_link + 1) % self.view.links.len();
            actions.push(send(self.view.links[self.last_link], self.summary(false)));
        }
        if now.since(self.remote_summary_sent_at) >= self.settings.remote_summary_interval {
            self.remote_summary_sent_at = now;
            let hosts =
                self.view.entry_hosts.values().flatten().chain(&self.view.control_hosts).copied();
            let hosts = hosts.filter(|it| *it != self.settings.host).collect::<Vec<_>>();
            if !hosts.is_empty() {
                let host = hosts[self.rng.next_u64() as usize % hosts.len()];
                actions.push(send(host, self.summary(true)));
            }
        }
    }

    /// While the host is not ready: asks all links and control hosts for their summaries.
    pub(crate) fn tick_recovery(&mut self, now: Timestamp, actions: &mut Vec<DisseminationAction>) {
        self.update_recovery(now);
        if !self.recovery.request_due(now, self.settings.recovery_request_interval) {
            return;
        }
        let mut hosts = self.view.links.clone();
        hosts.extend(&self.view.control_hosts);
        hosts.sort_unstable();
        hosts.dedup();
        hosts.retain(|it| *it != self.settings.host);
        for host in hosts {
            actions.push(send(host, self.summary(true)));
        }
    }

    pub(crate) fn update_recovery(&mut self, now: Timestamp) {
        let held = self.config.stamp.version;
        self.recovery.update(now, held, &self.view, &self.settings);
    }
}
