//! The leader's role: replication, commits, the lease and membership changes.

use ids::{ByteSize, HostId, LogIndex, Timestamp};
use schema::consensus::{
    Append, AppendReply, AppendResult, ConsensusBody, Entry, InstallReply, Member, Members, Payload,
};
use statig::Outcome::{self, Handled, Super, Transition};

use crate::{
    action::ProposeError,
    leadership::{Leadership, Progress},
    members::{find_voter, is_voter, quorum, quorum_value, with_learner, with_voter, without},
    message::Received,
    replica::Replica,
    role::State,
    settings::{DEMOTE_AFTER, HEARTBEAT_INTERVAL, MAX_ENTRY_BYTES, MembershipPolicy},
    snapshot,
};

/// Steps down if the lease is lost; otherwise sends heartbeats and maintains the membership.
pub(crate) fn tick(replica: &mut Replica, leadership: &mut Leadership) -> Outcome<State> {
    let has_majority = leadership.holds_lease(replica, replica.now);
    if !has_majority && leadership.lease_grace_elapsed(replica.now) {
        return step_down(replica);
    }
    if replica.now >= leadership.next_heartbeat {
        broadcast(replica, leadership);
    }
    demote_rolled_back_voter(replica, leadership);
    demote_silent_voter(replica, leadership);
    promote_learner(replica, leadership);
    remove_silent_member(replica, leadership);
    Handled
}

/// Handles replies and announcements from other hosts.
pub(crate) fn handle(
    replica: &mut Replica,
    leadership: &mut Leadership,
    received: &Received,
) -> Outcome<State> {
    let is_current_term = received.term == replica.vote.term;
    match &received.body {
        ConsensusBody::AppendReply(_) | ConsensusBody::InstallReply(_) if !is_current_term => {}
        ConsensusBody::AppendReply(reply) => {
            handle_append_reply(replica, leadership, &received.from, reply);
        }
        ConsensusBody::InstallReply(reply) => {
            handle_install_reply(replica, leadership, &received.from, reply);
        }
        ConsensusBody::Hello(_) => {
            add_learner(replica, leadership, &received.from);
            return Super;
        }
        _ => return Super,
    }
    if is_removed(replica) {
        return step_down(replica);
    }
    Handled
}

/// Appends an entry to the log and replicates it.
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
    leadership.update_members(replica, index);
    send_new_entries(replica, leadership);
    advance_commit(replica, leadership);
    Ok(index)
}

/// Proposes members without the given voter.
pub(crate) fn remove_voter(
    replica: &mut Replica,
    leadership: &mut Leadership,
    host: HostId,
) -> Result<LogIndex, ProposeError> {
    let members = replica.log.members();
    if find_voter(members, host).is_none() || members.voters.len() == 1 {
        return Err(ProposeError::NotRemovable(host));
    }
    let changed = without(members, host);
    change_members(replica, leadership, changed)
}

/// Sends each member its missing entries, or a heartbeat.
pub(crate) fn broadcast(replica: &mut Replica, leadership: &mut Leadership) {
    leadership.next_heartbeat = replica.now + HEARTBEAT_INTERVAL;
    for progress in leadership.progress.values_mut() {
        match is_ready_for_entries(replica, progress) {
            true => send_entries(replica, progress),
            false => send_append(replica, progress, Vec::new()),
        }
    }
}

/// Commits the entries that a majority has acknowledged.
///
/// Entries of earlier terms are committed only together with an entry of the leader's own term.
pub(crate) fn advance_commit(replica: &mut Replica, leadership: &Leadership) {
    let last = replica.log.last_index();
    let matched = |member: &Member| match *member == replica.me {
        true => last,
        false => leadership.progress_of(member).map_or(LogIndex(0), Progress::counted_match),
    };
    let majority_match = quorum_value(replica.log.members(), matched).unwrap_or_default();
    if majority_match >= leadership.first_index {
        replica.advance_commit(majority_match);
    }
}

/// Sends the first commit of the term to the members that have its entry and don't know of it.
///
/// A follower counts as up to date only from then on; until the next heartbeat, none could answer
/// for the state that the cluster has.
fn send_first_commit(replica: &mut Replica, leadership: &mut Leadership) {
    if replica.commit_index < leadership.first_index {
        return;
    }
    for progress in leadership.progress.values_mut() {
        if !progress.knows_first_commit && progress.matched >= leadership.first_index {
            progress.knows_first_commit = true;
            send_append(replica, progress, Vec::new());
        }
    }
}

