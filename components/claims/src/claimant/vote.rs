//! The replies of a shard's replicas in one round of a claim, and its result.

use std::collections::BTreeMap;

use ids::{Fingerprint, HostId, Incarnation};
use schema::claims::{ClaimVerdict, ClaimantId, FinishedClaim, HeldBy, Refusal, StoredAnswer};

use crate::map::quorum;

/// The result of a round, from the replies so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RoundResult {
    /// More replies are needed.
    Pending,
    /// A majority of the replicas has granted the key.
    Granted,
    /// A replica has a stored outcome, so the request has run.
    Finished(FinishedClaim),
    /// A majority of the replicas holds the key for one other claimant; has its payload.
    Held(Fingerprint),
    /// So many replicas hold lost claims on the key that no majority can grant it; has the payload
    /// of one of them.
    Lost(Fingerprint),
    /// Replicas hold the key for competing claimants, so no majority can grant it in this round.
    Split,
    /// The key is older than the retention.
    Expired,
    /// The key is older than its reopened shard.
    Closed,
    /// A majority holds no record of the key, but the claim is so old that one may have expired
    /// since.
    TooLate,
    /// Replicas are full; true if a majority is known to hold no record of the key.
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

/// Counts of the replies by kind.
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

    /// Adds a reply.
    ///
    /// A reply of an earlier incarnation of the replica never replaces one of a later incarnation.
    /// Within an incarnation, `Held` and `Refused` don't replace a grant.
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

    /// Returns the replicas that have to be asked again.
    pub(super) fn unanswered(&self) -> Vec<HostId> {
        let needs_reply =
            |host: &HostId| self.replies.get(host).is_none_or(|it| self.needs_reply(*host, it));
        self.replicas.iter().copied().filter(needs_reply).collect()
    }

    /// Returns the result of the replies so far.
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

    /// Returns the result when no more replies are waited for.
    pub(super) fn final_result(&self) -> RoundResult {
        if let Some(finished) = self.finished_claim() {
            return RoundResult::Finished(finished.clone());
        }
        match self.result() {
            RoundResult::Pending => self.fallback_result(&self.tally()),
            result => result,
        }
    }

    /// Returns the reason why a majority of grants is out of reach.
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

    /// Returns the result that the replies suggest, without a majority behind any of them.
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

    /// Returns whether the replica has to be asked again because its reply doesn't count.
    fn needs_reply(&self, host: HostId, reply: &Reply) -> bool {
        match &reply.verdict {
            ClaimVerdict::Granted(_) => self.is_outdated(host, reply),
            ClaimVerdict::Refused(refusal) => {
                matches!(refusal, Refusal::Abstaining | Refusal::WrongEpoch | Refusal::MintedAhead)
            }
            _ => false,
        }
    }

    /// Returns whether a replica that granted the key knew of a later incarnation of `host`.
    ///
    /// The later incarnation may have lost this grant.
    fn is_outdated(&self, host: HostId, reply: &Reply) -> bool {
        self.replies.values().any(|other| match &other.verdict {
            ClaimVerdict::Granted(starts) => {
                starts.iter().any(|it| it.host == host && it.incarnation > reply.incarnation)
            }
            _ => false,
        })
    }
}
