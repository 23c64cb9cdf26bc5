//! Holds the rates of organisations over all gateways together.
//!
//! In each data centre one gateway, the keeper, holds an equal part of an organisation's rate in a token
//! bucket; see [`keeper`]. All gateways that know the same hosts pick the same one. A request asks the
//! keeper of its gateway's data centre; if that doesn't answer, the keepers of others.
//!
//! Load patterns:
//!
//! - *The usual load of many organisations, spread over all gateways.* A message to a near gateway and
//!   back for each request; nothing crosses data centres as long as each data centre's part suffices.
//! - *One organisation sends many times its limit.* After a denial its requests are refused at once,
//!   without an ask, until the next one may be granted, and told to return one after the other.
//! - *Keepers are killed, frozen or cut off.* Requests pass them by after one timeout. A gateway that no
//!   keeper answers admits a small part of the rate by itself.

mod keeper;

use std::collections::BTreeMap;

use ids::{
    DataCentreName, FastMap, FastSet, HostId, Millis, OrganisationName, PermitNumber, RequestId,
    Timestamp,
};
use limits::{
    organisations::bucket::{BucketSize, TokenBucket},
    rendezvous,
};
use schema::organisation_rate::{
    OrganisationRateMessage, RateAnswer, RateAsk, RateGiveBack, RateOutcome,
};

use self::keeper::{Keeper, Lender};
use super::{Organisation, OrganisationLimit};

/// Time without an answer after which another keeper is asked: by distance, a round trip and some time
/// on busy hosts.
const ASK_TIMEOUTS: [Millis; 3] = [Millis(50), Millis(50), Millis(100)];

/// Time in which a loan from a data centre arrives, by distance.
const ROUND_TRIPS: [Millis; 3] = [Millis(4), Millis(8), Millis(50)];

/// Time for which a keeper that did not answer is asked only if no other one answers either.
const SILENCE_TIME: Millis = Millis(1_000);

/// Times that a request goes through the keepers, since messages may be lost.
const MAX_LAPS: u32 = 3;

/// Minimum time after which callers are told to return when no keeper answers.
const NO_KEEPER_RETURN_TIME: Millis = Millis(100);

/// Maximum time that a request spends on asks.
const MAX_SEARCH: Millis = Millis(400);

/// Maximum number of times that a request asks again for a loan.
const MAX_LATER: u32 = 3;

/// Time after which a grant is worth nothing, as is one that was not used.
const GRANT_LIFETIME: Millis = Millis(300);

/// Time within which a grant that was not used may be given back.
const GIVE_BACK_TIME: Millis = Millis(500);

/// Maximum time for which requests are refused without an ask after a denial.
const MAX_REFUSAL_TIME: Millis = Millis(200);

/// Longest time after which refused callers are told to return.
const MAX_RETURN_TIME: Millis = Millis(5_000);

/// Time for which a data centre without gateways keeps its part, so that two sides of a cut don't both
/// divide it among themselves.
const PLACE_LIFETIME: Millis = Millis(60_000);

/// Time without a current update after which a gateway may be on the smaller side of a cut, where it
/// keeps rates only while it hears from most gateways of its data centre.
const MAX_OUT_OF_TOUCH: Millis = Millis(1_500);

/// Time for which a gateway counts as heard.
const HEARD_TIME: Millis = Millis(1_000);

/// Part of its share of a rate that a gateway admits by itself when keepers have answered before: both
/// sides of a cut may hold the rate of a data centre.
const CUT_OFF_PARTS: u64 = 12;

/// Window for which the sum over all gateways is bounded, and what it may exceed the limit by: a part
/// and a number of requests. Some of the allowance is left for keepers that overlap in time.
const WINDOW_S: u64 = 5;
const USED_OVER_PERCENT: u64 = 3;
const USED_SLACK_MICRO: u64 = 8_000_000;

/// What a process that has started may admit at once, of the same allowance: callers whose gateways have
/// restarted come back together.
const START_PERCENT: u64 = 3;
const START_SLACK_MICRO: u64 = 6_000_000;

/// Time after the start in which a process may begin with that.
const START_TIME: Millis = Millis(2_000);

/// Micro-tokens per thousandth of a request.
const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_TOKEN: u64 = 1_000_000;

/// Whether a request is within the rate of its organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RateDecision {
    Admitted,
    /// Decide again when the request is woken, or then.
    Wait(Timestamp),
    Refused(RateRefusal),
}

/// Why a request is not within the rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RateRefusal {
    pub(crate) cause: RefusalCause,
    pub(crate) retry_after: Millis,
}

