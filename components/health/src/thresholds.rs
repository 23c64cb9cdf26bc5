//! Detection thresholds, derived from a budget of false ejections.

use ids::Millis;
use schema::config_text::Favour;

/// Observations per second and server that the thresholds assume.
const ASSUMED_OBSERVATIONS_PER_SECOND: f64 = 20.0;

/// Length of a year, in seconds.
const SECONDS_PER_YEAR: f64 = 365.25 * 86_400.0;

/// Sequential tests that run on each server: five symptoms, each on requests alone and on requests
/// and probes together.
const TESTS_PER_SERVER: f64 = 10.0;

/// Evidence and time that an ejection requires under the favour of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Thresholds {
    /// Log-likelihood ratio at which the pooled evidence suffices for an ejection, in nats.
    pub ejection: f64,
    /// Log-likelihood ratio that must remain when any one region or data centre is left out, in
    /// nats.
    pub corroboration: f64,
    /// Log-likelihood ratio at which a server becomes suspect, in nats.
    pub suspicion: f64,
    /// Most that one observer can contribute, in nats; below `ejection`, so that the reports of one
    /// observer alone never suffice.
    pub observer_cap: f64,
    /// Minimum time as a suspect before an ejection.
    pub min_suspect_time: Millis,
    /// Minimum time as a suspect when nearly every request to the server fails.
    pub min_suspect_time_when_down: Millis,
}

impl Thresholds {
    /// Returns the thresholds for a favour.
    ///
    /// A cumulative sum (CUSUM) test with threshold `h` raises a false alarm at most once in `e^h`
    /// independent observations. With `r` observations per second, `k` tests and a budget of `b`
    /// false ejections per server and year, the threshold is `ln(r * year * k / b)`.
    pub fn for_favour(favour: Favour) -> Self {
        match favour {
            Favour::Speed => Self {
                min_suspect_time: Millis(1500),
                min_suspect_time_when_down: Millis(300),
                ..Self::from_budget(1.0, 0.5)
            },
            Favour::Certainty => Self {
                min_suspect_time: Millis(2500),
                min_suspect_time_when_down: Millis(1000),
                ..Self::from_budget(0.01, 0.67)
            },
        }
    }

    fn from_budget(false_ejections_per_year: f64, corroboration_share: f64) -> Self {
        let observations_per_year = ASSUMED_OBSERVATIONS_PER_SECOND * SECONDS_PER_YEAR;
        let ejection = (observations_per_year * TESTS_PER_SERVER / false_ejections_per_year).ln();
        Self {
            ejection,
            corroboration: ejection * corroboration_share,
            suspicion: ejection / 3.0,
            observer_cap: ejection * 0.55,
            min_suspect_time: Millis(0),
            min_suspect_time_when_down: Millis(0),
        }
    }
}
