//! Counts majorities of the members.

use ids::HostId;
use schema::consensus::{Member, Members};

/// How many voters make a majority.
pub(crate) fn quorum(members: &Members) -> usize {
    members.voters.len() / 2 + 1
}

/// Whether the host takes part with this disk as a voter.
pub(crate) fn is_voter(members: &Members, member: &Member) -> bool {
    members.voters.contains(member)
}

/// The host's entry among the voters.
pub(crate) fn voter(members: &Members, host: HostId) -> Option<&Member> {
    members.voters.iter().find(|it| it.host == host)
}

/// Whether the supporters include a majority of the voters.
pub(crate) fn has_quorum(members: &Members, supporters: &[Member]) -> bool {
    let count = members.voters.iter().filter(|it| supporters.contains(it)).count();
    !members.voters.is_empty() && count >= quorum(members)
}

/// The largest value that a majority of the voters has reached.
pub(crate) fn quorum_value<T: Ord + Copy>(
    members: &Members,
    value: impl Fn(&Member) -> T,
) -> Option<T> {
    let mut values: Vec<T> = members.voters.iter().map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(quorum(members) - 1).copied()
}

/// The members with the host's voter replaced by a learner on another disk.
pub(crate) fn with_learner(members: &Members, learner: Member) -> Members {
    let mut changed = without(members, learner.host);
    changed.learners.push(learner);
    changed.learners.sort_unstable_by_key(|it| it.host);
    changed
}

/// The members with a learner made a voter.
pub(crate) fn with_voter(members: &Members, voter: Member) -> Members {
    let mut changed = without(members, voter.host);
    changed.voters.push(voter);
    changed.voters.sort_unstable_by_key(|it| it.host);
    changed
}

/// The members without a host.
pub(crate) fn without(members: &Members, host: HostId) -> Members {
    let mut changed = members.clone();
    changed.voters.retain(|it| it.host != host);
    changed.learners.retain(|it| it.host != host);
    changed
}