/// What keeps a request from being admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum RefusalCause {
    /// limit-used
    LimitUsed,
    /// no-keeper
    NoKeeper,
}

/// The gateways of a data centre that may be keepers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KeeperPlace {
    pub(crate) data_centre: DataCentreName,
    /// 0 in the same data centre, 1 in the same region, 2 elsewhere.
    pub(crate) distance: usize,
    pub(crate) hosts: Vec<HostId>,
}

/// How far a request has got.
#[derive(Debug, Clone, Copy)]
struct Search {
    began: Timestamp,
    /// Index of the data centre whose keeper is asked.
    place: usize,
    /// Times that all keepers have been passed by.
    lap: u32,
    later: u32,
    state: SearchState,
}

#[derive(Debug, Clone, Copy)]
enum SearchState {
    Open,
    Asked { number: PermitNumber, host: HostId, at: Timestamp, until: Timestamp },
    AskAgain(Timestamp),
    Admitted { by: HostId, at: Timestamp },
    Denied(Millis),
}

/// What a gateway knows of the requests of an organisation.
#[derive(Debug, Default)]
struct OwnPart {
    refused_until: Timestamp,
    /// When the next refused caller is told to return.
    next_return: Timestamp,
    /// Used while no keeper answers.
    bucket: Option<TokenBucket>,
}

/// The rates of all organisations, as far as this gateway has to do with them.
#[derive(Debug)]
pub(crate) struct OrganisationRates {
    own_host: HostId,
    limits: FastMap<OrganisationName, OrganisationLimit>,
    /// The data centres with gateways, the nearest first.
    places: Vec<KeeperPlace>,
    gateways: usize,
    /// When each data centre was last listed.
    listed: BTreeMap<DataCentreName, Timestamp>,
    /// Whether the limits or hosts have changed since the kept rates were adapted.
    is_outdated: bool,
    keeper: Keeper,
    searches: FastMap<RequestId, Search>,
    asks: FastMap<PermitNumber, RequestId>,
    own_parts: FastMap<OrganisationName, OwnPart>,
    silent_until: FastMap<HostId, Timestamp>,
    /// When each gateway of the data centre was last heard.
    heard: FastMap<HostId, Timestamp>,
    current_at: Timestamp,
    /// When this process first knew limits.
    started_at: Option<Timestamp>,
    /// The rates that it has begun to keep since its start.
    started: FastSet<OrganisationName>,
    was_answered: bool,
    next_number: u64,
    messages: Vec<(HostId, OrganisationRateMessage)>,
}

impl OrganisationRates {
    pub(crate) fn new(own_host: HostId) -> Self {
        Self {
            own_host,
            limits: FastMap::default(),
            places: Vec::new(),
            gateways: 1,
            listed: BTreeMap::new(),
            is_outdated: false,
            keeper: Keeper::default(),
            searches: FastMap::default(),
            asks: FastMap::default(),
            own_parts: FastMap::default(),
            silent_until: FastMap::default(),
            heard: FastMap::default(),
            current_at: Timestamp::default(),
            started_at: None,
            started: FastSet::default(),
            was_answered: false,
            next_number: 0,
            messages: Vec::new(),
        }
    }

    /// Sets the organisations of a new configuration.
    pub(crate) fn set_organisations(&mut self, organisations: Option<&[Organisation]>) {
        let all = organisations.unwrap_or_default().iter();
        self.limits = all.filter_map(|it| Some((it.name.clone(), it.limit?))).collect();
        self.own_parts.retain(|it, _| self.limits.contains_key(it));
        self.is_outdated = true;
    }

    /// Sets the gateways that may keep rates.
    pub(crate) fn set_places(&mut self, now: Timestamp, places: Vec<KeeperPlace>) {
        for place in &places {
            self.listed.insert(place.data_centre.clone(), now);
        }
        self.listed.retain(|_, it| now.since(*it) < PLACE_LIFETIME);
        self.gateways = places.iter().map(|it| it.hosts.len()).sum::<usize>().max(1);
        self.places = places;
        let own = self.places.iter().find(|it| it.distance == 0);
        self.heard.retain(|it, _| own.is_some_and(|own| own.hosts.contains(it)));
        self.silent_until.retain(|_, it| now < *it);
        self.is_outdated = true;
    }

    /// Records a message of a gateway of this data centre.
    pub(crate) fn record_heard(&mut self, now: Timestamp, host: HostId) {
        if !self.limits.is_empty() {
            self.heard.insert(host, now);
        }
    }

