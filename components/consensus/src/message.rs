//! Messages as the roles see them.

use ids::Term;
use schema::consensus::{ConsensusBody, Member};

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
}
