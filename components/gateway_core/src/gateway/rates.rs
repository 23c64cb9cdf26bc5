//! Holds the requests of organisations to their rates.

use ids::{HostId, RequestId, Timestamp};
use schema::organisation_rate::OrganisationRateMessage;

use super::Gateway;
use crate::{
    events::Event,
    organisations::RateDecision,
    requests::{RefusalReason, Request, RunStatus, Step},
};

impl Gateway {
    /// Processes a message of another gateway about the rate of an organisation.
    pub fn on_organisation_rate(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: &OrganisationRateMessage,
    ) {
        self.update_rates(now);
        let is_ask_or_answer =
            matches!(message, OrganisationRateMessage::Ask(_) | OrganisationRateMessage::Answer(_));
        if is_ask_or_answer {
            self.rates.record_heard(now, from);
        }
        let requests = &self.requests;
        let organisation_of = |id: RequestId| {
            requests.get(&id)?.identity.as_ref().map(|it| it.organisation().clone())
        };
        let woken = self.rates.on_message(now, from, message, organisation_of);
        self.wakeups.extend(woken);
    }

    /// Takes the pending messages about the rates of organisations.
    pub fn take_rate_messages(&mut self) -> Vec<(HostId, OrganisationRateMessage)> {
        self.rates.take_messages()
    }

    /// Returns the number of organisations whose rates this gateway keeps for its data centre.
    pub fn kept_rates(&self) -> usize {
        self.rates.kept()
    }

    /// Tells the rates which gateways serve.
    pub(super) fn update_rates(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.keeper_places_outdated) {
            let places = self.entry_hosts.keeper_places(&self.settings);
            self.rates.set_places(now, places);
        }
        self.rates.update(now);
    }

    /// Waits or refuses a request that isn't within the rate of its organisation. A request of another
    /// gateway is within it already.
    pub(super) fn hold_to_rate(&mut self, now: Timestamp, id: RequestId) -> Option<Step> {
        let request = &self.requests[&id];
        if request.head.relayed.is_some() || request.is_admitted {
            return None;
        }
        let organisation = request.identity.as_ref()?.organisation().clone();
        self.update_rates(now);
        let decision = match self.rates.is_limited(&organisation) {
            true => self.rates.decide(now, id, &organisation),
            false => RateDecision::Admitted,
        };
        let request = self.requests.get_mut(&id)?;
        match decision {
            RateDecision::Admitted => {
                request.is_admitted = true;
                None
            }
            RateDecision::Wait(until) => Some(Step::Wait(until.min(request.deadline))),
            RateDecision::Refused(refusal) => {
                let (cause, retry_after) = (refusal.cause, refusal.retry_after);
                self.events.push(Event::OverLimit { organisation, cause, retry_after });
                Some(self.give_up(now, id, RefusalReason::OverLimit, Some(retry_after)))
            }
        }
    }

    pub(super) fn forget_rate(&mut self, now: Timestamp, id: RequestId, request: &Request) {
        let Some(identity) = &request.identity else { return };
        let was_used = request.run_status() == RunStatus::MayHaveRun;
        self.rates.forget(now, id, identity.organisation(), was_used);
    }
}
