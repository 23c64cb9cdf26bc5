//! The fleet's retry budget, of which each gateway spends only its own part.
//!
//! A retry here is every attempt of a request after the first that reached a server or may still
//! reach one, including hedged attempts. The part of a gateway is a fraction of its own requests and
//! an equal fraction of the fixed allowance of the fleet, so that the parts never sum to more than
//! the budget, whether or not gateways hear each other.
//!
//! Load patterns:
//!
//! - *A server breaks*, and a gateway that has sent only a few requests needs several retries within
//!   a second. It borrows from other gateways of its data centre; see [`loans`].
//! - *All servers shed while gateways are frozen, cut off or overloaded*, so that reports between
//!   them are late or lost. None of them needs to know what the others have spent.

mod loans;

use std::collections::BTreeMap;

use ids::{FastMap, HostId, LoanNumber, RequestId, RetryCredit, ServiceName, Timestamp};
use schema::retry_loan::{LoanAnswer, LoanAsk, RetryLoanMessage};

use crate::{events::RetryUsage, settings::RetryBudgetSettings};
use loans::{Loans, MIN_LOAN};

/// Minimum number of entry hosts assumed, so that the budget isn't exceeded while few are known.
const MIN_ASSUMED_HOSTS: u64 = 24;

/// Fraction of the budget that is used, in thousandths. The window of a gateway that was frozen is
/// longer than that of the servers, and requests that servers send to each other are counted here,
/// but may not be part of the budget.
const USABLE_SHARE_MILLI: u64 = 800;

/// Fraction of the fixed allowance that is used at the start of a process, in thousandths. It rises
/// to [`USABLE_SHARE_MILLI`] within a window, as what the previous process has spent expires.
const INITIAL_FIXED_SHARE_MILLI: u64 = 1_000 - USABLE_SHARE_MILLI;

/// Number of slices of the window; the oldest slice expires as a whole.
const WINDOW_SLICES: u64 = 20;

/// Cost of a retry.
const RETRY: RetryCredit = RetryCredit(1_000);

/// Whether a request may be retried now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// The retry has been charged and must be sent.
    Send,
    /// Other gateways were asked for a loan; decide again when the request is woken, or then.
    AwaitLoan(Timestamp),
    /// The budget is spent.
    Deny,
}

/// One slice of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    requests: u64,
    /// Retries of this gateway that were not paid by a loan, and loans to others.
    charged: u64,
}

/// This gateway's part of the budget of one service.
#[derive(Debug, Default)]
struct Account {
    /// Slices by index; loans are charged to later slices than that of the present.
    slices: BTreeMap<u64, Slice>,
    loans: Loans,
}

/// This gateway's part of the retry budgets, by service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    settings: RetryBudgetSettings,
    /// When this process started.
    started: Timestamp,
    accounts: FastMap<ServiceName, Account>,
    next_loan: LoanNumber,
    messages: Vec<(HostId, RetryLoanMessage)>,
}

impl RetryBudget {
    pub(crate) fn new(settings: RetryBudgetSettings, started: Timestamp) -> Self {
        Self {
            settings,
            started,
            accounts: FastMap::default(),
            next_loan: LoanNumber(1),
            messages: Vec::new(),
        }
    }

    /// Records a request of a caller, whether or not it will be sent.
    pub(crate) fn record_request(&mut self, now: Timestamp, service: &ServiceName) {
        let index = self.slice_index(now);
        let account = self.account(service);
        account.slices.entry(index).or_default().requests += 1;
        while account.slices.first_key_value().is_some_and(|(it, _)| it + WINDOW_SLICES < index) {
            account.slices.pop_first();
        }
    }

    /// Returns what this gateway may still spend in the window, and what it has spent.
    ///
    /// `fleet_hosts` is the number of entry hosts in the fleet.
    pub(crate) fn usage(
        &self,
        now: Timestamp,
        service: &ServiceName,
        fleet_hosts: usize,
    ) -> RetryUsage {
        let mut usage = RetryUsage::default();
        let oldest = self.slice_index(now).saturating_sub(WINDOW_SLICES);
        if let Some(account) = self.accounts.get(service) {
            for slice in account.slices.range(oldest..).map(|(_, it)| it) {
                usage.requests += slice.requests;
                usage.charged.0 += slice.charged;
            }
            usage.borrowed = account.loans.available(now);
        }
        let fleet_hosts = (fleet_hosts as u64).max(MIN_ASSUMED_HOSTS);
        let share = usage.requests.saturating_mul(self.settings.share_milli);
        let share = share.saturating_mul(USABLE_SHARE_MILLI) / 1_000;
        let fixed = self.settings.slack_milli / fleet_hosts;
        let fixed = fixed.saturating_mul(self.usable_fixed_milli(now)) / 1_000;
        usage.allowed = RetryCredit(share.saturating_add(fixed));
        usage
    }

