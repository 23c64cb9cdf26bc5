//! The follower's role: appends entries and installs snapshots from the leader.

use ids::LogIndex;
use schema::consensus::{Append, AppendReply, AppendResult, ConsensusBody, Entry};
use statig::Outcome::{self, Handled, Super};

use crate::{
    bootstrap, election,
    message::Received,
    replica::{DiskState, Replica},
    role::State,
    snapshot,
};

/// Announces this host if it must, and starts an election when the election timeout expires.
pub(crate) fn tick(replica: &mut Replica) -> Outcome<State> {
    bootstrap::tick(replica);
    if replica.now < replica.election_deadline {
        return Handled;
    }
    election::start_pre_vote(replica)
}

/// Handles messages from the leader.
pub(crate) fn handle(replica: &mut Replica, received: &Received) -> Outcome<State> {
    match &received.body {
        ConsensusBody::Append(append) => {
            replica.record_leader(received.from.host);
            replica.leader_commit = append.commit;
            handle_append(replica, received, append);
            Handled
        }
        ConsensusBody::InstallSnapshot(install) => {
            replica.record_leader(received.from.host);
            snapshot::handle_install(replica, received, install);
            Handled
        }
        _ => Super,
    }
}

fn handle_append(replica: &mut Replica, received: &Received, append: &Append) {
    let result = match has_previous_entry(replica, append) {
        true => {
            let matched = append_missing_entries(replica, append);
            let Some(matched) = acknowledged(replica, append, matched) else { return };
            AppendResult::Matched(matched)
        }
        false => AppendResult::Mismatched(latest_possible_match(replica, append)),
    };
    let reply = AppendReply { result, sent_us: append.sent_us };
    replica.send(received.from.host, ConsensusBody::AppendReply(reply));
}

/// Returns the index up to which entries may be acknowledged, or `None` for no reply.
///
/// Without a writable disk, this host replies only to heartbeats. The leader then keeps it as a
/// member, and sends entries that are not acknowledged again at intervals rather than at once.
fn acknowledged(replica: &Replica, append: &Append, matched: LogIndex) -> Option<LogIndex> {
    match replica.disk_state {
        DiskState::Writable => Some(matched),
        DiskState::ReadOnly { durable } => {
            append.entries.is_empty().then_some(matched.min(durable))
        }
    }
}

/// Returns whether this host has the entry that precedes the sent ones.
///
/// Committed entries are the same on all hosts, so their terms need no comparison.
fn has_previous_entry(replica: &Replica, append: &Append) -> bool {
    append.prev_index <= replica.commit_index
        || replica.log.term_at(append.prev_index) == Some(append.prev_term)
}

/// Returns the highest index at which this log may still match the leader's.
fn latest_possible_match(replica: &Replica, append: &Append) -> LogIndex {
    let before = LogIndex(append.prev_index.0.saturating_sub(1));
    before.min(replica.log.last_index())
}

/// Appends missing entries in place of conflicting ones; returns the last index that matches the
/// leader's log.
fn append_missing_entries(replica: &mut Replica, append: &Append) -> LogIndex {
    let matched = append.entries.last().map_or(append.prev_index, |it| it.index);
    let first_missing = append.entries.iter().position(|it| !has_entry(replica, it));
    if let Some(position) = first_missing {
        let entries = append.entries[position..].to_vec();
        let first = entries[0].index;
        if first <= replica.log.last_index() {
            replica.truncate(first);
        }
        replica.append(entries);
    }
    let commit_index = append.commit.min(matched);
    replica.advance_commit(commit_index);
    matched
}

fn has_entry(replica: &Replica, entry: &Entry) -> bool {
    entry.index <= replica.commit_index || replica.log.term_at(entry.index) == Some(entry.term)
}
