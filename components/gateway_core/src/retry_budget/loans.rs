//! Loans of retries between the gateways of a data centre.
//!
//! Load pattern: one gateway needs more retries than its own part of the budget allows while others
//! need none. The lender charges a loan to its own part before it sends it, so that a loan that is
//! lost or expires is wasted, but never spent twice.

use ids::{HostId, LoanNumber, Millis, RequestId, RetryCredit, Timestamp};
use schema::retry_budget::LoanAnswer;

/// Time after an ask for which its loans may be used.
pub(super) const LOAN_LIFETIME: Millis = Millis(1_000);

/// Minimum amount of a loan.
pub(super) const MIN_LOAN: RetryCredit = RetryCredit(100);

/// Maximum time that requests wait for a loan: a few round trips within a data centre.
const ASK_TIMEOUT: Millis = Millis(40);

/// Time without asks after one that brought nothing, during which retries are denied at once.
const ASK_BACKOFF: Millis = Millis(300);

/// Maximum number of gateways that are asked at once.
const MAX_LENDERS: usize = 4;

/// Number of lenders that cover the missing amount; the others are asked in case that these have
/// nothing left or don't answer.
const SUFFICIENT_LENDERS: usize = 2;

/// An ask that was sent.
#[derive(Debug)]
struct Ask {
    number: LoanNumber,
    /// When waiting requests give up on it.
    until: Timestamp,
    /// Until when its loans may be used.
    usable_until: Timestamp,
    /// Lenders that have not answered.
    pending: Vec<HostId>,
    has_brought_any: bool,
}

/// The messages of a new ask.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct NewAsk {
    pub(super) lenders: Vec<HostId>,
    /// The amount that each lender is asked for.
    pub(super) amount: RetryCredit,
    /// When the ask fails without answers.
    pub(super) until: Timestamp,
}

/// What this gateway has borrowed for a service.
#[derive(Debug, Default)]
pub(super) struct Loans {
    /// Unspent loans and until when they may be used, in the order of their expiry.
    unspent: Vec<(Timestamp, RetryCredit)>,
    /// The last ask.
    ask: Option<Ask>,
    /// Requests that wait for the open ask.
    waiting: Vec<RequestId>,
}

impl Loans {
    /// Returns the amount that may still be spent.
    pub(super) fn available(&self, now: Timestamp) -> RetryCredit {
        let usable = self.unspent.iter().filter(|(until, _)| now < *until);
        RetryCredit(usable.map(|(_, amount)| amount.0).sum())
    }

    /// Spends up to `amount`, starting with the loan that expires first; returns how much.
    pub(super) fn spend(&mut self, now: Timestamp, amount: RetryCredit) -> RetryCredit {
        self.unspent.retain(|(until, _)| now < *until);
        let mut spent = 0;
        for (_, loan) in &mut self.unspent {
            let part = loan.0.min(amount.0 - spent);
            loan.0 -= part;
            spent += part;
        }
        self.unspent.retain(|(_, loan)| loan.0 > 0);
        RetryCredit(spent)
    }

    /// Lets a request wait for the ask that is open, if there is one; returns until when.
    pub(super) fn await_open_ask(
        &mut self,
        now: Timestamp,
        request: RequestId,
    ) -> Option<Timestamp> {
        let until = self.ask.as_ref().filter(|it| it.is_open(now))?.until;
        self.waiting.push(request);
        Some(until)
    }

    /// Asks for a loan, unless the last ask has just brought nothing.
    pub(super) fn ask(
        &mut self,
        now: Timestamp,
        number: LoanNumber,
        request: RequestId,
        missing: RetryCredit,
        lenders: &[HostId],
    ) -> Option<NewAsk> {
        let is_paused = |it: &Ask| !it.has_brought_any && now < it.until + ASK_BACKOFF;
        if lenders.is_empty() || self.ask.as_ref().is_some_and(is_paused) {
            return None;
        }
        let lenders: Vec<HostId> = lenders.iter().take(MAX_LENDERS).copied().collect();
        let sufficient = lenders.len().min(SUFFICIENT_LENDERS) as u64;
        let amount = RetryCredit(missing.0.div_ceil(sufficient)).max(MIN_LOAN);
        let until = now + ASK_TIMEOUT;
        self.waiting.push(request);
        self.ask = Some(Ask {
            number,
            until,
            usable_until: now + LOAN_LIFETIME,
            pending: lenders.clone(),
            has_brought_any: false,
        });
        Some(NewAsk { lenders, amount, until })
    }

    /// Records a loan. Those of earlier asks and repeated messages are ignored.
    pub(super) fn receive(&mut self, now: Timestamp, from: HostId, answer: &LoanAnswer) {
        let Some(ask) = self.ask.as_mut().filter(|it| it.number == answer.number) else { return };
        let Some(position) = ask.pending.iter().position(|it| *it == from) else { return };
        ask.pending.remove(position);
        if answer.amount > RetryCredit(0) && now < ask.usable_until {
            ask.has_brought_any = true;
            self.unspent.push((ask.usable_until, answer.amount));
        }
    }

    /// Returns the waiting requests if one of them can be retried or no answer is missing.
    pub(super) fn take_ready(&mut self, now: Timestamp, is_enough: bool) -> Vec<RequestId> {
        match is_enough || self.ask.as_ref().is_none_or(|it| !it.is_open(now)) {
            true => std::mem::take(&mut self.waiting),
            false => Vec::new(),
        }
    }
}

impl Ask {
    fn is_open(&self, now: Timestamp) -> bool {
        now < self.until && !self.pending.is_empty()
    }
}
