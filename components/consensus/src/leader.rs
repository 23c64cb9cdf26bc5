//! What a leader does: replicate, accept entries, hold its lease and change members.

use ids::{ByteSize, HostId, LogIndex, Timestamp};
use schema::consensus::{
    Append, AppendReply, AppendResult, ConsensusBody, Entry, InstallReply, Member, Members, Payload,
};
use statig::Outcome::{self, Handled, Super, Transition};

use crate::{
    action::ProposeError,
    leadership::{Leadership, Progress},
    members::{quorum_value, voter, with_learner, with_voter, without},
    message::Received,
    replica::Replica,
    role::State,
    settings::{HEARTBEAT_INTERVAL, MAX_ENTRY_BYTES, MembershipPolicy},
    snapshot,
};

/// Steps down without a majority; sends heartbeats and promotes learners.
pub(crate) fn tick(replica: &mut Replica, leadership: &mut Leadership) -> Outcome<State> {
    let has_majority = leadership.holds_lease(replica, replica.now);
    if !has_majority && leadership.is_settled(replica.now) {
        return step_down(replica);
    }
    if replica.now >= leadership.next_heartbeat {
        broadcast(replica, leadership);
    }
    replace_rolled_back(replica, leadership);
    promote_learner(replica, leadership);
    remove_silent_member(replica, leadership);
    Handled
}

/// Handles answers and announcements.
pub(crate) fn handle(
    replica: &mut Replica,
    leadership: &mut Leadership,
    received: &Received,
) -> Outcome<State> {
    let is_of_this_term = received.term == replica.vote.term;
    match &received.body {
        ConsensusBody::AppendReply(_) | ConsensusBody::InstallReply(_) if !is_of_this_term => {}
        ConsensusBody::AppendReply(reply) => {
            handle_append_reply(replica, leadership, &received.from, reply);
        }
        ConsensusBody::InstallReply(reply) => {
            handle_install_reply(replica, leadership, &received.from, reply);
        }
        ConsensusBody::Hello(_) => {
            readmit(replica, leadership, &received.from);
            return Super;
        }
        _ => return Super,
    }
    if is_removed(replica) {
        return step_down(replica);
    }
    Handled
}

/// Adds a command to the log and sends it out.
pub(crate) fn propose(
    replica: &mut Replica,
    leadership: &mut Leadership,
    payload: Payload,
) -> Result<LogIndex, ProposeError> {
    if !leadership.holds_lease(replica, replica.now) {
        return Err(ProposeError::LeaseExpired);
    }
    if let Payload::Data(data) = &payload
        && data.as_slice().len() > MAX_ENTRY_BYTES
    {
        return Err(ProposeError::TooLarge(ByteSize(MAX_ENTRY_BYTES as u64)));
    }
    let index = replica.append_payload(payload);
    leadership.follow_members(replica, index);
    send_to_due(replica, leadership);
    advance_commit(replica, leadership);
    Ok(index)
}

/// Removes a voter from the log.
pub(crate) fn remove_voter(
    replica: &mut Replica,
    leadership: &mut Leadership,
    host: HostId,
) -> Result<LogIndex, ProposeError> {
    let members = replica.log.members();
    if voter(members, host).is_none() || members.voters.len() == 1 {
        return Err(ProposeError::NotRemovable(host));
    }
    let changed = without(members, host);
    change_members(replica, leadership, changed)
}

/// Sends each member the entries it lacks, or a heartbeat.
pub(crate) fn broadcast(replica: &mut Replica, leadership: &mut Leadership) {
    leadership.next_heartbeat = replica.now + HEARTBEAT_INTERVAL;
    for progress in leadership.progress.values_mut() {
        match is_due(replica, progress) {
            true => send_entries(replica, progress),
            false => send_append(replica, progress, Vec::new()),
        }
    }
}

/// Accepts what a majority has acknowledged, beginning with the leader's first entry.
pub(crate) fn advance_commit(replica: &mut Replica, leadership: &Leadership) {
    let last = replica.log.last_index();
    let matched = |member: &Member| match *member == replica.me {
        true => last,
        false => leadership.progress_of(member).map_or(LogIndex(0), Progress::counted),
    };
    let accepted = quorum_value(replica.log.members(), matched).unwrap_or_default();
    if accepted >= leadership.first_index {
        replica.advance_commit(accepted);
    }
}

fn step_down(replica: &mut Replica) -> Outcome<State> {
    replica.leader = None;
    replica.postpone_election();
    Transition(State::Follower {})
}

fn is_removed(replica: &Replica) -> bool {
    !replica.is_voter() && !replica.has_unsettled_members()
}

/// Whether a member lacks entries, listens, and has none on their way.
fn is_due(replica: &Replica, progress: &Progress) -> bool {
    let lags = progress.next <= replica.log.last_index();
    lags && progress.is_heard(replica.now) && !progress.is_busy(replica.now)
}

fn send_to_due(replica: &mut Replica, leadership: &mut Leadership) {
    for progress in leadership.progress.values_mut() {
        if is_due(replica, progress) {
            send_entries(replica, progress);
        }
    }
}

/// Sends the next entries, or a part of the snapshot when the log does not reach back to them.
fn send_entries(replica: &mut Replica, progress: &mut Progress) {
    progress.in_flight = Some(replica.now);
    if progress.next <= replica.log.snapshot().index {
        snapshot::send_chunk(replica, progress);
        return;
    }
    let entries = replica.log.batch_from(progress.next);
    send_append(replica, progress, entries);
}

