//! Quorums and membership changes.

use ids::HostId;
use schema::consensus::{Member, Members};

/// Returns the number of voters in a majority.
pub(crate) fn quorum(members: &Members) -> usize {
    members.voters.len() / 2 + 1
}

/// Returns whether the host is a voter with this disk.
pub(crate) fn is_voter(members: &Members, member: &Member) -> bool {
    members.voters.contains(member)
}

/// Finds the host among the voters.
pub(crate) fn find_voter(members: &Members, host: HostId) -> Option<&Member> {
    members.voters.iter().find(|it| it.host == host)
}

/// Returns whether the supporters include a majority of the voters.
pub(crate) fn has_quorum(members: &Members, supporters: &[Member]) -> bool {
    let count = members.voters.iter().filter(|it| supporters.contains(it)).count();
    !members.voters.is_empty() && count >= quorum(members)
}

/// Returns the largest value that a majority of the voters has reached.
pub(crate) fn quorum_value<T: Ord + Copy>(
    members: &Members,
    value: impl Fn(&Member) -> T,
) -> Option<T> {
    let mut values: Vec<T> = members.voters.iter().map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(quorum(members) - 1).copied()
}

/// Returns the members with the learner added in place of the host's voter or previous disk.
pub(crate) fn with_learner(members: &Members, learner: Member) -> Members {
    let mut changed = without(members, learner.host);
    changed.learners.push(learner);
    changed.learners.sort_unstable_by_key(|it| it.host);
    changed
}

/// Returns the members with the learner promoted to a voter.
pub(crate) fn with_voter(members: &Members, voter: Member) -> Members {
    let mut changed = without(members, voter.host);
    changed.voters.push(voter);
    changed.voters.sort_unstable_by_key(|it| it.host);
    changed
}

/// Returns the members without the host.
pub(crate) fn without(members: &Members, host: HostId) -> Members {
    let mut changed = members.clone();
    changed.voters.retain(|it| it.host != host);
    changed.learners.retain(|it| it.host != host);
    changed
}
