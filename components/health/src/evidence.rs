//! Pooled evidence on one backend server: cumulative sum (CUSUM) tests on log-likelihood ratios.

use std::collections::BTreeMap;

use ids::{DataCentreName, FastMap, HostId, Millis, RegionName, Timestamp};
use schema::health::{EvidenceSummary, OutcomeCounts, OutcomeSource, Symptom};

use crate::{thresholds::Thresholds, types::DataCentreEvidence};

/// Time since its last report after which a group of observers is no longer active.
const OBSERVER_GROUP_TIMEOUT: Millis = Millis(5000);

/// Symptoms that are tested for, in the order of [`PerSymptom`].
const SYMPTOMS: [Symptom; 5] =
    [Symptom::Down, Symptom::Failing, Symptom::Degraded, Symptom::Slow, Symptom::Wrong];

/// One value per symptom, in nats.
type PerSymptom = [f64; SYMPTOMS.len()];

/// Log-likelihood ratio of each kind of outcome under one symptom, in nats.
struct Weights {
    good: f64,
    slow: f64,
    failed: f64,
    wrong: f64,
}

/// Returns the log-likelihood ratios of a Bernoulli test of `faulty_rate` against `healthy_rate`,
/// both shares of bad outcomes.
fn bernoulli_weights(healthy_rate: f64, faulty_rate: f64) -> Weights {
    let bad = (faulty_rate / healthy_rate).ln();
    let good = ((1.0 - faulty_rate) / (1.0 - healthy_rate)).ln();
    Weights { good, slow: good, failed: bad, wrong: bad }
}

/// Returns the weights of a symptom, from assumed rates of healthy and of faulty servers.
fn symptom_weights(symptom: Symptom) -> Weights {
    match symptom {
        Symptom::Down => bernoulli_weights(0.005, 0.99),
        Symptom::Failing => bernoulli_weights(0.005, 0.30),
        Symptom::Degraded => bernoulli_weights(0.005, 0.05),
        Symptom::Slow => {
            let it = bernoulli_weights(0.05, 0.45);
            Weights { good: it.good, slow: it.failed, failed: 0.0, wrong: 0.0 }
        }
        Symptom::Wrong => {
            let it = bernoulli_weights(0.0005, 0.10);
            Weights { good: it.good, slow: it.good, failed: 0.0, wrong: it.wrong }
        }
    }
}

/// Returns the log-likelihood ratio of `counts` under each symptom.
pub(crate) fn log_likelihood_ratios(counts: &OutcomeCounts) -> PerSymptom {
    SYMPTOMS.map(|symptom| {
        let it = symptom_weights(symptom);
        f64::from(counts.good) * it.good
            + f64::from(counts.slow) * it.slow
            + f64::from(counts.failed) * it.failed
            + f64::from(counts.wrong) * it.wrong
    })
}

/// Entry host that sent a report, and its location.
#[derive(Debug, Clone)]
pub(crate) struct Observer {
    pub(crate) host: HostId,
    pub(crate) data_centre: DataCentreName,
    pub(crate) region: RegionName,
}

/// Cumulative sums of one group of observers, and of all observers outside it.
#[derive(Debug, Clone, Default)]
struct ObserverGroup {
    own: PerSymptom,
    others: PerSymptom,
    last_report: Timestamp,
}

/// Evidence on one server, from requests alone and from requests and probes together.
///
/// A server may fail requests but answer probes. Routing then sends it hardly any requests, and if
/// only the sum counted, the good probes would outweigh the few failures.
#[derive(Debug, Clone, Default)]
pub(crate) struct SplitEvidence {
    requests: Evidence,
    all: Evidence,
}

impl SplitEvidence {
    /// Adds the report of an observer.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        observer: &Observer,
        counts: &OutcomeCounts,
        thresholds: &Thresholds,
    ) {
        if counts.source == OutcomeSource::Request {
            self.requests.add(now, observer, counts, thresholds);
        }
        self.all.add(now, observer, counts, thresholds);
    }

    /// Scales the evidence down so that no symptom has more than `max_nats`.
    pub(crate) fn scale_down_to(&mut self, max_nats: f64) {
        self.requests.scale_down_to(max_nats);
        self.all.scale_down_to(max_nats);
    }

    /// Returns the pooled log-likelihood ratio of the strongest symptom, in nats.
    pub(crate) fn strongest(&self) -> f64 {
        self.requests.strongest().max(self.all.strongest())
    }

    /// Returns the evidence of a symptom that suffices for an ejection, if there is one.
    pub(crate) fn ejection_evidence(
        &self,
        now: Timestamp,
        thresholds: &Thresholds,
    ) -> Option<EvidenceSummary> {
        self.all
            .ejection_evidence(now, thresholds)
            .or_else(|| self.requests.ejection_evidence(now, thresholds))
    }

    /// Returns the strongest evidence of the observers in each data centre.
    pub(crate) fn by_data_centre(&self) -> Vec<DataCentreEvidence> {
        match self.requests.strongest() > self.all.strongest() {
            true => self.requests.by_data_centre(),
            false => self.all.by_data_centre(),
        }
    }
}

/// Evidence on one server, pooled and by observer, data centre and region.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    pooled: PerSymptom,
    contributions: FastMap<HostId, PerSymptom>,
    data_centres: BTreeMap<DataCentreName, ObserverGroup>,
    regions: BTreeMap<RegionName, ObserverGroup>,
}