    /// Records a current update.
    pub(crate) fn record_current(&mut self, now: Timestamp) {
        self.current_at = now;
    }

    /// Returns whether others may have taken over what this gateway keeps.
    fn may_be_replaced(&self, now: Timestamp) -> bool {
        if now.since(self.current_at) < MAX_OUT_OF_TOUCH {
            return false;
        }
        let Some(own) = self.places.iter().find(|it| it.distance == 0) else { return false };
        let is_heard = |it: &&HostId| {
            **it == self.own_host
                || self.heard.get(it).is_some_and(|it| now.since(*it) < HEARD_TIME)
        };
        own.hosts.iter().filter(is_heard).count() * 2 <= own.hosts.len()
    }

    /// Adapts the kept rates to the limits and hosts.
    pub(crate) fn update(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.is_outdated) {
            return;
        }
        let parts = self.listed.len().max(1) as u64;
        let own = self.places.iter().find(|it| it.distance == 0);
        let is_kept = |it: &OrganisationName| match own {
            Some(own) => rendezvous::coordinator(it, &own.hosts) == Some(self.own_host),
            None => self.places.is_empty(),
        };
        if self.limits.is_empty() {
            self.keeper.retain(|_| false);
            return;
        }
        let started_at = *self.started_at.get_or_insert(now);
        self.keeper.retain(|it| self.limits.contains_key(it) && is_kept(it));
        for (organisation, limit) in &self.limits {
            if is_kept(organisation) {
                let is_start = now < started_at + START_TIME;
                let initial = match is_start && self.started.insert(organisation.clone()) {
                    true => start_tokens(limit, parts),
                    false => 0,
                };
                self.keeper.keep(now, organisation, kept_size(limit, parts), initial);
            }
        }
        if now >= started_at + START_TIME {
            self.started.clear();
        }
    }

    /// Returns whether an organisation has a limit.
    pub(crate) fn is_limited(&self, organisation: &OrganisationName) -> bool {
        self.limits.contains_key(organisation)
    }

    /// Returns the number of rates that this gateway keeps.
    pub(crate) fn kept(&self) -> usize {
        self.keeper.count()
    }

    /// Decides whether a request is within the rate of its organisation.
    pub(crate) fn decide(
        &mut self,
        now: Timestamp,
        request: RequestId,
        organisation: &OrganisationName,
    ) -> RateDecision {
        self.update(now);
        let search = self.searches.get(&request).copied();
        let Some(mut search) = search else {
            let part = self.own_parts.entry(organisation.clone()).or_default();
            if now < part.refused_until {
                let free_in = part.refused_until.since(now);
                return self.refuse(now, organisation, RefusalCause::LimitUsed, free_in);
            }
            let search =
                Search { began: now, place: 0, lap: 0, later: 0, state: SearchState::Open };
            return self.search(now, request, organisation, search);
        };
        match search.state {
            SearchState::Admitted { .. } => return RateDecision::Admitted,
            SearchState::Denied(free_in) => {
                self.searches.remove(&request);
                return self.refuse(now, organisation, RefusalCause::LimitUsed, free_in);
            }
            SearchState::Asked { until, .. } if now < until => return RateDecision::Wait(until),
            SearchState::AskAgain(at) if now < at => return RateDecision::Wait(at),
            SearchState::Asked { number, host, .. } => {
                self.asks.remove(&number);
                self.silent_until.insert(host, now + SILENCE_TIME);
                search.place += 1;
            }
            SearchState::AskAgain(_) | SearchState::Open => {}
        }
        self.search(now, request, organisation, search)
    }

    /// Asks the next keeper; this gateway itself if it is one.
    fn search(
        &mut self,
        now: Timestamp,
        request: RequestId,
        organisation: &OrganisationName,
        mut search: Search,
    ) -> RateDecision {
        loop {
            let is_over = now.since(search.began) >= MAX_SEARCH || search.lap >= MAX_LAPS;
            if is_over {
                self.searches.remove(&request);
                return self.use_own_part(now, request, organisation);
            }
            let Some((host, distance)) = self.keeper_at(search.place, organisation) else {
                (search.place, search.lap) = (0, search.lap + 1);
                continue;
            };
            let is_silent = self.silent_until.get(&host).is_some_and(|it| now < *it);
            if is_silent && search.lap == 0 {
                search.place += 1;
                continue;
            }
            self.next_number += 1;
            let number = PermitNumber(self.next_number);
            if host != self.own_host {
                let until = now + ASK_TIMEOUTS[distance.min(2)];
                search.state = SearchState::Asked { number, host, at: now, until };
                self.searches.insert(request, search);
                self.asks.insert(number, request);
                let ask = RateAsk { number, organisation: organisation.clone() };
                self.messages.push((host, OrganisationRateMessage::Ask(ask)));
                return RateDecision::Wait(until);
            }
            match self.grant(now, organisation) {
                RateOutcome::NotKeeper => search.place += 1,
                outcome => {
                    search.apply(now, host, &outcome);
                    self.searches.insert(request, search);
                    self.note_answer(now, organisation, &outcome);
                    return self.decide(now, request, organisation);
                }
            }
        }
    }

    /// Returns the keeper of a data centre, and its distance.
    fn keeper_at(&self, place: usize, organisation: &OrganisationName) -> Option<(HostId, usize)> {
        if self.places.is_empty() && place == 0 {
            return Some((self.own_host, 0));
        }
        let place = self.places.get(place)?;
        let host = rendezvous::coordinator(organisation, &place.hosts)?;
        Some((host, place.distance))
    }

    fn grant(&mut self, now: Timestamp, organisation: &OrganisationName) -> RateOutcome {
        if self.may_be_replaced(now) {
            return RateOutcome::NotKeeper;
        }
        let others = self.places.iter().filter(|it| it.distance > 0);
        let lenders = || {
            let lenders = others.filter_map(|it| {
                let host = rendezvous::coordinator(organisation, &it.hosts)?;
                Some(Lender { host, round_trip: ROUND_TRIPS[it.distance.min(2)] })
            });
            lenders.collect()
        };
        self.keeper.grant(now, organisation, lenders, &mut self.messages)
    }

    /// Admits a request by this gateway's own part of the rate, since no keeper answers.
    fn use_own_part(
        &mut self,
        now: Timestamp,
        request: RequestId,
        organisation: &OrganisationName,
    ) -> RateDecision {
        let Some(limit) = self.limits.get(organisation) else { return RateDecision::Admitted };
        let parts = self.gateways as u64 * if self.was_answered { CUT_OFF_PARTS } else { 1 };
        let size = own_size(limit, parts);
        let part = self.own_parts.entry(organisation.clone()).or_default();
        let bucket = part.bucket.get_or_insert_with(|| TokenBucket::empty(now, size));
        if bucket.size() != size {
            bucket.resize(now, size);
        }
        if bucket.take_up_to(now, 1) == 0 {
            return self.refuse(now, organisation, RefusalCause::NoKeeper, NO_KEEPER_RETURN_TIME);
        }
        let state = SearchState::Admitted { by: self.own_host, at: now };
        self.searches.insert(request, Search { began: now, place: 0, lap: 0, later: 0, state });
        RateDecision::Admitted
    }

    /// Refuses a request; callers return one after the other, at this gateway's part of the rate.
    fn refuse(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationName,
        cause: RefusalCause,
        free_in: Millis,
    ) -> RateDecision {
        let rate = self.limits.get(organisation).map_or(1, |it| it.rate.0.max(1));
        let interval = Millis(1_000_000 * self.gateways as u64 / rate);
        let part = self.own_parts.entry(organisation.clone()).or_default();
        let at = part.next_return.max(now + free_in).min(now + MAX_RETURN_TIME);
        part.next_return = at + interval;
        let retry_after = at.since(now).max(Millis(1));
        RateDecision::Refused(RateRefusal { cause, retry_after })
    }

    /// Removes a request; gives back what it didn't use.
    pub(crate) fn forget(
        &mut self,
        now: Timestamp,
        request: RequestId,
        organisation: &OrganisationName,
        was_used: bool,
    ) {
        let Some(search) = self.searches.remove(&request) else { return };
        match search.state {
            SearchState::Asked { number, .. } => {
                self.asks.remove(&number);
            }
            SearchState::Admitted { by, at } if !was_used && now.since(at) < GIVE_BACK_TIME => {
                self.give_back(now, by, organisation);
            }
            _ => {}
        }
    }

    fn give_back(&mut self, now: Timestamp, to: HostId, organisation: &OrganisationName) {
        if to == self.own_host {
            self.keeper.give_back(now, organisation);
            return;
        }
        let back = RateGiveBack { organisation: organisation.clone() };
        self.messages.push((to, OrganisationRateMessage::GiveBack(back)));
    }

    /// Processes a message; returns the request that should be stepped again.
    pub(crate) fn on_message(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: &OrganisationRateMessage,
        organisation_of: impl Fn(RequestId) -> Option<OrganisationName>,
    ) -> Option<RequestId> {
        self.update(now);
        match message {
            OrganisationRateMessage::Ask(ask) => {
                let outcome = self.grant(now, &ask.organisation);
                let answer = RateAnswer { number: ask.number, outcome };
                self.messages.push((from, OrganisationRateMessage::Answer(answer)));
                None
            }
            OrganisationRateMessage::Answer(answer) => {
                self.on_answer(now, from, answer, organisation_of)
            }
            OrganisationRateMessage::GiveBack(back) => {
                self.keeper.give_back(now, &back.organisation);
                None
            }
            OrganisationRateMessage::LoanAsk(ask) => {
                let mut answer = self.keeper.lend(now, ask);
                if self.may_be_replaced(now) {
                    answer.lent = 0;
                }
                self.messages.push((from, OrganisationRateMessage::LoanAnswer(answer)));
                None
            }
            OrganisationRateMessage::LoanAnswer(answer) => {
                self.keeper.on_loan(now, answer);
                None
            }
        }
    }

    fn on_answer(
        &mut self,
        now: Timestamp,
        from: HostId,
        answer: &RateAnswer,
        organisation_of: impl Fn(RequestId) -> Option<OrganisationName>,
    ) -> Option<RequestId> {
        self.silent_until.remove(&from);
        self.was_answered = true;
        let request = self.asks.remove(&answer.number)?;
        let organisation = organisation_of(request)?;
        let search = self.searches.get_mut(&request)?;
        let SearchState::Asked { at, .. } = search.state else { return None };
        if now.since(at) >= GRANT_LIFETIME {
            search.state = SearchState::Open;
            search.began = now;
            return Some(request);
        }
        search.apply(now, from, &answer.outcome);
        self.note_answer(now, &organisation, &answer.outcome);
        Some(request)
    }

    fn note_answer(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationName,
        outcome: &RateOutcome,
    ) {
        let part = self.own_parts.entry(organisation.clone()).or_default();
        match outcome {
            RateOutcome::Granted | RateOutcome::Later(_) => part.bucket = None,
            RateOutcome::Denied(free_in) => {
                part.bucket = None;
                part.refused_until = now + (*free_in).min(MAX_REFUSAL_TIME);
            }
            RateOutcome::NotKeeper => {}
        }
    }

    /// Takes the pending messages for other gateways.
    pub(crate) fn take_messages(&mut self) -> Vec<(HostId, OrganisationRateMessage)> {
        std::mem::take(&mut self.messages)
    }
}

