//! Counts the replies of a shard's replicas in one round of a claim.

use std::collections::BTreeMap;

use ids::{Fingerprint, HostId, Incarnation};
use schema::claims::{ClaimVerdict, ClaimantId, FinishedClaim, HeldBy, Refusal, StoredAnswer};

use crate::map::quorum;

/// What the replies of a round come to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RoundResult {
    /// Not enough replies yet.
    Pending,
    /// A majority has granted the key.
    Granted,
    /// The request has run.
    Finished(FinishedClaim),
    /// A majority holds the key for one other claimant.
    Held(Fingerprint),
    /// Replicas hold the key for a process that has ended, so that no majority can grant it.
    Lost(Fingerprint),
    /// Claimants compete and none can be granted the key in this round.
    Split,
    /// The key is older than the retention.
    Expired,
    /// The key is older than its shard.
    Closed,
    /// A majority holds no record of the key, but the claim is so old that one may have expired.
    TooLate,
    /// Replicas are full; tells whether a majority holds no record of the key.
    Full(bool),
}

#[derive(Debug, Clone)]
struct Reply {
    incarnation: Incarnation,
    verdict: ClaimVerdict,
}

/// The replies of one round.
#[derive(Debug, Clone)]
pub(super) struct Vote {
    replicas: Vec<HostId>,
    replies: BTreeMap<HostId, Reply>,
}

/// Replies by kind.
#[derive(Debug, Default)]
struct Tally {
    granted: usize,
    lost: usize,
    held: usize,
    expired: usize,
    closed: usize,
    full: usize,
}

impl Vote {
    pub(super) fn new(replicas: Vec<HostId>) -> Self {
        Self { replicas, replies: BTreeMap::new() }
    }

    /// Takes in a reply.
    ///
    /// One of an earlier start of the replica does not replace a later one's, and a grant stands
    /// until the round ends.
    pub(super) fn add(&mut self, from: HostId, incarnation: Incarnation, verdict: ClaimVerdict) {
        if !self.replicas.contains(&from) {
            return;
        }
        let replaces_known = self.replies.get(&from).is_none_or(|known| {
            let retracts_grant = matches!(known.verdict, ClaimVerdict::Granted(_))
                && matches!(verdict, ClaimVerdict::Held(_) | ClaimVerdict::Refused(_));
            known.incarnation < incarnation || known.incarnation == incarnation && !retracts_grant
        });
        if replaces_known {
            self.replies.insert(from, Reply { incarnation, verdict });
        }
    }

    /// The replicas that have to be asked again.
    pub(super) fn unanswered(&self) -> Vec<HostId> {
        let needs_reply =
            |host: &HostId| self.replies.get(host).is_none_or(|it| self.needs_reply(*host, it));
        self.replicas.iter().copied().filter(needs_reply).collect()
    }

    /// What the replies come to so far.
    pub(super) fn result(&self) -> RoundResult {
        let majority = quorum(self.replicas.len());
        let unanswered = self.unanswered().len();
        if let Some(finished) = self.finished_claim() {
            let is_kept = matches!(finished.answer, StoredAnswer::Kept(_));
            if is_kept || self.replicas.len() - unanswered >= majority {
                return RoundResult::Finished(finished.clone());
            }
            return RoundResult::Pending;
        }
        let tally = self.tally();
        if tally.granted >= majority {
            return RoundResult::Granted;
        }
        if tally.granted + unanswered >= majority {
            return RoundResult::Pending;
        }
        self.result_without_majority(&tally, majority)
    }

    /// What the replies come to when no further ones are waited for.
    pub(super) fn final_result(&self) -> RoundResult {
        if let Some(finished) = self.finished_claim() {
            return RoundResult::Finished(finished.clone());
        }
        match self.result() {
            RoundResult::Pending => self.fallback_result(&self.tally()),
            result => result,
        }
    }

    /// Why a majority of grants can't be reached any more.
    fn result_without_majority(&self, tally: &Tally, majority: usize) -> RoundResult {
        if let Some(held) = self.majority_holder(majority) {
            return RoundResult::Held(held.payload);
        }
        if self.replicas.len() - tally.lost < majority {
            return self.lost_result();
        }
        if tally.held + tally.lost > 0 {
            return RoundResult::Split;
        }
        if tally.full > 0 {
            return RoundResult::Full(tally.full + tally.granted >= majority);
        }
        self.fallback_result(tally)
    }

    fn fallback_result(&self, tally: &Tally) -> RoundResult {
        if tally.held > 0 {
            return RoundResult::Split;
        }
        if tally.lost > 0 {
            return self.lost_result();
        }
        if tally.expired > 0 {
            return RoundResult::Expired;
        }
        if tally.closed > 0 {
            return RoundResult::Closed;
        }
        RoundResult::Pending
    }

    fn finished_claim(&self) -> Option<&FinishedClaim> {
        let finished = self.replies.values().filter_map(|it| match &it.verdict {
            ClaimVerdict::Finished(finished) => Some(finished),
            _ => None,
        });
        finished.max_by_key(|it| match it.answer {
            StoredAnswer::Unknown => 0,
            StoredAnswer::NotKept => 1,
            StoredAnswer::Kept(_) => 2,
        })
    }

    fn majority_holder(&self, majority: usize) -> Option<&HeldBy> {
        let holders = || {
            self.replies.values().filter_map(|it| match &it.verdict {
                ClaimVerdict::Held(held) => Some(held),
                _ => None,
            })
        };
        let votes = |claimant: &ClaimantId| holders().filter(|it| it.claimant == *claimant).count();
        holders().find(|it| votes(&it.claimant) >= majority)
    }

    fn lost_result(&self) -> RoundResult {
        let lost = self.replies.values().find_map(|it| match &it.verdict {
            ClaimVerdict::Lost(held) => Some(held.payload),
            _ => None,
        });
        lost.map_or(RoundResult::Pending, RoundResult::Lost)
    }

    fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        for (host, reply) in &self.replies {
            match &reply.verdict {
                ClaimVerdict::Granted(_) if self.is_outdated(*host, reply) => {}
                ClaimVerdict::Granted(_) => tally.granted += 1,
                ClaimVerdict::Held(_) => tally.held += 1,
                ClaimVerdict::Lost(_) => tally.lost += 1,
                ClaimVerdict::Refused(Refusal::Expired) => tally.expired += 1,
                ClaimVerdict::Refused(Refusal::Closed) => tally.closed += 1,
                ClaimVerdict::Refused(Refusal::Full) => tally.full += 1,
                ClaimVerdict::Finished(_) | ClaimVerdict::Refused(_) => {}
            }
        }
        tally
    }

    /// Whether another reply of the replica is needed.
    fn needs_reply(&self, host: HostId, reply: &Reply) -> bool {
        match &reply.verdict {
            ClaimVerdict::Granted(_) => self.is_outdated(host, reply),
            ClaimVerdict::Refused(refusal) => {
                matches!(refusal, Refusal::Abstaining | Refusal::WrongEpoch | Refusal::MintedAhead)
            }
            _ => false,
        }
    }

    /// Whether another replica knew, when it granted the key, of a later start of this one.
    ///
    /// The grant of the earlier start may be forgotten by now.
    fn is_outdated(&self, host: HostId, reply: &Reply) -> bool {
        self.replies.values().any(|other| match &other.verdict {
            ClaimVerdict::Granted(starts) => {
                starts.iter().any(|it| it.host == host && it.incarnation > reply.incarnation)
            }
            _ => false,
        })
    }
}
