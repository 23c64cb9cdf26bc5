//! The records that a control host keeps for gateways that start.
//!
//! Kept in memory only: a control host that has just started has them from the gateways after a while.

use ids::{HostId, Incarnation, Millis, Timestamp};
use schema::{
    quarantine::{
        KnownRecords, QuarantineMessage, RequestRecord, ToldRecords, TrialAnswer, TrialOutcome,
    },
    server_load::ReportScope,
};

use crate::{
    outbox::RECORDS_PER_MESSAGE, records::Records, schedule::TRIAL_TIME, trial_grants::TrialGrants,
};

/// Time after its start from which a control host knows what gateways repeat, in milliseconds.
const LEARNING_TIME: Millis = Millis(10_000);

/// Maximum number of records in the answer to a gateway that starts; the rest it gets from others.
const MAX_ANSWERED: usize = 64;

/// Time after which a gateway that knows other control hosts than this one may know the same, in
/// milliseconds.
const MEMBERS_TIME: Millis = Millis(2_000);

/// The records of a control host.
#[derive(Debug)]
pub struct Recorder {
    records: Records,
    complete_from: Timestamp,
    grants: TrialGrants,
}

impl Recorder {
    /// Creates the recorder of a process that starts now; in a new fleet there was nothing before.
    pub fn new(now: Timestamp, is_new_fleet: bool) -> Self {
        let after = |time: Millis| if is_new_fleet { now } else { now + time };
        Self {
            records: Records::default(),
            complete_from: after(LEARNING_TIME),
            grants: TrialGrants::new(after(TRIAL_TIME)),
        }
    }

    /// Processes a message of a gateway's process; returns the answers to it. `members` is the digest of the
    /// control hosts that this one knows.
    pub fn on_message(
        &mut self,
        now: Timestamp,
        from: (HostId, Incarnation),
        members: u64,
        message: &QuarantineMessage,
    ) -> Vec<QuarantineMessage> {
        match message {
            QuarantineMessage::Told(told) => {
                for record in &told.records {
                    self.records.merge(now, record);
                }
                Vec::new()
            }
            QuarantineMessage::Pushed(pushed) => {
                let newer = self.records.newer_than(now, pushed);
                for record in pushed {
                    self.records.merge(now, record);
                }
                told(ReportScope::PassedOn, newer).into_iter().collect()
            }
            QuarantineMessage::RecordsWanted => {
                known_records(now, &self.records, now >= self.complete_from)
            }
            QuarantineMessage::TrialAsk(ask) => {
                // Majorities of different sets of control hosts need not overlap.
                let outcome = match ask.control_hosts == members {
                    true => self.grants.grant(now, from, ask, &self.records),
                    false => TrialOutcome::Later(MEMBERS_TIME),
                };
                let (number, fingerprint) = (ask.number, ask.fingerprint);
                vec![QuarantineMessage::TrialAnswer(TrialAnswer { number, fingerprint, outcome })]
            }
            QuarantineMessage::TrialEnd(end) => {
                self.grants.end(from, end);
                Vec::new()
            }
            // Messages to gateways.
            QuarantineMessage::Known(_) | QuarantineMessage::TrialAnswer(_) => Vec::new(),
        }
    }
}

/// Returns a message that tells these records, if there are any.
pub(crate) fn told(scope: ReportScope, records: Vec<RequestRecord>) -> Option<QuarantineMessage> {
    (!records.is_empty()).then_some(QuarantineMessage::Told(ToldRecords { scope, records }))
}

/// Returns the messages that tell all records; `is_complete` is whether this host knows all that is known.
pub(crate) fn known_records(
    now: Timestamp,
    records: &Records,
    is_complete: bool,
) -> Vec<QuarantineMessage> {
    let mut all = records.messages(now);
    all.truncate(MAX_ANSWERED);
    let total = all.len() as u32;
    let message = |records: &[RequestRecord]| {
        QuarantineMessage::Known(KnownRecords { records: records.to_vec(), total, is_complete })
    };
    match all.is_empty() {
        true => vec![message(&[])],
        false => all.chunks(RECORDS_PER_MESSAGE).map(message).collect(),
    }
}