fn step_down(replica: &mut Replica) -> Outcome<State> {
    replica.leader = None;
    replica.reset_election_timer();
    Transition(State::Follower {})
}

fn is_removed(replica: &Replica) -> bool {
    !replica.is_voter() && !replica.has_uncommitted_members()
}

/// Returns whether a member lacks entries, is responsive and has no entries in flight.
fn is_ready_for_entries(replica: &Replica, progress: &Progress) -> bool {
    let lags = progress.next <= replica.log.last_index();
    lags && progress.is_responsive(replica.now) && !progress.has_entries_in_flight(replica.now)
}

fn send_new_entries(replica: &mut Replica, leadership: &mut Leadership) {
    for progress in leadership.progress.values_mut() {
        if is_ready_for_entries(replica, progress) {
            send_entries(replica, progress);
        }
    }
}

/// Sends the next entries, or a chunk of the snapshot if the entries were already compacted.
fn send_entries(replica: &mut Replica, progress: &mut Progress) {
    progress.in_flight_since = Some(replica.now);
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
    let prev_term =
        replica.log.term_at(prev_index).expect("the log has a term from its snapshot on");
    let append = Append {
        prev_index,
        prev_term,
        commit: replica.commit_index,
        entries,
        sent_us: replica.now.0,
    };
    replica.send(progress.member.host, ConsensusBody::Append(append));
}

fn handle_append_reply(
    replica: &mut Replica,
    leadership: &mut Leadership,
    from: &Member,
    reply: &AppendReply,
) {
    let sent_at = Timestamp(reply.sent_us);
    if !record_response(replica, leadership, from, sent_at) {
        return;
    }
    let last = replica.log.last_index();
    let progress = leadership.progress_mut(from).expect("the response was recorded");
    match reply.result {
        AppendResult::Matched(index) => progress.record_match(index.min(last), replica.now),
        AppendResult::Mismatched(index) if index >= progress.matched => {
            progress.next = index.min(last).next();
        }
        AppendResult::Mismatched(_) => {
            progress.is_rolled_back |= sent_at > progress.matched_at;
        }
    }
    advance_commit(replica, leadership);
    send_first_commit(replica, leadership);
    send_next_entries(replica, leadership, from);
}

fn handle_install_reply(
    replica: &mut Replica,
    leadership: &mut Leadership,
    from: &Member,
    reply: &InstallReply,
) {
    if !record_response(replica, leadership, from, Timestamp(reply.sent_us)) {
        return;
    }
    let progress = leadership.progress_mut(from).expect("the response was recorded");
    snapshot::record_received(replica, progress, reply);
    advance_commit(replica, leadership);
    send_first_commit(replica, leadership);
    send_next_entries(replica, leadership, from);
}

/// Records a response; returns false if the sender is not a member with this disk.
fn record_response(
    replica: &mut Replica,
    leadership: &mut Leadership,
    from: &Member,
    sent_at: Timestamp,
) -> bool {
    let Some(progress) = leadership.progress_mut(from) else {
        return false;
    };
    if progress.in_flight_since == Some(sent_at) {
        progress.in_flight_since = None;
    }
    progress.last_response_at = Some(replica.now);
    progress.acked_sent_at = progress.acked_sent_at.max(Some(sent_at));
    if leadership.holds_lease(replica, replica.now) {
        replica.last_leader_contact = Some(replica.now);
    }
    true
}

fn send_next_entries(replica: &mut Replica, leadership: &mut Leadership, to: &Member) {
    if let Some(progress) = leadership.progress_mut(to)
        && is_ready_for_entries(replica, progress)
    {
        send_entries(replica, progress);
    }
}

