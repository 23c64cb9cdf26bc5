//! What a follower does with entries from its leader.

use ids::LogIndex;
use schema::consensus::{Append, AppendReply, AppendResult, ConsensusBody, Entry};
use statig::Outcome::{self, Handled, Super};

use crate::{election, founding, message::Received, replica::Replica, role::State, snapshot};

/// Announces a host that is no voter; asks for votes when no leader is heard.
pub(crate) fn tick(replica: &mut Replica) -> Outcome<State> {
    founding::tick(replica);
    if replica.now < replica.election_at {
        return Handled;
    }
    election::start_pre_vote(replica)
}

/// Handles a message from the leader.
pub(crate) fn handle(replica: &mut Replica, received: &Received) -> Outcome<State> {
    match &received.body {
        ConsensusBody::Append(append) => {
            replica.note_leader(received.from.host);
            replica.leader_commit = append.commit;
            handle_append(replica, received, append);
            Handled
        }
        ConsensusBody::InstallSnapshot(install) => {
            replica.note_leader(received.from.host);
            snapshot::handle_install(replica, received, install);
            Handled
        }
        _ => Super,
    }
}

fn handle_append(replica: &mut Replica, received: &Received, append: &Append) {
    let result = match agrees(replica, append) {
        true => AppendResult::Matched(take_entries(replica, append)),
        false => AppendResult::Mismatched(newest_candidate(replica, append)),
    };
    let reply = AppendReply { result, sent_us: append.sent_us };
    replica.send(received.from.host, ConsensusBody::AppendReply(reply));
}

/// Whether this host holds the entry before the first one sent.
fn agrees(replica: &Replica, append: &Append) -> bool {
    append.prev_index <= replica.commit
        || replica.log.term_at(append.prev_index) == Some(append.prev_term)
}

/// The newest entry that may agree with the leader's log.
fn newest_candidate(replica: &Replica, append: &Append) -> LogIndex {
    let before = LogIndex(append.prev_index.0.saturating_sub(1));
    before.min(replica.log.last_index())
}

/// Adds the entries that this host lacks; returns the newest one that agrees.
fn take_entries(replica: &mut Replica, append: &Append) -> LogIndex {
    let matched = append.entries.last().map_or(append.prev_index, |it| it.index);
    let lacking = append.entries.iter().position(|it| !is_held(replica, it));
    if let Some(position) = lacking {
        let entries = append.entries[position..].to_vec();
        let first = entries[0].index;
        if first <= replica.log.last_index() {
            replica.truncate(first);
        }
        replica.append(entries);
    }
    let accepted = append.commit.min(matched);
    replica.advance_commit(accepted);
    matched
}

fn is_held(replica: &Replica, entry: &Entry) -> bool {
    entry.index <= replica.commit || replica.log.term_at(entry.index) == Some(entry.term)
}
