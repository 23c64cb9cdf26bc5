//! Whether other data centres can be reached from this one.

use std::collections::{BTreeMap, BTreeSet};

use ids::{DataCentreName, Millis, Timestamp};

/// How long a relay's report of unreachable data centres is valid.
const REPORT_LIFETIME: Millis = Millis(3_000);

/// The reachability of other data centres, as detected by this host or reported by its relay.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    /// When both directions to a data centre were last confirmed to work.
    last_confirmed: BTreeMap<DataCentreName, Timestamp>,
    /// The unreachable data centres in the last report of the local relay.
    reported_unreachable: BTreeSet<DataCentreName>,
    reported_at: Timestamp,
    /// The data centres that this host, as relay, detected to be unreachable.
    pub(crate) detected_unreachable: BTreeSet<DataCentreName>,
    /// When this host, as relay, last sent a report.
    pub(crate) last_report_sent: Timestamp,
    /// When this host, as relay, last sent probes to another data centre.
    pub(crate) last_probe_sent: Timestamp,
}

impl Reachability {
    /// Records that both directions to a data centre work.
    pub(crate) fn confirm(&mut self, now: Timestamp, data_centre: &DataCentreName) {
        self.last_confirmed.insert(data_centre.clone(), now);
    }

    /// Returns the time since both directions to a data centre were last confirmed to work.
    ///
    /// For a data centre that was never confirmed, the time counts from the first call.
    pub(crate) fn time_since_confirmed(
        &mut self,
        now: Timestamp,
        data_centre: &DataCentreName,
    ) -> Millis {
        now.since(*self.last_confirmed.entry(data_centre.clone()).or_insert(now))
    }

    /// Discards what this host detected itself, for example when it becomes the relay.
    pub(crate) fn reset(&mut self) {
        self.last_confirmed.clear();
        self.detected_unreachable.clear();
    }

    /// Records a report of the local relay.
    pub(crate) fn record_report(&mut self, now: Timestamp, unreachable: Vec<DataCentreName>) {
        self.reported_unreachable = unreachable.into_iter().collect();
        self.reported_at = now;
    }

    pub(crate) fn is_unreachable(&self, now: Timestamp, data_centre: &DataCentreName) -> bool {
        let report_is_valid = now.since(self.reported_at) <= REPORT_LIFETIME;
        self.detected_unreachable.contains(data_centre)
            || (report_is_valid && self.reported_unreachable.contains(data_centre))
    }
}
