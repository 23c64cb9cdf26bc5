//! Applies updates of member records and forwards them to linked hosts.

use ids::{HostId, Incarnation, Timestamp};
use schema::membership::{Member, MemberState, MemberUpdate, MembershipMessage};

use crate::{
    gossip,
    lifecycle::State,
    membership::{Membership, MembershipAction},
    table::ApplyOutcome,
};

impl Membership {
    /// Applies updates and forwards the new ones to all links except `from`.
    pub(crate) fn apply_updates(
        &mut self,
        now: Timestamp,
        from: Option<HostId>,
        updates: Vec<MemberUpdate>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut new_updates = Vec::new();
        for update in updates {
            if self.apply_update(now, &update, actions) {
                new_updates.push(update);
            }
        }
        if !new_updates.is_empty() {
            self.broadcast_updates(now, from, new_updates, actions);
        }
    }

    /// Applies one update; returns whether it is new and has to be forwarded.
    fn apply_update(
        &mut self,
        now: Timestamp,
        update: &MemberUpdate,
        actions: &mut Vec<MembershipAction>,
    ) -> bool {
        match update {
            MemberUpdate::Record(member) if member.host == self.settings.host => {
                self.refute(now, member.incarnation, member.revision, member.state, actions);
                false
            }
            MemberUpdate::Dead(version) if version.host == self.settings.host => {
                let dead = MemberState::Dead;
                self.refute(now, version.incarnation, version.revision, dead, actions);
                false
            }
            MemberUpdate::Suspected(it) if it.suspect.host == self.settings.host => {
                let (incarnation, revision) = (it.suspect.incarnation, it.suspect.revision);
                self.refute(now, incarnation, revision, MemberState::Dead, actions);
                false
            }
            MemberUpdate::Record(member) => {
                let outcome = self.table.apply(now, member.clone());
                self.report_change(member.host, outcome, actions)
            }
            MemberUpdate::Dead(version) => {
                let outcome = self.table.mark_dead(now, version);
                self.report_change(version.host, outcome, actions)
            }
            MemberUpdate::Suspected(suspicion) => self.table.add_suspicion(now, suspicion),
        }
    }

    /// Publishes a higher version of the own record if others have one that overrides it.
    ///
    /// This refutes suspicions and reports of death, and replaces records that are newer than the
    /// own one.
    fn refute(
        &mut self,
        now: Timestamp,
        incarnation: Incarnation,
        revision: u64,
        state: MemberState,
        actions: &mut Vec<MembershipAction>,
    ) {
        let remote_version = (incarnation, revision);
        let own_version = (self.incarnation, self.revision);
        let stopped = matches!(self.lifecycle.state(), State::Stopped {});
        if remote_version < own_version
            || (remote_version == own_version && state != MemberState::Dead)
            || stopped
        {
            return;
        }
        if incarnation > self.incarnation {
            self.incarnation = incarnation.next();
        }
        self.revision = self.revision.max(revision);
        self.publish_own_record(now, actions);
    }

    /// Adds the action for a change of the table; returns whether the update is new.
    fn report_change(
        &mut self,
        host: HostId,
        outcome: ApplyOutcome,
        actions: &mut Vec<MembershipAction>,
    ) -> bool {
        let Some(member) = self.member(host).cloned() else {
            return false;
        };
        match outcome {
            ApplyOutcome::Ignored => return false,
            ApplyOutcome::TombstoneChanged => return true,
            ApplyOutcome::Joined => actions.push(MembershipAction::Joined { member }),
            ApplyOutcome::Changed => actions.push(MembershipAction::Changed { member }),
            ApplyOutcome::Lost => actions.push(MembershipAction::Lost { member }),
        }
        self.topology_stale = true;
        true
    }

    /// Increments the revision of the own record and sends it to all links.
    pub(crate) fn publish_own_record(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.revision += 1;
        let own = self.own_record();
        self.table.apply(now, own.clone());
        self.topology_stale = true;
        self.broadcast_updates(now, None, vec![MemberUpdate::Record(own)], actions);
    }

    /// Sends updates to all links except `except`, and keeps them for piggybacking.
    pub(crate) fn broadcast_updates(
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
        for batch in gossip::split_into_batches(updates) {
            for target in &targets {
                self.send(*target, MembershipMessage::Updates(batch.clone()), actions);
            }
        }
    }

    /// Sends records to one host, in as many messages as they need.
    pub(crate) fn send_records(
        &self,
        to: HostId,
        records: Vec<Member>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let updates = records.into_iter().map(MemberUpdate::Record).collect();
        for batch in gossip::split_into_batches(updates) {
            self.send(to, MembershipMessage::Updates(batch), actions);
        }
    }
}
