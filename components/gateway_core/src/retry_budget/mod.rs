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
//! - *Many gateways are killed right after a burst of retries.* Their next processes go on with what
//!   control hosts have recorded of them; see [`earlier`].

mod earlier;
mod loans;

use std::collections::BTreeMap;

use ids::{FastMap, HostId, LoanNumber, Millis, RequestId, RetryCredit, ServiceName, Timestamp};
use schema::retry_budget::{
    EarlierRetryCharges, LoanAnswer, LoanAsk, RetryBudgetMessage, RetryCharges, RetrySlice,
};

use crate::{events::RetryUsage, settings::RetryBudgetSettings};
use earlier::{EarlierKnown, RECORDERS, Reported};
use loans::{Loans, MIN_LOAN};

/// Minimum number of entry hosts assumed, so that the budget isn't exceeded while few are known.
const MIN_ASSUMED_HOSTS: u64 = 24;

/// Fraction of the budget that is used, in thousandths. The window of a gateway that was frozen is
/// longer than that of the servers, and requests that servers send to each other are counted here,
/// but may not be part of the budget.
const USABLE_SHARE_MILLI: u64 = 800;

/// Fraction of the budget that a process uses as long as it doesn't know what earlier ones have spent
/// in the window, in thousandths.
const RESERVE_MILLI: u64 = 1_000 - USABLE_SHARE_MILLI;

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

impl Slice {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.charged += other.charged;
    }
}

/// This gateway's part of the budget of one service.
#[derive(Debug, Default)]
struct Account {
    /// Slices by index; loans are charged to later slices than that of the present.
    slices: BTreeMap<u64, Slice>,
    /// Slices of earlier processes, by index.
    earlier: BTreeMap<u64, Slice>,
    reported: Reported,
    loans: Loans,
}

/// This gateway's part of the retry budgets, by service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    settings: RetryBudgetSettings,
    /// When this process started.
    started: Timestamp,
    earlier_known: EarlierKnown,
    /// The control hosts that record the charges of this gateway.
    recorders: Vec<HostId>,
    accounts: FastMap<ServiceName, Account>,
    next_loan: LoanNumber,
    messages: Vec<(HostId, RetryBudgetMessage)>,
}

impl RetryBudget {
    pub(crate) fn new(settings: RetryBudgetSettings, started: Timestamp) -> Self {
        Self {
            settings,
            started,
            earlier_known: EarlierKnown::default(),
            recorders: Vec::new(),
            accounts: FastMap::default(),
            next_loan: LoanNumber(1),
            messages: Vec::new(),
        }
    }

    /// Sets the control hosts, the most suitable first, of which some record the charges of this
    /// gateway, and asks them for those of earlier processes.
    pub(crate) fn set_control_hosts(&mut self, now: Timestamp, mut control_hosts: Vec<HostId>) {
        control_hosts.truncate(RECORDERS);
        self.recorders = control_hosts;
        if self.earlier_known.should_ask(now) {
            let asks = self.recorders.iter();
            self.messages.extend(asks.map(|it| (*it, RetryBudgetMessage::EarlierChargesWanted)));
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
        self.report_charges(now, service, RetryCredit(u64::MAX));
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
        let account = self.accounts.get(service);
        let Slice { requests, charged } =
            account.map(|it| self.sum_of_window(now, it)).unwrap_or_default();
        let charged = RetryCredit(charged);
        let borrowed = account.map(|it| it.loans.available(now)).unwrap_or_default();
        let fleet_hosts = (fleet_hosts as u64).max(MIN_ASSUMED_HOSTS);
        let share = requests.saturating_mul(self.settings.share_milli);
        let fixed = self.settings.slack_milli / fleet_hosts;
        let budget = share.saturating_add(fixed);
        let usable = if self.knows_window(now) { USABLE_SHARE_MILLI } else { RESERVE_MILLI };
        let allowed = RetryCredit(budget.saturating_mul(usable) / 1_000);
        RetryUsage { requests, charged, borrowed, allowed }
    }

    /// Returns the sum of the window's slices, those of earlier processes included.
    fn sum_of_window(&self, now: Timestamp, account: &Account) -> Slice {
        let mut sum = Slice::default();
        self.slices_of_window(now, account).for_each(|(_, it)| sum.add(it));
        sum
    }

    fn slices_of_window<'a>(
        &self,
        now: Timestamp,
        account: &'a Account,
    ) -> impl Iterator<Item = (u64, &'a Slice)> {
        let oldest = self.slice_index(now).saturating_sub(WINDOW_SLICES);
        let slices = account.earlier.range(oldest..).chain(account.slices.range(oldest..));
        slices.map(|(index, it)| (*index, it))
    }

