//! Received messages and their validation.

use ids::{LogIndex, Term};
use schema::consensus::{Append, ConsensusBody, Member};

/// The largest valid term or log index; only a faulty sender exceeds it.
const MAX_TERM_OR_INDEX: u64 = u64::MAX / 2;

/// A received message with the identity of its sender.
pub(crate) struct Received {
    pub(crate) from: Member,
    pub(crate) term: Term,
    pub(crate) body: ConsensusBody,
}

impl Received {
    /// Returns whether the message's term is that of a prospective election, not to be adopted.
    pub(crate) fn is_pre_vote(&self) -> bool {
        match &self.body {
            ConsensusBody::VoteRequest(request) => request.pre,
            ConsensusBody::VoteReply(reply) => reply.pre && reply.granted,
            _ => false,
        }
    }

    /// Returns whether only a leader sends this kind of message.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(self.body, ConsensusBody::Append(_) | ConsensusBody::InstallSnapshot(_))
    }

    /// Returns whether a correct sender could have sent this message.
    pub(crate) fn is_well_formed(&self) -> bool {
        let is_body_well_formed = match &self.body {
            ConsensusBody::Append(append) => has_contiguous_entries(append),
            ConsensusBody::InstallSnapshot(install) => install.index <= LogIndex(MAX_TERM_OR_INDEX),
            _ => true,
        };
        self.term <= Term(MAX_TERM_OR_INDEX) && is_body_well_formed
    }
}

/// Returns whether the entries directly follow `prev_index` without gaps.
fn has_contiguous_entries(append: &Append) -> bool {
    let mut expected = append.prev_index;
    let is_contiguous = append.entries.iter().all(|it| {
        expected = expected.next();
        it.index == expected
    });
    is_contiguous && expected <= LogIndex(MAX_TERM_OR_INDEX)
}
