//! Failure detection of hosts and data centres by direct and indirect probes.

use ids::{DataCentreName, HostId, Millis, Timestamp};
use rand_xoshiro::{Xoshiro256PlusPlus, rand_core::RngCore};
use schema::membership::{MemberUpdate, MembershipMessage, Probe, Suspicion};

use crate::{
    membership::{Membership, MembershipAction},
    table::version_of,
};

/// Number of helpers that are asked to probe an unresponsive host in each round.
const HELPERS_PER_ROUND: usize = 3;

/// Time between two rounds of probes.
const PROBE_INTERVAL: Millis = Millis(250);

/// Time after which a relay repeats its report of unreachable data centres.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// Number of probes that a relay sends to an unresponsive data centre in each round.
const REMOTE_PROBES_PER_ROUND: usize = 3;

/// Hosts of other data centres suspect a host only if its data centre has at most this many live
/// hosts; in a larger one, only its own hosts do.
const REMOTE_SUSPICION_MAX_HOSTS: usize = 2;

impl Membership {
    /// Probes unresponsive hosts and suspects those that answer no probe.
    pub(crate) fn check_links(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        self.drop_unused_links(now);
        let link_timeout = self.settings.timing.link_timeout;
        let hosts = self.links.keys().copied().collect::<Vec<_>>();
        for host in hosts {
            let Some(link) = self.links.get_mut(&host) else {
                continue;
            };
            if link.is_two_way(now, link_timeout) {
                link.probing_since = None;
                let confirmed = link.is_confirmed(now, link_timeout);
                self.withdraw_suspicion(host);
                if confirmed {
                    self.confirm_data_centre(now, host);
                }
            } else if self.may_suspect(host) {
                self.probe_host(now, host, actions);
            }
        }
    }

    /// Declares the hosts dead that this host suspects and that have not refuted this in time.
    pub(crate) fn expire_suspicions(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let own_host = self.settings.host;
        let timing = &self.settings.timing;
        let mut dead = Vec::new();
        for entry in self.table.suspects() {
            let shared = entry.suspected_by.len() >= 2;
            let timeout = if shared {
                timing.shared_suspicion_timeout
            } else {
                timing.single_suspicion_timeout
            };
            if entry.suspected_by.contains(&own_host) && now.since(entry.suspected_at) >= timeout {
                dead.push(MemberUpdate::Dead(version_of(&entry.member)));
            }
        }
        self.apply_updates(now, None, dead, actions);
    }

    /// Restarts failure detection after a stall of this host itself, when missing messages are no
    /// evidence against other hosts.
    pub(crate) fn reset_failure_detection(&mut self, now: Timestamp) {
        for link in self.links.values_mut() {
            link.monitored_since = now;
            link.probing_since = None;
        }
        let hosts = self.links.keys().copied().collect::<Vec<_>>();
        for host in hosts {
            self.withdraw_suspicion(host);
        }
        self.reachability.reset();
    }

    /// As relay, detects unreachable data centres and reports them to the local hosts.
    pub(crate) fn check_data_centres(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        if !self.is_relay() {
            self.reachability.detected_unreachable.clear();
            return;
        }
        let timeout = self.settings.timing.remote_timeout;
        let own_data_centre = self.settings.data_centre.clone();
        let others = self.topology.live_counts.keys().filter(|it| **it != own_data_centre).cloned();
        let mut unreachable = Vec::new();
        let probe_due = now.since(self.reachability.last_probe_sent) >= PROBE_INTERVAL;
        for data_centre in others.collect::<Vec<_>>() {
            let elapsed = self.reachability.time_since_confirmed(now, &data_centre);
            if elapsed.0 > timeout.0 / 2 && probe_due {
                self.reachability.last_probe_sent = now;
                self.probe_data_centre(&data_centre, actions);
            }
            if elapsed > timeout {
                unreachable.push(data_centre);
            }
        }
        self.report_unreachable(now, unreachable, actions);
    }

    /// Records that both directions to the data centre of `host` work.
    pub(crate) fn confirm_data_centre(&mut self, now: Timestamp, host: HostId) {
        if let Some(entry) = self.table.get(host) {
            self.reachability.confirm(now, &entry.member.data_centre);
        }
    }

