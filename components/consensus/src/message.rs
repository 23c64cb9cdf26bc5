//! Messages as the roles see them.

use ids::{LogIndex, Term};
use schema::consensus::{Append, ConsensusBody, Member};

/// Larger terms and indices come from a faulty sender only.
const MAX_NUMBER: u64 = u64::MAX / 2;

/// A message together with the disk it was sent from.
pub(crate) struct Received {
    pub(crate) from: Member,
    pub(crate) term: Term,
    pub(crate) body: ConsensusBody,
}

impl Received {
    /// Whether the message's term is only an idea and not a term of an election.
    pub(crate) fn is_pre_vote(&self) -> bool {
        match &self.body {
            ConsensusBody::VoteRequest(request) => request.pre,
            ConsensusBody::VoteReply(reply) => reply.pre && reply.granted,
            _ => false,
        }
    }

    /// Whether only a leader sends this.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(self.body, ConsensusBody::Append(_) | ConsensusBody::InstallSnapshot(_))
    }

    /// Whether a correct sender could have sent this.
    pub(crate) fn is_well_formed(&self) -> bool {
        let is_body_well_formed = match &self.body {
            ConsensusBody::Append(append) => entries_follow(append),
            ConsensusBody::InstallSnapshot(install) => install.index <= LogIndex(MAX_NUMBER),
            _ => true,
        };
        self.term <= Term(MAX_NUMBER) && is_body_well_formed
    }
}

/// Whether the entries follow each other.
fn entries_follow(append: &Append) -> bool {
    let mut expected = append.prev_index;
    let follow = append.entries.iter().all(|it| {
        expected = expected.next();
        it.index == expected
    });
    follow && expected <= LogIndex(MAX_NUMBER)
}