impl Search {
    fn apply(&mut self, now: Timestamp, by: HostId, outcome: &RateOutcome) {
        self.state = match outcome {
            RateOutcome::Granted => SearchState::Admitted { by, at: now },
            RateOutcome::Denied(free_in) => SearchState::Denied(*free_in),
            RateOutcome::Later(wait) if self.later < MAX_LATER => {
                self.later += 1;
                SearchState::AskAgain(now + *wait)
            }
            RateOutcome::Later(wait) => SearchState::Denied(*wait),
            RateOutcome::NotKeeper => {
                self.place += 1;
                SearchState::Open
            }
        };
    }
}

/// Returns the size of a data centre's part of a limit.
fn kept_size(limit: &OrganisationLimit, parts: u64) -> BucketSize {
    let rate = limit.rate.0.saturating_mul(MICROS_PER_MILLI);
    let burst = limit.burst_milli.saturating_mul(MICROS_PER_MILLI);
    let allowed = rate.saturating_mul(WINDOW_S).saturating_add(burst);
    let over = allowed / 100 * USED_OVER_PERCENT + USED_SLACK_MICRO;
    BucketSize {
        rate: rate / parts,
        burst: (burst.saturating_add(over) / parts).max(MICROS_PER_TOKEN),
    }
}

/// Returns what a process that has started may admit at once of a data centre's part of a limit.
fn start_tokens(limit: &OrganisationLimit, parts: u64) -> u64 {
    let milli = limit.rate.0.saturating_mul(WINDOW_S).saturating_add(limit.burst_milli);
    let allowed = milli.saturating_mul(MICROS_PER_MILLI);
    (allowed / 100 * START_PERCENT + START_SLACK_MICRO) / parts / MICROS_PER_TOKEN
}

/// Returns the size of one gateway's own part of a limit.
fn own_size(limit: &OrganisationLimit, parts: u64) -> BucketSize {
    let rate = limit.rate.0.saturating_mul(MICROS_PER_MILLI);
    let burst = limit.burst_milli.saturating_mul(MICROS_PER_MILLI);
    BucketSize { rate: rate / parts, burst: (burst / parts).max(MICROS_PER_TOKEN) }
}