    fn report_unreachable(
        &mut self,
        now: Timestamp,
        unreachable: Vec<DataCentreName>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let detected = unreachable.iter().cloned().collect();
        let changed = self.reachability.detected_unreachable != detected;
        let repeat_due = now.since(self.reachability.last_report_sent) >= REPORT_INTERVAL
            && !unreachable.is_empty();
        self.reachability.detected_unreachable = detected;
        if !changed && !repeat_due {
            return;
        }
        self.reachability.last_report_sent = now;
        let own_data_centre = &self.settings.data_centre;
        let local = self.table.live_members().filter(|it| it.data_centre == *own_data_centre);
        for host in local.map(|it| it.host).filter(|it| *it != self.settings.host) {
            self.send(host, MembershipMessage::Unreachable(unreachable.clone()), actions);
        }
    }

    fn probe_data_centre(
        &mut self,
        data_centre: &DataCentreName,
        actions: &mut Vec<MembershipAction>,
    ) {
        let hosts = self.table.live_members().filter(|it| it.data_centre == *data_centre);
        let hosts = hosts.map(|it| it.host).collect::<Vec<_>>();
        for _ in 0..REMOTE_PROBES_PER_ROUND {
            if let Some(target) = choose(&mut self.rng, &hosts) {
                let probe = Probe { origin: self.settings.host, target };
                self.send(target, MembershipMessage::Probe(probe), actions);
            }
        }
    }

    /// Drops links that neither this host nor its peer needs any more.
    fn drop_unused_links(&mut self, now: Timestamp) {
        let link_timeout = self.settings.timing.link_timeout;
        let topology = &self.topology;
        self.links.retain(|host, link| {
            topology.links_to(*host)
                || link.last_requested.is_some_and(|it| now.since(it) <= link_timeout)
        });
    }

    /// Returns whether this host may suspect `host` if it is unresponsive.
    fn may_suspect(&self, host: HostId) -> bool {
        let Some(member) = self.member(host) else {
            return false;
        };
        member.data_centre == self.settings.data_centre
            || self.topology.live_count(&member.data_centre) <= REMOTE_SUSPICION_MAX_HOSTS
    }

    /// Probes `host` directly and through helpers, and suspects it if no answer arrives in time.
    ///
    /// Without helpers, it suspects nobody, since the fault may be in this host.
    fn probe_host(&mut self, now: Timestamp, host: HostId, actions: &mut Vec<MembershipAction>) {
        let timing = self.settings.timing.clone();
        let helpers = self.choose_helpers(now, host);
        let Some(link) = self.links.get_mut(&host) else {
            return;
        };
        let probing_since = *link.probing_since.get_or_insert(now);
        let answered = link.has_indirect_answer(now, timing.link_timeout);
        let probe_due = link.last_probe_sent.is_none_or(|it| now.since(it) >= PROBE_INTERVAL);
        if probe_due {
            link.last_probe_sent = Some(now);
            let probe = Probe { origin: self.settings.host, target: host };
            self.send(host, MembershipMessage::Probe(probe.clone()), actions);
            for helper in &helpers {
                self.send(*helper, MembershipMessage::ProbeRequest(probe.clone()), actions);
            }
        }
        if answered {
            self.withdraw_suspicion(host);
        } else if now.since(probing_since) >= timing.probe_timeout && !helpers.is_empty() {
            self.suspect(now, host, actions);
        }
    }

    /// Chooses random hosts other than `host` whose links to this one work in both directions.
    fn choose_helpers(&mut self, now: Timestamp, host: HostId) -> Vec<HostId> {
        let link_timeout = self.settings.timing.link_timeout;
        let mut candidates = self
            .links
            .iter()
            .filter(|(other, link)| **other != host && link.is_confirmed(now, link_timeout))
            .map(|(other, _)| *other)
            .collect::<Vec<_>>();
        let mut helpers = Vec::new();
        while helpers.len() < HELPERS_PER_ROUND
            && let Some(helper) = choose(&mut self.rng, &candidates)
        {
            candidates.retain(|it| *it != helper);
            helpers.push(helper);
        }
        helpers
    }

    fn suspect(&mut self, now: Timestamp, host: HostId, actions: &mut Vec<MembershipAction>) {
        let Some(entry) = self.table.get(host) else {
            return;
        };
        let own_host = self.settings.host;
        let suspicion = Suspicion { suspect: version_of(&entry.member), by: own_host };
        self.apply_updates(now, None, vec![MemberUpdate::Suspected(suspicion)], actions);
    }

    fn withdraw_suspicion(&mut self, host: HostId) {
        let own_host = self.settings.host;
        self.table.remove_suspicion(host, own_host);
    }
}

/// Chooses one of `items` at random, or `None` if there are none.
pub(crate) fn choose<T: Copy>(rng: &mut Xoshiro256PlusPlus, items: &[T]) -> Option<T> {
    if items.is_empty() {
        return None;
    }
    let index = rng.next_u64() as usize % items.len();
    items.get(index).copied()
}
