//! Finds the fleet through seeds and keeps the lists of hosts equal.

use std::net::SocketAddr;

use ids::{HostId, Millis, Timestamp};
use schema::membership::{Join, MemberState, MemberUpdate, MembershipMessage};

use crate::{
    membership::{Membership, MembershipAction},
    probing::choose,
};

/// Seeds that a starting host asks at a time.
const SEEDS_AT_ONCE: usize = 2;

/// Between two searches for records to forget.
const FORGET_INTERVAL: Millis = Millis(5_000);

impl Membership {
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
        self.take_updates(now, Some(from), vec![update], actions);
        self.correct_sender(from, actions);
        if join.wants_list {
            let records = self.table.live().cloned().collect();
            self.send_records(from, records, actions);
        }
    }

    /// Asks the seeds for the list until one has answered.
    pub(crate) fn request_join(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let due = self.last_join.is_none_or(|it| now.since(it) >= self.settings.timing.join);
        if self.has_list || !due {
            return;
        }
        self.last_join = Some(now);
        for _ in 0..SEEDS_AT_ONCE {
            if let Some(seed) = choose(&mut self.rng, &self.seeds) {
                actions.push(self.join_to(seed.host, seed.address));
            }
        }
    }

    /// Tries to reach seeds that are not known to be live, and one dead host.
    pub(crate) fn rejoin(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if now.since(self.last_rejoin) < self.settings.timing.rejoin {
            return;
        }
        self.last_rejoin = now;
        for seed in self.seeds.iter().filter(|it| !self.is_live(it.host)) {
            actions.push(self.join_to(seed.host, seed.address));
        }
        let dead = self.table.members().filter(|it| it.state == MemberState::Dead);
        let dead = dead.map(|it| (it.host, it.peer_address)).collect::<Vec<_>>();
        if let Some((host, address)) = choose(&mut self.rng, &dead) {
            actions.push(self.join_to(host, address));
        }
    }

    fn join_to(&self, to: HostId, address: SocketAddr) -> MembershipAction {
        let join = Join { member: self.own(), wants_list: true };
        MembershipAction::Send { to, address, message: MembershipMessage::Join(join) }
    }

    /// Tells a host that others hold it to be lost, so that it can contradict.
    pub(crate) fn correct_sender(&self, from: HostId, actions: &mut Vec<MembershipAction>) {
        if let Some(entry) = self.table.get(from)
            && entry.member.state == MemberState::Dead
        {
            let record = entry.member.clone();
            self.send_records(from, vec![record], actions);
        }
    }

    /// Compares the whole list with one host whose list has differed for a while.
    pub(crate) fn compare_lists(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let after = self.settings.timing.differ;
        if now.since(self.last_compare) < after {
            return;
        }
        let differing = self
            .links
            .iter()
            .filter(|(_, it)| it.differs.is_some_and(|since| now.since(since) >= after))
            .map(|(host, _)| *host)
            .collect::<Vec<_>>();
        let Some(host) = choose(&mut self.rng, &differing) else {
            return;
        };
        self.last_compare = now;
        let buckets = self.table.bucket_digests();
        self.send(host, MembershipMessage::Buckets(buckets), actions);
    }

    pub(crate) fn forget_members(&mut self, now: Timestamp) {
        if now.since(self.last_forget) >= FORGET_INTERVAL {
            self.last_forget = now;
            self.table.forget(now, self.settings.timing.forget);
        }
    }
}