impl Evidence {
    /// Adds the report of an observer.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        observer: &Observer,
        counts: &OutcomeCounts,
        thresholds: &Thresholds,
    ) {
        let ratios = self.cap_contribution(
            observer.host,
            log_likelihood_ratios(counts),
            thresholds.observer_cap,
        );
        add_to_groups(&mut self.data_centres, &observer.data_centre, now, &self.pooled, &ratios);
        add_to_groups(&mut self.regions, &observer.region, now, &self.pooled, &ratios);
        accumulate(&mut self.pooled, &ratios);
        self.reset_contributions();
    }

    /// Caps what one observer contributes to each sum while that sum is above zero.
    fn cap_contribution(&mut self, host: HostId, mut ratios: PerSymptom, cap: f64) -> PerSymptom {
        let contributed = self.contributions.entry(host).or_default();
        for (ratio, contributed) in ratios.iter_mut().zip(contributed) {
            if *ratio > 0.0 {
                *ratio = ratio.min((cap - *contributed).max(0.0));
            }
            *contributed = (*contributed + *ratio).max(0.0);
        }
        ratios
    }

    /// Resets the contributions to sums that are back at zero.
    fn reset_contributions(&mut self) {
        for (i, sum) in self.pooled.iter().enumerate() {
            if *sum <= 0.0 {
                self.contributions.values_mut().for_each(|contributed| contributed[i] = 0.0);
            }
        }
    }

    /// Scales the evidence down so that no symptom has more than `max_nats`.
    pub(crate) fn scale_down_to(&mut self, max_nats: f64) {
        let strongest = self.strongest();
        if strongest <= max_nats {
            return;
        }
        let factor = max_nats / strongest;
        scale(&mut self.pooled, factor);
        self.contributions.values_mut().for_each(|it| scale(it, factor));
        let groups = self.data_centres.values_mut().chain(self.regions.values_mut());
        for group in groups {
            scale(&mut group.own, factor);
            scale(&mut group.others, factor);
        }
    }

    /// Returns the pooled log-likelihood ratio of the strongest symptom, in nats.
    pub(crate) fn strongest(&self) -> f64 {
        self.pooled.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the evidence of a symptom that suffices for an ejection, if there is one.
    pub(crate) fn ejection_evidence(
        &self,
        now: Timestamp,
        thresholds: &Thresholds,
    ) -> Option<EvidenceSummary> {
        (0..SYMPTOMS.len())
            .find(|&i| {
                self.pooled[i] >= thresholds.ejection
                    && self.corroboration(now, i) >= thresholds.corroboration
            })
            .map(|i| self.summary(now, i))
    }

    /// Returns what remains of a symptom's evidence without the group of observers that leaves the
    /// least.
    ///
    /// Groups are regions if at least two are active, else data centres if at least two are active.
    /// Otherwise all evidence counts.
    fn corroboration(&self, now: Timestamp, symptom: usize) -> f64 {
        let regions = active_groups(&self.regions, now);
        if regions >= 2 {
            return min_without_one_group(&self.regions, now, symptom);
        }
        if active_groups(&self.data_centres, now) >= 2 {
            return min_without_one_group(&self.data_centres, now, symptom);
        }
        self.pooled[symptom]
    }

    fn summary(&self, now: Timestamp, symptom: usize) -> EvidenceSummary {
        EvidenceSummary {
            symptom: SYMPTOMS[symptom],
            milli_nats: to_milli_nats(self.pooled[symptom]),
            data_centres: active_groups(&self.data_centres, now) as u32,
        }
    }

    /// Returns the strongest evidence of the observers in each data centre.
    pub(crate) fn by_data_centre(&self) -> Vec<DataCentreEvidence> {
        self.data_centres
            .iter()
            .map(|(name, group)| DataCentreEvidence {
                data_centre: name.clone(),
                milli_nats: to_milli_nats(group.own.iter().copied().fold(0.0, f64::max)),
            })
            .collect()
    }
}

fn to_milli_nats(nats: f64) -> u64 {
    (nats * 1000.0) as u64
}

fn accumulate(sums: &mut PerSymptom, ratios: &PerSymptom) {
    for (sum, ratio) in sums.iter_mut().zip(ratios) {
        *sum = (*sum + ratio).max(0.0);
    }
}

fn scale(sums: &mut PerSymptom, factor: f64) {
    sums.iter_mut().for_each(|it| *it *= factor);
}

fn add_to_groups<K: Ord + Clone>(
    groups: &mut BTreeMap<K, ObserverGroup>,
    key: &K,
    now: Timestamp,
    pooled: &PerSymptom,
    ratios: &PerSymptom,
) {
    if !groups.contains_key(key) {
        let group = ObserverGroup { others: *pooled, ..ObserverGroup::default() };
        groups.insert(key.clone(), group);
    }
    for (name, group) in groups {
        if name == key {
            accumulate(&mut group.own, ratios);
            group.last_report = now;
        } else {
            accumulate(&mut group.others, ratios);
        }
    }
}

fn active_groups<K>(groups: &BTreeMap<K, ObserverGroup>, now: Timestamp) -> usize {
    groups.values().filter(|it| is_active(it, now)).count()
}

fn is_active(group: &ObserverGroup, now: Timestamp) -> bool {
    now <= group.last_report + OBSERVER_GROUP_TIMEOUT
}

fn min_without_one_group<K>(
    groups: &BTreeMap<K, ObserverGroup>,
    now: Timestamp,
    symptom: usize,
) -> f64 {
    let others = groups.values().filter(|it| is_active(it, now)).map(|it| it.others[symptom]);
    others.fold(f64::INFINITY, f64::min)
}
