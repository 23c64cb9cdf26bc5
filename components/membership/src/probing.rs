//! Suspicion of silent hosts, by direct and indirect probes.

use ids::{DataCentreName, HostId, Millis, Timestamp};
use rand_xoshiro::{Xoshiro256PlusPlus, rand_core::RngCore};
use schema::membership::{MemberUpdate, MembershipMessage, Probe, Suspicion};

use crate::{
    membership::{Membership, MembershipAction},
    table::version_of,
};

/// Hosts asked to probe a silent one, each round.
const HELPERS: usize = 3;

/// Between two rounds of probes.
const ROUND: Millis = Millis(250);

/// Between two reports of a relay on unreachable data centres.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// Hosts of a silent data centre that its peers' relay probes each round.
const REMOTE_PROBES: usize = 3;

/// A host of a larger data centre is judged by hosts of that data centre alone.
const JUDGED_BY_OTHERS: usize = 2;

impl Membership {
    /// Probes silent hosts and suspects those that answer nobody.
    pub(crate) fn watch_links(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        self.drop_unused_links(now);
        let silence = self.settings.timing.silence;
        let hosts = self.links.keys().copied().collect::<Vec<_>>();
        for host in hosts {
            let Some(link) = self.links.get_mut(&host) else {
                continue;
            };
            if link.is_two_way(now, silence) {
                link.probing = None;
                let proven = link.is_proven(now, silence);
                self.withdraw_suspicion(host);
                if proven {
                    self.prove_data_centre(now, host);
                }
            } else if self.may_judge(host) {
                self.probe(now, host, actions);
            }
        }
    }

    /// Declares suspects dead that have not contradicted in time.
    pub(crate) fn judge_suspects(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let own = self.settings.host;
        let timing = &self.settings.timing;
        let mut dead = Vec::new();
        for entry in self.table.suspects() {
            let shared = entry.suspected_by.len() >= 2;
            let wait = if shared { timing.shared_suspicion } else { timing.lone_suspicion };
            if entry.suspected_by.contains(&own) && now.since(entry.suspected_at) >= wait {
                dead.push(MemberUpdate::Dead(version_of(&entry.member)));
            }
        }
        self.take_updates(now, None, dead, actions);
    }

    /// After a pause of this host itself, the silence of others proves nothing.
    pub(crate) fn forgive_silence(&mut self, now: Timestamp) {
        for link in self.links.values_mut() {
            link.since = now;
            link.probing = None;
        }
        let hosts = self.links.keys().copied().collect::<Vec<_>>();
        for host in hosts {
            self.withdraw_suspicion(host);
        }
        self.reach.reset();
    }

    /// As relay, finds out which data centres cannot be reached and tells its own.
    pub(crate) fn watch_data_centres(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        if !self.is_relay() {
            self.reach.found.clear();
            return;
        }
        let limit = self.settings.timing.remote_silence;
        let own = self.settings.data_centre.clone();
        let others = self.topology.sizes.keys().filter(|it| **it != own).cloned();
        let mut unreachable = Vec::new();
        let probe_due = now.since(self.reach.probed) >= ROUND;
        for data_centre in others.collect::<Vec<_>>() {
            let silence = self.reach.silence(now, &data_centre);
            if silence.0 > limit.0 / 2 && probe_due {
                self.reach.probed = now;
                self.probe_data_centre(&data_centre, actions);
            }
            if silence > limit {
                unreachable.push(data_centre);
            }
        }
        self.report_unreachable(now, unreachable, actions);
    }

    pub(crate) fn prove_data_centre(&mut self, now: Timestamp, host: HostId) {
        if let Some(entry) = self.table.get(host) {
            self.reach.prove(now, &entry.member.data_centre);
        }
    }