    fn usable_fixed_milli(&self, now: Timestamp) -> u64 {
        let window = self.settings.window.0.max(1);
        let age = now.since(self.started).0.min(window);
        let rise = (USABLE_SHARE_MILLI - INITIAL_FIXED_SHARE_MILLI) * age / window;
        INITIAL_FIXED_SHARE_MILLI + rise
    }

    /// Charges a retry of `request`, or asks some of `lenders` for what is missing.
    pub(crate) fn decide(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        fleet_hosts: usize,
        request: RequestId,
        lenders: &[HostId],
    ) -> RetryDecision {
        let usage = self.usage(now, service, fleet_hosts);
        let index = self.slice_index(now);
        if usage.available() >= RETRY {
            let account = self.account(service);
            let borrowed = account.loans.spend(now, RETRY);
            account.slices.entry(index).or_default().charged += RETRY.0 - borrowed.0;
            return RetryDecision::Send;
        }
        let number = self.next_loan;
        let account = self.account(service);
        if let Some(until) = account.loans.await_open_ask(now, request) {
            return RetryDecision::AwaitLoan(until);
        }
        let missing = RetryCredit(RETRY.0 - usage.available().0);
        let Some(ask) = account.loans.ask(now, number, request, missing, lenders) else {
            return RetryDecision::Deny;
        };
        self.next_loan = number.next();
        for to in ask.lenders {
            let ask = LoanAsk { number, service: service.clone(), amount: ask.amount };
            self.messages.push((to, RetryLoanMessage::Ask(ask)));
        }
        RetryDecision::AwaitLoan(ask.until)
    }

    /// Processes a message of another gateway; returns the requests that should be stepped again.
    pub(crate) fn on_message(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: &RetryLoanMessage,
        fleet_hosts: usize,
    ) -> Vec<RequestId> {
        match message {
            RetryLoanMessage::Ask(ask) => {
                self.lend(now, from, ask, fleet_hosts);
                Vec::new()
            }
            RetryLoanMessage::Answer(answer) => self.receive(now, from, answer, fleet_hosts),
        }
    }

    /// Takes the pending messages for other gateways.
    pub(crate) fn take_messages(&mut self) -> Vec<(HostId, RetryLoanMessage)> {
        std::mem::take(&mut self.messages)
    }

    /// Lends what is asked for or left, and charges it for as long as the borrower may use it and for
    /// a window after that.
    fn lend(&mut self, now: Timestamp, to: HostId, ask: &LoanAsk, fleet_hosts: usize) {
        let left = self.usage(now, &ask.service, fleet_hosts).left();
        let amount = RetryCredit(ask.amount.0.min(left.0));
        let amount = if amount < MIN_LOAN { RetryCredit(0) } else { amount };
        if amount > RetryCredit(0) {
            let index = self.slice_index(now + loans::LOAN_LIFETIME);
            self.account(&ask.service).slices.entry(index).or_default().charged += amount.0;
        }
        let answer = LoanAnswer { number: ask.number, service: ask.service.clone(), amount };
        self.messages.push((to, RetryLoanMessage::Answer(answer)));
    }

    fn receive(
        &mut self,
        now: Timestamp,
        from: HostId,
        answer: &LoanAnswer,
        fleet_hosts: usize,
    ) -> Vec<RequestId> {
        if !self.accounts.contains_key(&answer.service) {
            return Vec::new();
        }
        self.account(&answer.service).loans.receive(now, from, answer);
        let is_enough = self.usage(now, &answer.service, fleet_hosts).available() >= RETRY;
        self.account(&answer.service).loans.take_ready(now, is_enough)
    }

    fn account(&mut self, service: &ServiceName) -> &mut Account {
        if !self.accounts.contains_key(service) {
            self.accounts.insert(service.clone(), Account::default());
        }
        self.accounts.get_mut(service).expect("was just inserted")
    }

    fn slice_index(&self, now: Timestamp) -> u64 {
        now.0 / (self.settings.window.0 * 1_000 / WINDOW_SLICES).max(1)
    }
}
