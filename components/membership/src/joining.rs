//! Joins the fleet through seeds and repairs member tables by anti-entropy.

use std::net::SocketAddr;

use ids::{HostId, Millis, Timestamp};
use schema::membership::{Join, MemberState, MemberUpdate, MembershipMessage};

use crate::{
    membership::{Membership, MembershipAction},
    probing::choose,
};

/// Number of join requests that a starting host sends to random seeds at a time.
const SEEDS_PER_ATTEMPT: usize = 2;

/// Time between removals of expired records of dead and stopped hosts.
const TOMBSTONE_SWEEP_INTERVAL: Millis = Millis(5_000);

impl Membership {
    /// Applies the record of a host that joins, and sends it the live records if it wants them.
    pub(crate) fn on_join(
        &mut self,
        now: Timestamp,
        from: HostId,
        join: Join,
        actions: &mut Vec<MembershipAction>,
    ) {
        if join.member.host != from {
            return;
        }
        let update = MemberUpdate::Record(join.member);
        self.apply_updates(now, Some(from), vec![update], actions);
        self.notify_if_dead(from, actions);
        if join.wants_list {
            let records = self.table.live_members().cloned().collect();
            self.send_records(from, records, actions);
        }
    }

    /// Requests the member table from seeds until one has answered.
    pub(crate) fn request_join(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let due =
            self.last_join.is_none_or(|it| now.since(it) >= self.settings.timing.join_interval);
        if self.has_table || !due {
            return;
        }
        self.last_join = Some(now);
        for _ in 0..SEEDS_PER_ATTEMPT {
            if let Some(seed) = choose(&mut self.rng, &self.seeds) {
                actions.push(self.join_action(seed.host, seed.address));
            }
        }
    }

    /// Sends join requests to all seeds that are not live and to one dead host.
    pub(crate) fn rejoin(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if now.since(self.last_rejoin) < self.settings.timing.rejoin_interval {
            return;
        }
        self.last_rejoin = now;
        for seed in self.seeds.iter().filter(|it| !self.is_live(it.host)) {
            actions.push(self.join_action(seed.host, seed.address));
        }
        let dead = self.table.members().filter(|it| it.state == MemberState::Dead);
        let dead = dead.map(|it| (it.host, it.peer_address)).collect::<Vec<_>>();
        if let Some((host, address)) = choose(&mut self.rng, &dead) {
            actions.push(self.join_action(host, address));
        }
    }

    fn join_action(&self, to: HostId, address: SocketAddr) -> MembershipAction {
        let join = Join { member: self.own_record(), wants_list: true };
        MembershipAction::Send { to, address, message: MembershipMessage::Join(join) }
    }

    /// Sends a host its own record if this marks it dead, so that it can refute that.
    pub(crate) fn notify_if_dead(&self, from: HostId, actions: &mut Vec<MembershipAction>) {
        if let Some(entry) = self.table.get(from)
            && entry.member.state == MemberState::Dead
        {
            let record = entry.member.clone();
            self.send_records(from, vec![record], actions);
        }
    }

    /// Sends the bucket digests to one host whose table has differed for a while.
    pub(crate) fn start_anti_entropy(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let delay = self.settings.timing.anti_entropy_delay;
        if now.since(self.last_anti_entropy) < delay {
            return;
        }
        let differing = self
            .links
            .iter()
            .filter(|(_, it)| it.table_differs_since.is_some_and(|since| now.since(since) >= delay))
            .map(|(host, _)| *host)
            .collect::<Vec<_>>();
        let Some(host) = choose(&mut self.rng, &differing) else {
            return;
        };
        self.last_anti_entropy = now;
        let buckets = self.table.bucket_digests();
        self.send(host, MembershipMessage::Buckets(buckets), actions);
    }

    /// Removes the expired records of dead and stopped hosts from time to time.
    pub(crate) fn remove_tombstones(&mut self, now: Timestamp) {
        if now.since(self.last_tombstone_sweep) >= TOMBSTONE_SWEEP_INTERVAL {
            self.last_tombstone_sweep = now;
            self.table.remove_tombstones(now, self.settings.timing.tombstone_retention);
        }
    }
}
