//! Whether other data centres can be reached from this one.

use std::collections::{BTreeMap, BTreeSet};

use ids::{DataCentreName, Millis, Timestamp};

/// How long a relay's word on unreachable data centres holds.
const REPORT_LIFETIME: Millis = Millis(3_000);

/// What is known of the ways to other data centres.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    /// When this host last knew both directions to a data centre to work.
    proven: BTreeMap<DataCentreName, Timestamp>,
    /// What the relay of this data centre last reported.
    reported: BTreeSet<DataCentreName>,
    reported_at: Timestamp,
    /// What this host, as relay, last found out.
    pub(crate) found: BTreeSet<DataCentreName>,
    /// When this host, as relay, last reported.
    pub(crate) sent: Timestamp,
    /// When this host, as relay, last sent probes.
    pub(crate) probed: Timestamp,
}

impl Reach {
    pub(crate) fn prove(&mut self, now: Timestamp, data_centre: &DataCentreName) {
        self.proven.insert(data_centre.clone(), now);
    }

    /// Time since both directions were known to work; counts from the first question.
    pub(crate) fn silence(&mut self, now: Timestamp, data_centre: &DataCentreName) -> Millis {
        now.since(*self.proven.entry(data_centre.clone()).or_insert(now))
    }

    /// Starts over, for a host that was no relay until now.
    pub(crate) fn reset(&mut self) {
        self.proven.clear();
        self.found.clear();
    }

    pub(crate) fn report(&mut self, now: Timestamp, unreachable: Vec<DataCentreName>) {
        self.reported = unreachable.into_iter().collect();
        self.reported_at = now;
    }

    pub(crate) fn is_unreachable(&self, now: Timestamp, data_centre: &DataCentreName) -> bool {
        let reported = now.since(self.reported_at) <= REPORT_LIFETIME;
        self.found.contains(data_centre) || (reported && self.reported.contains(data_centre))
    }
}