    /// Returns whether this process knows all charges of the window.
    fn knows_window(&self, now: Timestamp) -> bool {
        self.earlier_known.is_known() || now.since(self.started) >= self.settings.window
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
            let charged = RetryCredit(RETRY.0 - borrowed.0);
            self.charge(now, service, index, charged, fleet_hosts);
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
            self.messages.push((to, RetryBudgetMessage::LoanAsk(ask)));
        }
        RetryDecision::AwaitLoan(ask.until)
    }

    /// Processes a message of another gateway; returns the requests that should be stepped again.
    pub(crate) fn on_message(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: &RetryBudgetMessage,
        fleet_hosts: usize,
    ) -> Vec<RequestId> {
        match message {
            RetryBudgetMessage::LoanAsk(ask) => {
                self.lend(now, from, ask, fleet_hosts);
                Vec::new()
            }
            RetryBudgetMessage::LoanAnswer(answer) => self.receive(now, from, answer, fleet_hosts),
            RetryBudgetMessage::EarlierCharges(earlier) => {
                self.record_earlier(now, from, earlier);
                Vec::new()
            }
            // Messages to control hosts.
            RetryBudgetMessage::Charges(_) | RetryBudgetMessage::EarlierChargesWanted => Vec::new(),
        }
    }

    /// Returns whether control hosts have told what earlier processes have charged.
    pub(crate) fn knows_earlier(&self) -> bool {
        self.earlier_known.is_known()
    }

    /// Returns what earlier processes are known to have charged in the window, for all services.
    pub(crate) fn earlier_charges(&self, now: Timestamp) -> RetryCredit {
        let oldest = self.slice_index(now).saturating_sub(WINDOW_SLICES);
        let earlier = self.accounts.values().flat_map(|it| it.earlier.range(oldest..));
        RetryCredit(earlier.map(|(_, it)| it.charged).sum())
    }

    /// Takes the pending messages for other gateways and control hosts.
    pub(crate) fn take_messages(&mut self) -> Vec<(HostId, RetryBudgetMessage)> {
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
            self.charge(now, &ask.service, index, amount, fleet_hosts);
        }
        let answer = LoanAnswer { number: ask.number, service: ask.service.clone(), amount };
        self.messages.push((to, RetryBudgetMessage::LoanAnswer(answer)));
    }

    /// Charges an amount to a slice of the window, and reports the charges if that is due.
    fn charge(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        index: u64,
        amount: RetryCredit,
        fleet_hosts: usize,
    ) {
        let account = self.account(service);
        account.slices.entry(index).or_default().charged += amount.0;
        account.reported.record_charge(amount);
        let allowed = self.usage(now, service, fleet_hosts).allowed;
        self.report_charges(now, service, allowed);
    }

    /// Reports the charges of the window if that is due. A report replaces that of the process before,
    /// so it has to include the charges of that one.
    fn report_charges(&mut self, now: Timestamp, service: &ServiceName, allowed: RetryCredit) {
        let Some(account) = self.accounts.get(service) else { return };
        if !account.reported.is_due(now, allowed) || !self.knows_window(now) {
            return;
        }
        let slices = self.slices_of_window(now, account).map(|(index, it)| RetrySlice {
            age_ms: self.slice_age(now, index),
            requests: it.requests,
            charged: RetryCredit(it.charged),
        });
        let charges = RetryCharges { service: service.clone(), slices: slices.collect() };
        self.account(service).reported.record_report(now);
        let message = RetryBudgetMessage::Charges(charges);
        self.messages.extend(self.recorders.iter().map(|it| (*it, message.clone())));
    }

    /// Records what a control host knows of the charges of earlier processes.
    fn record_earlier(&mut self, now: Timestamp, from: HostId, earlier: &EarlierRetryCharges) {
        for aged in &earlier.services {
            let RetryCharges { service, slices } = &aged.charges;
            let mut earlier: BTreeMap<u64, Slice> = BTreeMap::new();
            for slice in slices {
                let index = self
                    .slice_index_before(now, Millis(aged.age_ms.0.saturating_add(slice.age_ms.0)));
                let slice = Slice { requests: slice.requests, charged: slice.charged.0 };
                earlier.entry(index).or_default().add(&slice);
            }
            // A control host may have missed reports.
            let charged = |it: &BTreeMap<u64, Slice>| it.values().map(|it| it.charged).sum::<u64>();
            let account = self.account(service);
            if charged(&earlier) >= charged(&account.earlier) {
                account.earlier = earlier;
            }
        }
        if earlier.known_for_ms >= self.settings.window {
            self.earlier_known.record_answer(from, &self.recorders);
        }
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
        self.slice_index_before(now, Millis(0))
    }

    /// Returns the index of the slice of some time before. Slices are counted from a window before the
    /// clock's zero, since earlier processes ended before this one started.
    fn slice_index_before(&self, now: Timestamp, age: Millis) -> u64 {
        let micros = self.micros_since_first_slice(now);
        micros.saturating_sub(age.0.saturating_mul(1_000)) / self.slice_micros()
    }

    /// Returns the time since the start of a slice.
    fn slice_age(&self, now: Timestamp, index: u64) -> Millis {
        let start = index.saturating_mul(self.slice_micros());
        Millis(self.micros_since_first_slice(now).saturating_sub(start) / 1_000)
    }

    fn micros_since_first_slice(&self, now: Timestamp) -> u64 {
        now.0.saturating_add(self.settings.window.0.saturating_mul(1_000))
    }

    fn slice_micros(&self) -> u64 {
        (self.settings.window.0.saturating_mul(1_000) / WINDOW_SLICES).max(1)
    }
}
