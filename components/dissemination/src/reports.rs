//! Acknowledges the version in force to the control hosts, through the relay of the data centre.

use ids::{ConfigVersion, HostId, Timestamp};
use schema::dissemination::{DisseminationMessage, VersionGroup};

use crate::dissemination::{Dissemination, DisseminationAction, send};

impl Dissemination {
    /// Records the version in force and sends it to the relay.
    pub(crate) fn acknowledge(&mut self, actions: &mut Vec<DisseminationAction>) {
        let version = self.config.stamp.version;
        if version == ConfigVersion(0) {
            return;
        }
        let host = self.settings.host;
        self.acknowledgements.record(host, version);
        if let Some(relay) = self.view.relay
            && relay != host
        {
            let group = VersionGroup { version, hosts: vec![host] };
            actions.push(send(relay, DisseminationMessage::InForce(vec![group])));
        }
    }

    /// Repeats the acknowledgement of this host when due, as messages may be lost; on a relay,
    /// forwards the collected ones to the control hosts in batches.
    pub(crate) fn forward_acknowledgements(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<DisseminationAction>,
    ) {
        if now.since(self.acknowledgements.repeated_at) >= self.settings.acknowledge_repeat_interval
        {
            self.acknowledgements.repeated_at = now;
            self.acknowledge(actions);
            let local = self.local_hosts();
            self.acknowledgements.mark_unsent(local.into_iter());
        }
        let due = now.since(self.acknowledgements.sent_at) >= self.settings.acknowledge_interval;
        if !due || self.view.relay != Some(self.settings.host) {
            return;
        }
        self.acknowledgements.sent_at = now;
        let groups = self.acknowledgements.take_unsent();
        if groups.is_empty() {
            return;
        }
        for host in self.view.control_hosts.iter().filter(|it| **it != self.settings.host) {
            actions.push(send(*host, DisseminationMessage::InForce(groups.clone())));
        }
    }

    /// Returns this host and, if it is an entry host, the live entry hosts of its data centre.
    fn local_hosts(&self) -> Vec<HostId> {
        let own = self.settings.host;
        let local = self.view.entry_hosts.values().find(|it| it.contains(&own));
        let mut hosts = local.cloned().unwrap_or_default();
        hosts.push(own);
        hosts
    }
}
