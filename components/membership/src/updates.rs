//! Takes in changed records and passes them on.

use ids::{HostId, Incarnation, Timestamp};
use schema::membership::{Member, MemberState, MemberUpdate, MembershipMessage};

use crate::{
    gossip,
    lifecycle::State,
    membership::{Membership, MembershipAction},
    table::Applied,
};

impl Membership {
    pub(crate) fn take_updates(
        &mut self,
        now: Timestamp,
        from: Option<HostId>,
        updates: Vec<MemberUpdate>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut fresh = Vec::new();
        for update in updates {
            if self.take_update(now, &update, actions) {
                fresh.push(update);
            }
        }
        if !fresh.is_empty() {
            self.spread(now, from, fresh, actions);
        }
    }

    /// Applies one update; returns whether it is news.
    fn take_update(
        &mut self,
        now: Timestamp,
        update: &MemberUpdate,
        actions: &mut Vec<MembershipAction>,
    ) -> bool {
        match update {
            MemberUpdate::Record(member) if member.host == self.settings.host => {
                self.contradict(now, member.incarnation, member.revision, member.state, actions);
                false
            }
            MemberUpdate::Dead(version) if version.host == self.settings.host => {
                let dead = MemberState::Dead;
                self.contradict(now, version.incarnation, version.revision, dead, actions);
                false
            }
            MemberUpdate::Suspected(it) if it.suspect.host == self.settings.host => {
                let (incarnation, revision) = (it.suspect.incarnation, it.suspect.revision);
                self.contradict(now, incarnation, revision, MemberState::Dead, actions);
                false
            }
            MemberUpdate::Record(member) => {
                let applied = self.table.apply(now, member.clone());
                self.report(member.host, applied, actions)
            }
            MemberUpdate::Dead(version) => {
                let applied = self.table.mark_dead(now, version);
                self.report(version.host, applied, actions)
            }
            MemberUpdate::Suspected(suspicion) => self.table.suspect(now, suspicion),
        }
    }

    /// Raises this host's revision above one that others hold it dead or changed by.
    fn contradict(
        &mut self,
        now: Timestamp,
        incarnation: Incarnation,
        revision: u64,
        state: MemberState,
        actions: &mut Vec<MembershipAction>,
    ) {
        let seen = (incarnation, revision);
        let own = (self.incarnation, self.revision);
        let stopped = matches!(self.lifecycle.state(), State::Stopped {});
        if seen < own || (seen == own && state != MemberState::Dead) || stopped {
            return;
        }
        if incarnation > self.incarnation {
            self.incarnation = incarnation.next();
        }
        self.revision = self.revision.max(revision);
        self.renew_own_record(now, actions);
    }

    /// Tells the caller of a change; returns whether it is news.
    fn report(
        &mut self,
        host: HostId,
        applied: Applied,
        actions: &mut Vec<MembershipAction>,
    ) -> bool {
        let Some(member) = self.member(host).cloned() else {
            return false;
        };
        match applied {
            Applied::Old => return false,
            Applied::Noted => return true,
            Applied::Joined => actions.push(MembershipAction::Joined { member }),
            Applied::Changed => actions.push(MembershipAction::Changed { member }),
            Applied::Lost => actions.push(MembershipAction::Lost { member }),
        }
        self.topology_is_old = true;
        true
    }

    /// Spreads this host's record under a higher revision.
    pub(crate) fn renew_own_record(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        self.revision += 1;
        let own = self.own();
        self.table.apply(now, own.clone());
        self.topology_is_old = true;
        self.spread(now, None, vec![MemberUpdate::Record(own)], actions);
    }

    /// Sends changes to all links but the one that they came from.
    pub(crate) fn spread(
        &mut self,
        now: Timestamp,
        except: Option<HostId>,
        updates: Vec<MemberUpdate>,
        actions: &mut Vec<MembershipAction>,
    ) {
        for update in &updates {
            self.gossip.add(now, update);
        }
        let targets = self.links.keys().copied().filter(|it| Some(*it) != except);
        let targets = targets.collect::<Vec<_>>();
        for page in gossip::pages(updates) {
            for target in &targets {
                self.send(*target, MembershipMessage::Updates(page.clone()), actions);
            }
        }
    }

    pub(crate) fn send_records(
        &self,
        to: HostId,
        records: Vec<Member>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let updates = records.into_iter().map(MemberUpdate::Record).collect();
        for page in gossip::pages(updates) {
            self.send(to, MembershipMessage::Updates(page), actions);
        }
    }
}
