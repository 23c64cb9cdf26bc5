//! Pooled evidence on one backend server: cumulative sums of log-likelihood ratios.

use std::collections::BTreeMap;

use ids::{DataCentreName, FastMap, HostId, Millis, RegionName, Timestamp};
use schema::health::{EvidenceSummary, OutcomeCounts, OutcomeSource, Symptom};

use crate::{budget::Budget, types::DataCentreEvidence};

/// How long a group of observers counts as observing after its last report.
const OBSERVING: Millis = Millis(5000);

/// The symptoms that are tested for, in the order of [`Sums`].
const SYMPTOMS: [Symptom; 5] =
    [Symptom::Down, Symptom::Failing, Symptom::Degraded, Symptom::Slow, Symptom::Wrong];

/// One cumulative sum a symptom, in nats.
type Sums = [f64; SYMPTOMS.len()];

/// Log-likelihood ratios of one outcome under one symptom, in nats.
struct Weights {
    good: f64,
    slow: f64,
    failed: f64,
    wrong: f64,
}

/// The log-likelihood ratios of a Bernoulli test of `sick` against `healthy` failure shares.
fn failure_weights(healthy: f64, sick: f64) -> Weights {
    let bad = (sick / healthy).ln();
    let good = ((1.0 - sick) / (1.0 - healthy)).ln();
    Weights { good, slow: good, failed: bad, wrong: bad }
}

fn weights(symptom: Symptom) -> Weights {
    match symptom {
        Symptom::Down => failure_weights(0.005, 0.99),
        Symptom::Failing => failure_weights(0.005, 0.30),
        Symptom::Degraded => failure_weights(0.005, 0.05),
        Symptom::Slow => {
            let it = failure_weights(0.05, 0.45);
            Weights { good: it.good, slow: it.failed, failed: 0.0, wrong: 0.0 }
        }
        Symptom::Wrong => {
            let it = failure_weights(0.0005, 0.10);
            Weights { good: it.good, slow: it.good, failed: 0.0, wrong: it.wrong }
        }
    }
}

/// The log-likelihood ratios of `counts`, one a symptom.
pub(crate) fn log_likelihood_ratios(counts: &OutcomeCounts) -> Sums {
    SYMPTOMS.map(|symptom| {
        let it = weights(symptom);
        f64::from(counts.good) * it.good
            + f64::from(counts.slow) * it.slow
            + f64::from(counts.failed) * it.failed
            + f64::from(counts.wrong) * it.wrong
    })
}

/// Where a report comes from.
#[derive(Debug, Clone)]
pub(crate) struct Observer {
    pub(crate) host: HostId,
    pub(crate) data_centre: DataCentreName,
    pub(crate) region: RegionName,
}

/// The sums of one group of observers, and of all but that group.
#[derive(Debug, Clone, Default)]
struct Group {
    within: Sums,
    without: Sums,
    last_report: Timestamp,
}

/// The evidence on one server: of requests alone, and of requests and probes together.
///
/// A server may break requests and answer probes well. Routing then sends it hardly any request,
/// and the good probes would outweigh the few that are lost.
#[derive(Debug, Clone, Default)]
pub(crate) struct SplitEvidence {
    requests: Evidence,
    all: Evidence,
}

impl SplitEvidence {
    /// Adds an observer's report.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        observer: &Observer,
        counts: &OutcomeCounts,
        budget: &Budget,
    ) {
        if counts.source == OutcomeSource::Request {
            self.requests.add(now, observer, counts, budget);
        }
        self.all.add(now, observer, counts, budget);
    }

    /// Scales the evidence down so that no symptom has more than `most` nats.
    pub(crate) fn limit(&mut self, most: f64) {
        self.requests.limit(most);
        self.all.limit(most);
    }

    /// The pooled log-likelihood ratio of the strongest symptom, in nats.
    pub(crate) fn strongest(&self) -> f64 {
        self.requests.strongest().max(self.all.strongest())
    }

    /// The symptom whose evidence suffices for an ejection, if any.
    pub(crate) fn conviction(&self, now: Timestamp, budget: &Budget) -> Option<EvidenceSummary> {
        self.all.conviction(now, budget).or_else(|| self.requests.conviction(now, budget))
    }

    /// The strongest evidence of each data centre's observers.
    pub(crate) fn by_data_centre(&self) -> Vec<DataCentreEvidence> {
        match self.requests.strongest() > self.all.strongest() {
            true => self.requests.by_data_centre(),
            false => self.all.by_data_centre(),
        }
    }
}

/// The evidence on one server, by observer, data centre and region.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    pooled: Sums,
    observers: FastMap<HostId, Sums>,
    data_centres: BTreeMap<DataCentreName, Group>,
    regions: BTreeMap<RegionName, Group>,
}

