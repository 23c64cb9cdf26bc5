//! Keeps a data centre's part of the rates of organisations, and lends and borrows what is free.
//!
//! Load patterns:
//!
//! - *The load of an organisation sits in one data centre.* Its keeper borrows from the others, which
//!   charge a loan to their own part before they send it. What is lost on the way is wasted.
//! - *An organisation asks for far more than its limit everywhere.* No keeper has anything to lend, so
//!   each asks the others ever more rarely.
//! - *The keeper changes.* The new one starts without unused requests: the previous one may have spent
//!   them.

use ids::{FastMap, HostId, LoanNumber, Millis, OrganisationName, Timestamp};
use limits::organisations::bucket::{BucketSize, TokenBucket};
use schema::organisation_rate::{
    OrganisationRateMessage, RateLoanAnswer, RateLoanAsk, RateOutcome,
};

/// Time without an answer after which a loan counts as refused: a round trip to the farthest region
/// and some time on busy links.
const LOAN_TIMEOUT: Millis = Millis(120);

/// Time for which a keeper that found nothing to lend anywhere doesn't ask again; it doubles.
const MIN_BACKOFF: Millis = Millis(300);
const MAX_BACKOFF: Millis = Millis(1_200);

/// Time after a denial for which a keeper lends nothing.
const SHORT_TIME: Millis = Millis(300);

/// Parts of the capacity below which a keeper borrows, and which it doesn't lend.
const LOW_PART: u64 = 4;
const KEPT_PART: u64 = 3;

const MICROS_PER_TOKEN: u64 = 1_000_000;

/// The keeper of another data centre, and the time for an answer from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Lender {
    pub(super) host: HostId,
    pub(super) round_trip: Millis,
}

#[derive(Debug, Clone, Copy)]
struct LoanInFlight {
    number: LoanNumber,
    asked_at: Timestamp,
    round_trip: Millis,
}

/// A data centre's part of the rate of one organisation.
#[derive(Debug)]
struct KeptRate {
    bucket: TokenBucket,
    loan: Option<LoanInFlight>,
    next_lender: usize,
    /// Lenders in a row that had nothing.
    refusals: usize,
    borrow_after: Timestamp,
    backoff: Millis,
    denied_at: Option<Timestamp>,
}

/// The rates that this gateway keeps.
#[derive(Debug, Default)]
pub(super) struct Keeper {
    rates: FastMap<OrganisationName, KeptRate>,
    next_loan: u64,
}

impl Keeper {
    /// Keeps a rate from now on, or adapts it; a new one begins with `initial` tokens.
    pub(super) fn keep(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationName,
        size: BucketSize,
        initial: u64,
    ) {
        if let Some(kept) = self.rates.get_mut(organisation) {
            if kept.bucket.size() != size {
                kept.bucket.resize(now, size);
            }
            return;
        }
        let mut bucket = TokenBucket::empty(now, size);
        bucket.put(now, initial);
        let kept = KeptRate {
            bucket,
            loan: None,
            next_lender: 0,
            refusals: 0,
            borrow_after: now,
            backoff: MIN_BACKOFF,
            denied_at: None,
        };
        self.rates.insert(organisation.clone(), kept);
    }

    pub(super) fn retain(&mut self, is_kept: impl Fn(&OrganisationName) -> bool) {
        self.rates.retain(|it, _| is_kept(it));
    }

    pub(super) fn count(&self) -> usize {
        self.rates.len()
    }

    /// Charges one request, if there is one left.
    pub(super) fn grant(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationName,
        lenders: impl FnOnce() -> Vec<Lender>,
        messages: &mut Vec<(HostId, OrganisationRateMessage)>,
    ) -> RateOutcome {
        let Some(kept) = self.rates.get_mut(organisation) else { return RateOutcome::NotKeeper };
        let is_granted = kept.bucket.take_up_to(now, 1) == 1;
        if !is_granted {
            kept.denied_at = Some(now);
        }
        if kept.should_borrow(now) {
            self.next_loan += 1;
            let number = LoanNumber(self.next_loan);
            kept.borrow(now, organisation, number, &lenders(), messages);
        }
        match (is_granted, kept.loan) {
            (true, _) => RateOutcome::Granted,
            (false, Some(loan)) => {
                let due = loan.asked_at + loan.round_trip;
                RateOutcome::Later(due.since(now).max(Millis(1)))
            }
            (false, None) => RateOutcome::Denied(kept.free_in()),
        }
    }