    fn report_unreachable(
        &mut self,
        now: Timestamp,
        unreachable: Vec<DataCentreName>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let found = unreachable.iter().cloned().collect();
        let changed = self.reach.found != found;
        let due = now.since(self.reach.sent) >= REPORT_INTERVAL && !unreachable.is_empty();
        self.reach.found = found;
        if !changed && !due {
            return;
        }
        self.reach.sent = now;
        let own = &self.settings.data_centre;
        let local = self.table.live().filter(|it| it.data_centre == *own);
        for host in local.map(|it| it.host).filter(|it| *it != self.settings.host) {
            self.send(host, MembershipMessage::Unreachable(unreachable.clone()), actions);
        }
    }

    fn probe_data_centre(
        &mut self,
        data_centre: &DataCentreName,
        actions: &mut Vec<MembershipAction>,
    ) {
        let hosts = self.table.live().filter(|it| it.data_centre == *data_centre);
        let hosts = hosts.map(|it| it.host).collect::<Vec<_>>();
        for _ in 0..REMOTE_PROBES {
            if let Some(target) = choose(&mut self.rng, &hosts) {
                let probe = Probe { origin: self.settings.host, target };
                self.send(target, MembershipMessage::Probe(probe), actions);
            }
        }
    }

    /// Ends the exchange with hosts that neither side counts among its links any more.
    fn drop_unused_links(&mut self, now: Timestamp) {
        let silence = self.settings.timing.silence;
        let topology = &self.topology;
        self.links.retain(|host, link| {
            topology.links_to(*host) || link.wanted.is_some_and(|it| now.since(it) <= silence)
        });
    }

    /// Whether this host's silence towards the other one counts for the whole fleet.
    fn may_judge(&self, host: HostId) -> bool {
        let Some(member) = self.member(host) else {
            return false;
        };
        member.data_centre == self.settings.data_centre
            || self.topology.size(&member.data_centre) <= JUDGED_BY_OTHERS
    }

    fn probe(&mut self, now: Timestamp, host: HostId, actions: &mut Vec<MembershipAction>) {
        let timing = self.settings.timing.clone();
        let helpers = self.helpers(now, host);
        let Some(link) = self.links.get_mut(&host) else {
            return;
        };
        let since = *link.probing.get_or_insert(now);
        let answered = link.is_heard_indirectly(now, timing.silence);
        let due = link.probed.is_none_or(|it| now.since(it) >= ROUND);
        if due {
            link.probed = Some(now);
            let probe = Probe { origin: self.settings.host, target: host };
            self.send(host, MembershipMessage::Probe(probe.clone()), actions);
            for helper in &helpers {
                self.send(*helper, MembershipMessage::ProbeRequest(probe.clone()), actions);
            }
        }
        if answered {
            self.withdraw_suspicion(host);
        } else if now.since(since) >= timing.probing && !helpers.is_empty() {
            self.suspect(now, host, actions);
        }
    }

    /// Hosts that are known to hear this one and to be heard by it.
    fn helpers(&mut self, now: Timestamp, host: HostId) -> Vec<HostId> {
        let silence = self.settings.timing.silence;
        let mut proven = self
            .links
            .iter()
            .filter(|(other, link)| **other != host && link.is_proven(now, silence))
            .map(|(other, _)| *other)
            .collect::<Vec<_>>();
        let mut helpers = Vec::new();
        while helpers.len() < HELPERS
            && let Some(helper) = choose(&mut self.rng, &proven)
        {
            proven.retain(|it| *it != helper);
            helpers.push(helper);
        }
        helpers
    }

    fn suspect(&mut self, now: Timestamp, host: HostId, actions: &mut Vec<MembershipAction>) {
        let Some(entry) = self.table.get(host) else {
            return;
        };
        let own = self.settings.host;
        let suspicion = Suspicion { suspect: version_of(&entry.member), by: own };
        self.take_updates(now, None, vec![MemberUpdate::Suspected(suspicion)], actions);
    }

    fn withdraw_suspicion(&mut self, host: HostId) {
        let own = self.settings.host;
        self.table.unsuspect(host, own);
    }
}

/// Chooses one of `items` at random.
pub(crate) fn choose<T: Copy>(rng: &mut Xoshiro256PlusPlus, items: &[T]) -> Option<T> {
    if items.is_empty() {
        return None;
    }
    let index = rng.next_u64() as usize % items.len();
    items.get(index).copied()
}
