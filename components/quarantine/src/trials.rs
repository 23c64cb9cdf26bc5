//! The trials of requests in quarantine that this gateway asks for or runs.

use ids::{FastMap, Fingerprint, HostId, Millis, PermitNumber, RequestId, Timestamp};
use schema::{
    list_digest,
    quarantine::{QuarantineMessage, TrialAnswer, TrialAsk, TrialEnd, TrialOutcome},
};

use crate::{
    outbox::{Audience, Outgoing},
    quarantine::Candidate,
    schedule::TRIAL_TIME,
};

/// Longest wait for the answers of the control hosts, in milliseconds.
const ANSWER_TIME: Millis = Millis(300);

/// Part of the time of a trial that is not used, for clocks of different speed, in milliseconds.
const MARGIN: Millis = Millis(2_000);

/// Time after a trial that proved nothing until the next ask, in milliseconds.
const PAUSE: Millis = Millis(1_000);

/// Number of requests whose next ask is remembered, from which those that are due are forgotten.
const MAX_PAUSES: usize = 1_024;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Asked,
    Granted,
    /// A server has lost the request, and it is not known yet whether it has crashed.
    Lost,
}

#[derive(Debug)]
struct Trial {
    number: PermitNumber,
    request: RequestId,
    state: State,
    asked_at: Timestamp,
    control_hosts: Vec<HostId>,
    granted_by: Vec<HostId>,
    refused_by: Vec<HostId>,
    /// Longest time that a control host wants this gateway to wait.
    ask_again_in: Millis,
}

impl Trial {
    fn runs_until(&self) -> Timestamp {
        self.asked_at + Millis(TRIAL_TIME.0 - MARGIN.0)
    }
}

/// What a request may do about a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrialStatus {
    /// Ask for one.
    None,
    /// It has asked, and answers may arrive until this time.
    Asked(Timestamp),
    /// It may run until this time.
    Granted(Timestamp),
    /// Another request of this gateway has asked or runs.
    Taken,
    /// None before this time.
    NotBefore(Timestamp),
}

/// The trials of this gateway by request.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    trials: FastMap<Fingerprint, Trial>,
    not_before: FastMap<Fingerprint, Timestamp>,
    next_number: u64,
}

impl Trials {
    pub(crate) fn status(
        &self,
        now: Timestamp,
        id: Option<RequestId>,
        request: Fingerprint,
    ) -> TrialStatus {
        if let Some(trial) = self.trials.get(&request) {
            return match trial.state {
                _ if Some(trial.request) != id => TrialStatus::Taken,
                State::Asked => TrialStatus::Asked(trial.asked_at + ANSWER_TIME),
                State::Granted if now < trial.runs_until() => {
                    TrialStatus::Granted(trial.runs_until())
                }
                State::Granted | State::Lost => TrialStatus::Taken,
            };
        }
        match self.not_before.get(&request) {
            Some(at) if now < *at => TrialStatus::NotBefore(*at),
            _ => TrialStatus::None,
        }
    }

    /// Asks the control hosts for a trial; returns until when answers may arrive.
    pub(crate) fn ask(
        &mut self,
        now: Timestamp,
        candidate: &Candidate<'_>,
        mut control_hosts: Vec<HostId>,
        outgoing: &mut Vec<Outgoing>,
    ) -> Timestamp {
        control_hosts.sort();
        self.next_number += 1;
        let number = PermitNumber(self.next_number);
        let Candidate { id, request, service, .. } = *candidate;
        let ask = TrialAsk {
            number,
            fingerprint: request,
            service: service.clone(),
            control_hosts: list_digest(&control_hosts),
        };
        send(&control_hosts, &QuarantineMessage::TrialAsk(ask), outgoing);
        let trial = Trial {
            number,
            request: id,
            state: State::Asked,
            asked_at: now,
            control_hosts,
            granted_by: Vec::new(),
            refused_by: Vec::new(),
            ask_again_in: PAUSE,
        };
        self.trials.insert(request, trial);
        now + ANSWER_TIME
    }

    /// Processes the answer of a control host; returns the request that should be stepped again.
    pub(crate) fn on_answer(
        &mut self,
        now: Timestamp,
        from: HostId,
        answer: &TrialAnswer,
        outgoing: &mut Vec<Outgoing>,
    ) -> Option<RequestId> {
        let asked = |it: &&mut Trial| it.number == answer.number && it.state == State::Asked;
        let trial = self.trials.get_mut(&answer.fingerprint).filter(asked)?;
        let answered_by = match answer.outcome {
            TrialOutcome::Granted => &mut trial.granted_by,
            TrialOutcome::Later(time) => {
                trial.ask_again_in = time.max(trial.ask_again_in);
                &mut trial.refused_by
            }
        };
        if trial.control_hosts.contains(&from) && !answered_by.contains(&from) {
            answered_by.push(from);
        }
        let id = trial.request;
        if trial.granted_by.len() * 2 > trial.control_hosts.len() {
            trial.state = State::Granted;
            return Some(id);
        }
        if trial.refused_by.len() * 2 < trial.control_hosts.len() {
            return None;
        }
        self.give_up(now, answer.fingerprint, outgoing);
        Some(id)
    }

    /// Ends a trial of which it is known that it has crashed no server.
    pub(crate) fn give_up(
        &mut self,
        now: Timestamp,
        request: Fingerprint,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let Some(trial) = self.trials.remove(&request) else { return };
        if self.not_before.len() >= MAX_PAUSES {
            self.not_before.retain(|_, at| now < *at);
        }
        self.not_before.insert(request, now + trial.ask_again_in);
        let end = TrialEnd { number: trial.number, fingerprint: request };
        send(&trial.control_hosts, &QuarantineMessage::TrialEnd(end), outgoing);
    }

    /// Returns whether a request has asked for a trial of its own or runs it, and no server has lost it.
    pub(crate) fn is_of(&self, id: RequestId, request: Fingerprint) -> bool {
        self.trials.get(&request).is_some_and(|it| it.request == id && it.state != State::Lost)
    }

    /// Records that a server has lost the request of a trial.
    pub(crate) fn record_lost(&mut self, request: Fingerprint) {
        if let Some(trial) = self.trials.get_mut(&request)
            && trial.state == State::Granted
        {
            trial.state = State::Lost;
        }
    }

    /// Returns whether it is not known yet whether a trial has crashed its server.
    pub(crate) fn is_lost(&self, request: Fingerprint) -> bool {
        self.trials.get(&request).is_some_and(|it| it.state == State::Lost)
    }

    /// Forgets a trial whose end control hosts learn otherwise, or must count as a crash.
    pub(crate) fn forget(&mut self, request: Fingerprint) {
        self.trials.remove(&request);
    }

    /// Forgets trials that are over for the control hosts.
    pub(crate) fn prune(&mut self, now: Timestamp) {
        self.trials.retain(|_, it| now < it.asked_at + TRIAL_TIME);
    }
}

fn send(hosts: &[HostId], message: &QuarantineMessage, outgoing: &mut Vec<Outgoing>) {
    let to_host = |it: &HostId| Outgoing { to: Audience::Host(*it), message: message.clone() };
    outgoing.extend(hosts.iter().map(to_host));
}
