//! Spreads what is known to other hosts, and learns from them.

use ids::{HostId, Millis, Timestamp};
use schema::{
    quarantine::{QuarantineMessage, RequestRecord},
    server_load::ReportScope,
};

use super::Quarantine;
use crate::{
    outbox::{Audience, Outgoing, RECORDS_PER_MESSAGE},
    recorder::{known_records, told},
    records::Change,
};

/// Interval at which records in quarantine are told to another gateway, in milliseconds.
const PUSH_INTERVAL: Millis = Millis(1_000);

/// The same if none has changed for a while, in milliseconds.
const SLOW_PUSH_INTERVAL: Millis = Millis(10_000);

/// Time since the last change from which they are told less often, in milliseconds.
const SETTLED_TIME: Millis = Millis(60_000);

impl Quarantine {
    /// Records that a current control host has answered.
    pub fn record_contact(&mut self, now: Timestamp) {
        self.knowledge.record_contact(now);
    }

    /// Processes a message of another host.
    pub fn on_message(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: &QuarantineMessage,
        control_hosts: &[HostId],
    ) {
        match message {
            QuarantineMessage::Told(told) => {
                self.merge(now, &told.records);
                if told.scope == ReportScope::ToPassOn {
                    let records = told.records.clone();
                    self.send_told(Audience::DataCentre, ReportScope::PassedOn, records);
                }
            }
            QuarantineMessage::Pushed(pushed) => {
                let newer = self.records.newer_than(now, pushed);
                self.merge(now, pushed);
                self.send_told(Audience::Host(from), ReportScope::PassedOn, newer);
            }
            QuarantineMessage::RecordsWanted => {
                if self.knowledge.is_known(now) {
                    let messages = known_records(now, &self.records, true).into_iter();
                    let to = Audience::Host(from);
                    self.outgoing.extend(messages.map(|message| Outgoing { to, message }));
                }
            }
            QuarantineMessage::Known(known) => {
                self.merge(now, &known.records);
                // Some of the messages may be lost.
                if self.records.len() >= known.total as usize {
                    self.knowledge.record_told(from, control_hosts, known.is_complete);
                    self.release_held(now);
                }
            }
            QuarantineMessage::TrialAnswer(answer) => self.on_trial_answer(now, from, answer),
            // Messages to control hosts.
            QuarantineMessage::TrialAsk(_) | QuarantineMessage::TrialEnd(_) => {}
        }
    }

    /// Tells the fleet what this gateway has learned by itself.
    pub(super) fn tell(&mut self, now: Timestamp) {
        let told = self.untold.take(now);
        let records: Vec<_> = told.iter().filter_map(|it| self.records.message(now, *it)).collect();
        for records in records.chunks(RECORDS_PER_MESSAGE) {
            self.send_told(Audience::Fleet, ReportScope::Near, records.to_vec());
        }
    }

    /// Tells some records in quarantine to another host, which may have been cut off or restarted.
    pub(super) fn push(&mut self, now: Timestamp) {
        if now < self.next_push {
            return;
        }
        let is_settled = now.since(self.records.changed_at()) >= SETTLED_TIME;
        let interval = if is_settled { SLOW_PUSH_INTERVAL } else { PUSH_INTERVAL };
        self.next_push = now + interval;
        let requests = self.records.all_quarantined(now);
        if requests.is_empty() {
            return;
        }
        let from = self.pushed % requests.len();
        let chosen = requests.iter().cycle().skip(from);
        let chosen = chosen.take(RECORDS_PER_MESSAGE.min(requests.len()));
        let records: Vec<_> = chosen.filter_map(|it| self.records.message(now, *it)).collect();
        self.pushed = from + records.len();
        let message = QuarantineMessage::Pushed(records);
        self.outgoing.push(Outgoing { to: Audience::AnyGateway, message });
    }

    /// Asks for the records that others hold, as long as this process doesn't know them.
    pub(super) fn ask(&mut self, now: Timestamp) {
        if self.knowledge.should_ask(now) {
            let message = QuarantineMessage::RecordsWanted;
            self.outgoing.push(Outgoing { to: Audience::Informants, message });
        }
    }

    fn merge(&mut self, now: Timestamp, records: &[RequestRecord]) {
        for record in records {
            let change = self.records.merge(now, record);
            if change == Change::Quarantined && self.answers.contains(now, record.fingerprint) {
                self.objections.add(now, record.fingerprint);
            }
            self.report(record.fingerprint, change);
        }
    }

    /// Clears requests that others have put into quarantine although they were answered here lately.
    pub(super) fn object(&mut self, now: Timestamp) {
        for request in self.objections.take(now) {
            if self.is_quarantined(now, request) {
                self.clear(now, request);
            }
        }
    }

    fn send_told(&mut self, to: Audience, scope: ReportScope, records: Vec<RequestRecord>) {
        let message = told(scope, records);
        self.outgoing.extend(message.map(|message| Outgoing { to, message }));
    }
}