/// Adds a host that is new or has a new disk as a learner.
///
/// The same entry removes the host's previous disk. A disk older than the known one was lost and
/// has reappeared; it is not admitted.
fn add_learner(replica: &mut Replica, leadership: &mut Leadership, from: &Member) {
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

/// Demotes a voter that lost acknowledged entries to a learner until it has caught up.
fn demote_rolled_back_voter(replica: &mut Replica, leadership: &mut Leadership) {
    let Some(progress) = leadership.progress.values().find(|it| it.is_rolled_back) else {
        return;
    };
    let member = progress.member.clone();
    let changed = with_learner(replica.log.members(), member.clone());
    if change_members(replica, leadership, changed).is_ok() {
        leadership.progress.remove(&member.host);
        leadership.update_members(replica, replica.log.last_index());
    }
}

/// Makes the voter that has been silent for longest a learner if a successor waits for its place, or
/// if fewer losses can be borne than the settings demand.
///
/// The change is in the log, so that it outlives this leader. A voter that comes back is promoted
/// again.
fn demote_silent_voter(replica: &mut Replica, leadership: &mut Leadership) {
    let MembershipPolicy::Open { min_voters, .. } = replica.settings.membership_policy else {
        return;
    };
    let members = replica.log.members();
    let is_needed = find_waiting_learner(replica, leadership).is_some()
        || bears_too_few_losses(replica, leadership);
    if members.voters.len() <= min_voters || !is_needed {
        return;
    }
    let is_silent_voter =
        |it: &&Progress| is_voter(members, &it.member) && it.is_silent(replica.now, DEMOTE_AFTER);
    let silent = leadership.progress.values().filter(is_silent_voter);
    let Some(longest) = silent.min_by_key(|it| it.last_heard()) else { return };
    let changed = with_learner(members, longest.member.clone());
    let _ = change_members(replica, leadership, changed);
}

/// Promotes the first learner that has caught up to a voter, unless a silent voter has to be demoted
/// first.
///
/// If silent voters stayed while others are added, those that run would in the end be no majority.
fn promote_learner(replica: &mut Replica, leadership: &mut Leadership) {
    let Some(learner) = find_waiting_learner(replica, leadership) else {
        return;
    };
    if !all_voters_respond(replica, leadership) && !bears_too_few_losses(replica, leadership) {
        return;
    }
    let changed = with_voter(replica.log.members(), learner);
    let _ = change_members(replica, leadership, changed);
}

/// Returns the first learner that has caught up.
fn find_waiting_learner(replica: &Replica, leadership: &Leadership) -> Option<Member> {
    let has_caught_up = |learner: &&Member| {
        leadership
            .progress_of(learner)
            .is_some_and(|it| it.is_responsive(replica.now) && it.matched >= replica.commit_index)
    };
    replica.log.members().learners.iter().find(has_caught_up).cloned()
}

fn all_voters_respond(replica: &Replica, leadership: &Leadership) -> bool {
    let responds = |it: &Member| {
        *it == replica.me
            || leadership.progress_of(it).is_some_and(|it| it.is_responsive(replica.now))
    };
    replica.log.members().voters.iter().all(responds)
}

/// Returns whether those that respond would be no majority after as many losses as the settings demand
/// to be borne; always true if operators change the members.
fn bears_too_few_losses(replica: &Replica, leadership: &Leadership) -> bool {
    let Some(bearable) = replica.settings.membership_policy.bearable_losses() else {
        return true;
    };
    let members = replica.log.members();
    let may_respond = |it: &&Member| {
        **it == replica.me
            || leadership.progress_of(it).is_some_and(|it| it.may_respond(replica.now))
    };
    members.voters.iter().filter(may_respond).count() < quorum(members) + bearable
}

/// Removes a member that has been silent for `remove_after`, if enough voters remain.
///
/// A member that was only partitioned announces itself once it is reachable again.
fn remove_silent_member(replica: &mut Replica, leadership: &mut Leadership) {
    let MembershipPolicy::Open { min_voters, remove_after } = replica.settings.membership_policy
    else {
        return;
    };
    let members = replica.log.members();
    let silent = leadership.progress.values().filter(|it| it.is_silent(replica.now, remove_after));
    let removable = silent
        .map(|it| it.member.host)
        .find(|it| find_voter(members, *it).is_none() || members.voters.len() > min_voters);
    let Some(host) = removable else { return };
    let changed = without(members, host);
    let _ = change_members(replica, leadership, changed);
}

/// Proposes new members; only one membership change may be in progress.
fn change_members(
    replica: &mut Replica,
    leadership: &mut Leadership,
    members: Members,
) -> Result<LogIndex, ProposeError> {
    let has_committed_in_term = replica.commit_index >= leadership.first_index;
    if !has_committed_in_term || replica.has_uncommitted_members() {
        return Err(ProposeError::ChangePending);
    }
    if !leadership.would_hold_lease(replica, &members) {
        return Err(ProposeError::MajorityUnreachable);
    }
    propose(replica, leadership, Payload::Members(members))
}