impl Evidence {
    /// Adds an observer's report.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        observer: &Observer,
        counts: &OutcomeCounts,
        budget: &Budget,
    ) {
        let ratios = self.cap(observer.host, log_likelihood_ratios(counts), budget.observer_cap);
        add_to_groups(&mut self.data_centres, &observer.data_centre, now, &self.pooled, &ratios);
        add_to_groups(&mut self.regions, &observer.region, now, &self.pooled, &ratios);
        accumulate(&mut self.pooled, &ratios);
        self.forget_settled();
    }

    /// Limits what one observer adds to each sum while that sum is above zero.
    fn cap(&mut self, host: HostId, mut ratios: Sums, cap: f64) -> Sums {
        let added = self.observers.entry(host).or_default();
        for (ratio, added) in ratios.iter_mut().zip(added) {
            if *ratio > 0.0 {
                *ratio = ratio.min((cap - *added).max(0.0));
            }
            *added = (*added + *ratio).max(0.0);
        }
        ratios
    }

    /// Forgets what observers added to sums that are back at zero.
    fn forget_settled(&mut self) {
        for (i, sum) in self.pooled.iter().enumerate() {
            if *sum <= 0.0 {
                self.observers.values_mut().for_each(|added| added[i] = 0.0);
            }
        }
    }

    /// Scales the evidence down so that no symptom has more than `most` nats.
    pub(crate) fn limit(&mut self, most: f64) {
        let strongest = self.strongest();
        if strongest <= most {
            return;
        }
        let factor = most / strongest;
        scale(&mut self.pooled, factor);
        self.observers.values_mut().for_each(|it| scale(it, factor));
        let groups = self.data_centres.values_mut().chain(self.regions.values_mut());
        for group in groups {
            scale(&mut group.within, factor);
            scale(&mut group.without, factor);
        }
    }

    /// The pooled log-likelihood ratio of the strongest symptom, in nats.
    pub(crate) fn strongest(&self) -> f64 {
        self.pooled.iter().copied().fold(0.0, f64::max)
    }

    /// The symptom whose evidence suffices for an ejection, if any.
    pub(crate) fn conviction(&self, now: Timestamp, budget: &Budget) -> Option<EvidenceSummary> {
        (0..SYMPTOMS.len())
            .find(|&i| {
                self.pooled[i] >= budget.threshold
                    && self.corroborated(now, i) >= budget.corroboration
            })
            .map(|i| self.summary(now, i))
    }

    /// What remains of a symptom's evidence without any one group of observers.
    ///
    /// Groups are regions where two observe, else data centres where two observe.
    fn corroborated(&self, now: Timestamp, symptom: usize) -> f64 {
        let regions = observing(&self.regions, now);
        if regions >= 2 {
            return least_without(&self.regions, now, symptom);
        }
        if observing(&self.data_centres, now) >= 2 {
            return least_without(&self.data_centres, now, symptom);
        }
        self.pooled[symptom]
    }

    fn summary(&self, now: Timestamp, symptom: usize) -> EvidenceSummary {
        EvidenceSummary {
            symptom: SYMPTOMS[symptom],
            milli_nats: milli(self.pooled[symptom]),
            data_centres: observing(&self.data_centres, now) as u32,
        }
    }

    /// The strongest evidence of each data centre's observers.
    pub(crate) fn by_data_centre(&self) -> Vec<DataCentreEvidence> {
        self.data_centres
            .iter()
            .map(|(name, group)| DataCentreEvidence {
                data_centre: name.clone(),
                milli_nats: milli(group.within.iter().copied().fold(0.0, f64::max)),
            })
            .collect()
    }
}

fn milli(nats: f64) -> u64 {
    (nats * 1000.0) as u64
}

fn accumulate(sums: &mut Sums, ratios: &Sums) {
    for (sum, ratio) in sums.iter_mut().zip(ratios) {
        *sum = (*sum + ratio).max(0.0);
    }
}

fn scale(sums: &mut Sums, factor: f64) {
    sums.iter_mut().for_each(|it| *it *= factor);
}

fn add_to_groups<K: Ord + Clone>(
    groups: &mut BTreeMap<K, Group>,
    key: &K,
    now: Timestamp,
    pooled: &Sums,
    ratios: &Sums,
) {
    if !groups.contains_key(key) {
        let group = Group { without: *pooled, ..Group::default() };
        groups.insert(key.clone(), group);
    }
    for (name, group) in groups {
        if name == key {
            accumulate(&mut group.within, ratios);
            group.last_report = now;
        } else {
            accumulate(&mut group.without, ratios);
        }
    }
}

fn observing<K>(groups: &BTreeMap<K, Group>, now: Timestamp) -> usize {
    groups.values().filter(|it| is_observing(it, now)).count()
}

fn is_observing(group: &Group, now: Timestamp) -> bool {
    now <= group.last_report + OBSERVING
}

fn least_without<K>(groups: &BTreeMap<K, Group>, now: Timestamp, symptom: usize) -> f64 {
    let without = groups.values().filter(|it| is_observing(it, now)).map(|it| it.without[symptom]);
    without.fold(f64::INFINITY, f64::min)
}
