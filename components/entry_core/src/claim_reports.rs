//! Reports to control hosts the claim shards of which this host holds a complete replica.

use ids::{Millis, Timestamp};
use membership::{Member, MemberRole, MemberState};
use schema::{
    claim_report::{ClaimReport, WholeShard},
    peer::PeerMessage,
};

use crate::core::EntryCore;

/// Shortest time between two reports.
const MIN_REPORT_INTERVAL: Millis = Millis(500);

/// Time after which an unchanged report is sent again.
const REPEAT_INTERVAL: Millis = Millis(10_000);

/// The claim report that was last sent to the control hosts.
#[derive(Debug, Default)]
pub(crate) struct LastClaimReport {
    report: Option<ClaimReport>,
    sent_at: Timestamp,
}

impl EntryCore {
    /// Sends the report to the live control hosts when it has changed or has to be repeated.
    pub(crate) fn report_claims(&mut self, now: Timestamp) {
        let elapsed = now.since(self.last_claim_report.sent_at);
        if elapsed < MIN_REPORT_INTERVAL {
            return;
        }
        let report = self.claim_report();
        if self.last_claim_report.report.as_ref() == Some(&report) && elapsed < REPEAT_INTERVAL {
            return;
        }
        let members = self.fleet.membership().members();
        let control_hosts: Vec<_> =
            members.filter(|it| is_live_control_host(it)).map(|it| it.host).collect();
        for host in control_hosts {
            self.send(host, PeerMessage::ClaimReport(report.clone()));
        }
        self.last_claim_report = LastClaimReport { report: Some(report), sent_at: now };
    }

    fn claim_report(&self) -> ClaimReport {
        let report = self.claims.report();
        let shards = report.complete.into_iter();
        let shards = shards.map(|it| WholeShard { shard: it.shard.0, epoch: it.epoch });
        ClaimReport { map_epoch: report.map_epoch, whole: shards.collect() }
    }
}

fn is_live_control_host(member: &Member) -> bool {
    member.role == MemberRole::Control && member.state == MemberState::Serving
}