    pub(super) fn give_back(&mut self, now: Timestamp, organisation: &OrganisationName) {
        if let Some(kept) = self.rates.get_mut(organisation) {
            kept.bucket.put(now, 1);
        }
    }

    pub(super) fn lend(&mut self, now: Timestamp, ask: &RateLoanAsk) -> RateLoanAnswer {
        let lent = self.rates.get_mut(&ask.organisation).map_or(0, |it| it.lend(now, ask.wanted));
        RateLoanAnswer { number: ask.number, organisation: ask.organisation.clone(), lent }
    }

    pub(super) fn on_loan(&mut self, now: Timestamp, answer: &RateLoanAnswer) {
        let Some(kept) = self.rates.get_mut(&answer.organisation) else { return };
        kept.bucket.put(now, answer.lent.into());
        if kept.loan.is_none_or(|it| it.number != answer.number) {
            return;
        }
        kept.loan = None;
        match answer.lent {
            0 => kept.pass_lender(),
            _ => {
                kept.refusals = 0;
                kept.backoff = MIN_BACKOFF;
            }
        }
    }
}

impl KeptRate {
    /// Returns the capacity in whole tokens.
    fn capacity(&self) -> u64 {
        self.bucket.size().burst / MICROS_PER_TOKEN
    }

    fn free_in(&self) -> Millis {
        Millis((MICROS_PER_TOKEN * 1_000).div_ceil(self.bucket.size().rate.max(1)))
    }

    fn should_borrow(&mut self, now: Timestamp) -> bool {
        if let Some(loan) = self.loan {
            if now.since(loan.asked_at) < LOAN_TIMEOUT {
                return false;
            }
            self.loan = None;
            self.pass_lender();
        }
        now >= self.borrow_after && self.bucket.tokens(now) <= self.capacity() / LOW_PART
    }

    fn borrow(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationName,
        number: LoanNumber,
        lenders: &[Lender],
        messages: &mut Vec<(HostId, OrganisationRateMessage)>,
    ) {
        if self.refusals >= lenders.len() {
            self.refusals = 0;
            self.borrow_after = now + self.backoff;
            self.backoff = Millis(self.backoff.0 * 2).min(MAX_BACKOFF);
            return;
        }
        let Lender { host, round_trip } = lenders[self.next_lender % lenders.len()];
        let tokens = self.bucket.tokens(now);
        let aim = match tokens {
            0 => self.capacity(),
            _ => self.capacity() / 2,
        };
        let wanted = u32::try_from(aim.saturating_sub(tokens).max(1)).unwrap_or(u32::MAX);
        let ask = RateLoanAsk { number, organisation: organisation.clone(), wanted };
        messages.push((host, OrganisationRateMessage::LoanAsk(ask)));
        self.loan = Some(LoanInFlight { number, asked_at: now, round_trip });
    }

    fn pass_lender(&mut self) {
        self.refusals += 1;
        self.next_lender = self.next_lender.wrapping_add(1);
    }

    fn lend(&mut self, now: Timestamp, wanted: u32) -> u32 {
        if self.denied_at.is_some_and(|it| now.since(it) < SHORT_TIME) {
            return 0;
        }
        let tokens = self.bucket.tokens(now);
        let free = (tokens / 2).min(tokens.saturating_sub(self.capacity() / KEPT_PART));
        let lent = self.bucket.take_up_to(now, free.min(wanted.into()));
        u32::try_from(lent).unwrap_or(u32::MAX)
    }
}
