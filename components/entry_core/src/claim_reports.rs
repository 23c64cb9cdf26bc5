//! Tells control hosts which claim shards this host holds whole.

use ids::{Millis, Timestamp};
use membership::{Member, MemberRole, MemberState};
use schema::{
    claim_report::{ClaimReport, WholeShard},
    peer::PeerMessage,
};

use crate::core::EntryCore;

/// Between two reports that say something new.
const CHANGED_INTERVAL: Millis = Millis(500);

/// Between two reports that say the same.
const REPEAT_INTERVAL: Millis = Millis(10_000);

/// The last report sent.
#[derive(Debug, Default)]
pub(crate) struct SentReport {
    report: Option<ClaimReport>,
    at: Timestamp,
}

impl EntryCore {
    pub(crate) fn report_claims(&mut self, now: Timestamp) {
        let waited = now.since(self.sent_report.at);
        if waited < CHANGED_INTERVAL {
            return;
        }
        let report = self.claim_report();
        if self.sent_report.report.as_ref() == Some(&report) && waited < REPEAT_INTERVAL {
            return;
        }
        let members = self.fleet.membership().members();
        let control: Vec<_> = members.filter(|it| is_live_control(it)).map(|it| it.host).collect();
        for host in control {
            self.send(host, PeerMessage::ClaimReport(report.clone()));
        }
        self.sent_report = SentReport { report: Some(report), at: now };
    }

    fn claim_report(&self) -> ClaimReport {
        let report = self.claims.report();
        let whole = report.complete.into_iter();
        let whole = whole.map(|it| WholeShard { shard: it.shard.0, epoch: it.epoch });
        ClaimReport { map_epoch: report.map_epoch, whole: whole.collect() }
    }
}

fn is_live_control(member: &Member) -> bool {
    member.role == MemberRole::Control && member.state == MemberState::Serving
}