fn send_append(replica: &mut Replica, progress: &Progress, entries: Vec<Entry>) {
    let before_next = LogIndex(progress.next.0 - 1);
    let prev_index = before_next.max(replica.log.snapshot().index);
    let prev_term = replica.log.term_at(prev_index).expect("entries after the snapshot are held");
    let append =
        Append { prev_index, prev_term, commit: replica.commit, entries, sent_us: replica.now.0 };
    replica.send(progress.member.host, ConsensusBody::Append(append));
}

fn handle_append_reply(
    replica: &mut Replica,
    leadership: &mut Leadership,
    from: &Member,
    reply: &AppendReply,
) {
    let sent_at = Timestamp(reply.sent_us);
    if !note_answer(replica, leadership, from, sent_at) {
        return;
    }
    let last = replica.log.last_index();
    let progress = leadership.progress_mut(from).expect("an answer was noted");
    match reply.result {
        AppendResult::Matched(index) => progress.note_matched(index.min(last), replica.now),
        AppendResult::Mismatched(index) if index >= progress.matched => {
            progress.next = index.min(last).next();
        }
        AppendResult::Mismatched(_) => {
            progress.is_rolled_back |= sent_at > progress.matched_known_at;
        }
    }
    advance_commit(replica, leadership);
    continue_sending(replica, leadership, from);
}

fn handle_install_reply(
    replica: &mut Replica,
    leadership: &mut Leadership,
    from: &Member,
    reply: &InstallReply,
) {
    if !note_answer(replica, leadership, from, Timestamp(reply.sent_us)) {
        return;
    }
    let progress = leadership.progress_mut(from).expect("an answer was noted");
    snapshot::note_received(replica, progress, reply);
    advance_commit(replica, leadership);
    continue_sending(replica, leadership, from);
}

/// Notes that a member has answered; false when it takes no part with this disk.
fn note_answer(
    replica: &mut Replica,
    leadership: &mut Leadership,
    from: &Member,
    sent_at: Timestamp,
) -> bool {
    let Some(progress) = leadership.progress_mut(from) else {
        return false;
    };
    if progress.in_flight == Some(sent_at) {
        progress.in_flight = None;
    }
    progress.heard_at = Some(replica.now);
    progress.acked_sent_at = progress.acked_sent_at.max(Some(sent_at));
    if leadership.holds_lease(replica, replica.now) {
        replica.leader_heard_at = Some(replica.now);
    }
    true
}

fn continue_sending(replica: &mut Replica, leadership: &mut Leadership, to: &Member) {
    if let Some(progress) = leadership.progress_mut(to)
        && is_due(replica, progress)
    {
        send_entries(replica, progress);
    }
}

/// Takes a host that comes with a new disk, or as a new one, as a learner.
///
/// The voter on its old disk is removed by the same entry. A disk older than the known one was
/// lost and found again, and stays out.
fn readmit(replica: &mut Replica, leadership: &mut Leadership, from: &Member) {
    let members = replica.log.members();
    let known = members.voters.iter().chain(&members.learners).find(|it| it.host == from.host);
    let is_newer = known.is_none_or(|it| from.disk > it.disk);
    let is_allowed = match replica.settings.membership_policy {
        MembershipPolicy::Listed => replica.settings.voters.contains(&from.host),
        MembershipPolicy::Open { .. } => true,
    };
    if !is_newer || !is_allowed {
        return;
    }
    let changed = with_learner(members, from.clone());
    let _ = change_members(replica, leadership, changed);
}

/// Makes a voter that lost entries it had acknowledged a learner until it has caught up.
fn replace_rolled_back(replica: &mut Replica, leadership: &mut Leadership) {
    let Some(progress) = leadership.progress.values().find(|it| it.is_rolled_back) else {
        return;
    };
    let member = progress.member.clone();
    let changed = with_learner(replica.log.members(), member.clone());
    if change_members(replica, leadership, changed).is_ok() {
        leadership.progress.remove(&member.host);
        leadership.follow_members(replica, replica.log.last_index());
    }
}

/// Makes the first learner that has caught up a voter.
fn promote_learner(replica: &mut Replica, leadership: &mut Leadership) {
    let members = replica.log.members();
    let has_caught_up = |learner: &&Member| {
        leadership
            .progress
            .get(&learner.host)
            .is_some_and(|it| it.is_heard(replica.now) && it.matched >= replica.commit)
    };
    let Some(learner) = members.learners.iter().find(has_caught_up) else {
        return;
    };
    let changed = with_voter(members, learner.clone());
    let _ = change_members(replica, leadership, changed);
}

/// Removes a member that was silent for long, if enough voters are left.
///
/// A member that was only cut off announces itself when it is back.
fn remove_silent_member(replica: &mut Replica, leadership: &mut Leadership) {
    let MembershipPolicy::Open { min_voters, remove_after } = replica.settings.membership_policy
    else {
        return;
    };
    let members = replica.log.members();
    let is_silent =
        |it: &&Progress| replica.now >= it.heard_at.unwrap_or(it.tracked_since) + remove_after;
    let silent = leadership.progress.values().filter(is_silent);
    let removable = silent
        .map(|it| it.member.host)
        .find(|it| voter(members, *it).is_none() || members.voters.len() > min_voters);
    let Some(host) = removable else { return };
    let changed = without(members, host);
    let _ = change_members(replica, leadership, changed);
}

/// Writes new members to the log; one change at a time.
fn change_members(
    replica: &mut Replica,
    leadership: &mut Leadership,
    members: Members,
) -> Result<LogIndex, ProposeError> {
    let is_first_accepted = replica.commit >= leadership.first_index;
    if !is_first_accepted || replica.has_unsettled_members() {
        return Err(ProposeError::ChangePending);
    }
    if !leadership.hears_majority_of(replica, &members) {
        return Err(ProposeError::MajorityUnreachable);
    }
    propose(replica, leadership, Payload::Members(members))
}
