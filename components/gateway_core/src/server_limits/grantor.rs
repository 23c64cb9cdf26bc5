//! Grants permits for servers at the rate of their limits, as long as a lease lasts.
//!
//! A lease holds when a majority of the control hosts has granted it. A control host grants no other
//! one for [`LIMIT_LEASE_TIME`], and none right after its own start. The holder counts that time from
//! before it asked, so that its lease ends first. Two majorities share a control host if both count the
//! same hosts, which the control hosts check.
//!
//! A new grantor starts without unused permits: what the previous one granted last may still be on the
//! way.

use ids::{FastMap, HostId, LIMIT_LEASE_TIME, LimitRate, Millis, PermitNumber, Timestamp};
use schema::{
    list_digest,
    server_limit::{
        LimitLeaseAnswer, LimitLeaseAsk, LimitLeaseRelease, PermitOutcome, ServerLimitMessage,
    },
};

use crate::servers::ServerKey;

/// Part of the lease that is not used, for clocks of different speed.
const LEASE_MARGIN: Millis = Millis(200);

/// Age at which a lease in use is renewed.
const RENEW_AFTER: Millis = Millis(1_000);

/// Minimum time between two asks for the same lease.
const LEASE_ASK_INTERVAL: Millis = Millis(300);

/// Time after which a permit may be free when there is no lease yet: a round trip to a majority of
/// the control hosts.
const LEASE_WAIT: Millis = Millis(100);

/// Time for which unused permits are kept.
const UNUSED_TIME: Millis = Millis(1_000);

/// Maximum number of servers with a lease or an ask; those without a lease are dropped first.
const MAX_SERVERS: usize = 8_192;

/// Microseconds per request at a rate of a thousandth of a request per second.
const MICROS_PER_REQUEST_MILLI: u64 = 1_000_000_000;

/// An ask for a lease, and who has answered.
#[derive(Debug)]
struct LeaseAsk {
    number: PermitNumber,
    sent_at: Timestamp,
    control_hosts: Vec<HostId>,
    granted_by: Vec<HostId>,
    refused_by: Vec<HostId>,
}

/// The permits of one server.
#[derive(Debug, Default)]
struct Grants {
    /// When the lease began, and when it ends.
    lease: Option<(Timestamp, Timestamp)>,
    ask: Option<LeaseAsk>,
    last_ask_at: Option<Timestamp>,
    /// When the next permit becomes free.
    next_free: Timestamp,
}

impl Grants {
    fn holds_lease(&self, now: Timestamp) -> bool {
        self.lease.is_some_and(|(_, until)| now < until)
    }
}

/// The servers of which this gateway is or wants to be the grantor.
#[derive(Debug, Default)]
pub(super) struct Grantor {
    control_hosts: Vec<HostId>,
    grants: FastMap<ServerKey, Grants>,
}

impl Grantor {
    pub(super) fn set_control_hosts(&mut self, mut control_hosts: Vec<HostId>) {
        control_hosts.sort();
        self.control_hosts = control_hosts;
    }

    /// Grants a permit that is free within `max_wait`, or denies it.
    pub(super) fn grant(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        rate: LimitRate,
        max_wait: Millis,
        next_number: &mut PermitNumber,
        messages: &mut Vec<(HostId, ServerLimitMessage)>,
    ) -> PermitOutcome {
        if !self.grants.contains_key(&key) && self.grants.len() >= MAX_SERVERS {
            self.grants.retain(|_, it| it.holds_lease(now));
        }
        let grants = self.grants.entry(key).or_default();
        let is_renewal_due =
            grants.lease.is_none_or(|(from, until)| now >= until || now >= from + RENEW_AFTER);
        let may_ask = grants.last_ask_at.is_none_or(|it| now.since(it) >= LEASE_ASK_INTERVAL);
        if is_renewal_due && may_ask && !self.control_hosts.is_empty() {
            let number = *next_number;
            *next_number = number.next();
            grants.ask_for_lease(now, key, number, &self.control_hosts, messages);
        }
        let Some((_, lease_until)) = grants.lease.filter(|(_, until)| now < *until) else {
            return PermitOutcome::Denied(LEASE_WAIT);
        };
        let slot = grants.next_free.max(now - UNUSED_TIME);
        let usable_at = slot.max(now);
        let wait = Millis(usable_at.micros_since(now).div_ceil(1_000));
        if wait > max_wait || usable_at >= lease_until {
            return PermitOutcome::Denied(wait.max(Millis(1)));
        }
        grants.next_free = next_free_after(slot, rate);
        PermitOutcome::Granted(wait)
    }

    pub(super) fn on_lease_answer(
        &mut self,
        now: Timestamp,
        from: HostId,
        answer: &LimitLeaseAnswer,
        messages: &mut Vec<(HostId, ServerLimitMessage)>,
    ) -> Option<ServerKey> {
        let is_asked = |it: &Grants| it.ask.as_ref().is_some_and(|it| it.number == answer.number);
        let (key, grants) = self.grants.iter_mut().find(|(_, it)| is_asked(it))?;
        let ask = grants.ask.as_mut()?;
        let majority = ask.control_hosts.len() / 2 + 1;
        let has_answered = ask.granted_by.contains(&from) || ask.refused_by.contains(&from);
        if has_answered || !ask.control_hosts.contains(&from) {
            return None;
        }
        match answer.is_granted {
            true => ask.granted_by.push(from),
            false => ask.refused_by.push(from),
        }
        if ask.granted_by.len() >= majority {
            let until = ask.sent_at + LIMIT_LEASE_TIME - LEASE_MARGIN;
            let sent_at = ask.sent_at;
            let is_new = !grants.holds_lease(now);
            grants.ask = None;
            if now >= until {
                return None;
            }
            grants.lease = Some((sent_at, until));
            if is_new {
                grants.next_free = grants.next_free.max(now);
            }
            return is_new.then_some(*key);
        }
        if ask.refused_by.len() > ask.control_hosts.len() - majority && !grants.holds_lease(now) {
            grants.release(*key, messages);
        }
        None
    }
}

impl Grants {
    fn ask_for_lease(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        number: PermitNumber,
        control_hosts: &[HostId],
        messages: &mut Vec<(HostId, ServerLimitMessage)>,
    ) {
        let ServerKey { address, incarnation } = key;
        let digest = list_digest(control_hosts);
        let ask = LimitLeaseAsk { number, address, incarnation, control_hosts: digest };
        let asks = control_hosts.iter().map(|it| (*it, ServerLimitMessage::LeaseAsk(ask.clone())));
        messages.extend(asks);
        self.last_ask_at = Some(now);
        self.ask = Some(LeaseAsk {
            number,
            sent_at: now,
            control_hosts: control_hosts.to_vec(),
            granted_by: Vec::new(),
            refused_by: Vec::new(),
        });
    }

    /// Gives up an ask that no majority will grant, so that another gateway can get the lease.
    fn release(&mut self, key: ServerKey, messages: &mut Vec<(HostId, ServerLimitMessage)>) {
        let Some(ask) = self.ask.take() else { return };
        let ServerKey { address, incarnation } = key;
        let release = LimitLeaseRelease { number: ask.number, address, incarnation };
        let releases = ask.control_hosts.iter();
        messages
            .extend(releases.map(|it| (*it, ServerLimitMessage::LeaseRelease(release.clone()))));
    }
}

/// Returns when a permit is free after one was used.
fn next_free_after(used: Timestamp, rate: LimitRate) -> Timestamp {
    Timestamp(used.0.saturating_add(MICROS_PER_REQUEST_MILLI.div_ceil(rate.0.max(1))))
}
