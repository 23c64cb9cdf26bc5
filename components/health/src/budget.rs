//! Thresholds that follow from a declared budget of false ejections.

use ids::Millis;
use schema::config_text::Favour;

/// Observations a second and server that the budget is reckoned with.
const OBSERVATIONS_PER_SECOND: f64 = 20.0;

/// Seconds in a year.
const SECONDS_PER_YEAR: f64 = 365.25 * 86_400.0;

/// Sequential tests that run on one server at the same time: five symptoms, by requests alone and
/// by requests and probes together.
const TESTS_PER_SERVER: f64 = 10.0;

/// What a favour allows and demands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Log-likelihood ratio at which pooled evidence suffices, in nats.
    pub threshold: f64,
    /// Log-likelihood ratio that must remain without any one region or data centre, in nats.
    pub corroboration: f64,
    /// Log-likelihood ratio at which a server is suspect, in nats.
    pub suspicion: f64,
    /// The most that one observer's reports can add, in nats.
    pub observer_cap: f64,
    /// How long a server is suspect at least before it is ejected.
    pub settle: Millis,
    /// The same when nearly every request to the server fails.
    pub settle_when_down: Millis,
}

impl Budget {
    /// The budget of a favour.
    ///
    /// A cumulative sum test with threshold `h` raises a false alarm at most once in `e^h`
    /// independent observations. With `r` observations a second, `k` tests and a budget of `b`
    /// false ejections per server and year, the threshold is `ln(r * year * k / b)`.
    pub fn of(favour: Favour) -> Self {
        match favour {
            Favour::Speed => Self {
                settle: Millis(1500),
                settle_when_down: Millis(300),
                ..Self::with_budget(1.0, 0.5)
            },
            Favour::Certainty => Self {
                settle: Millis(2500),
                settle_when_down: Millis(1000),
                ..Self::with_budget(0.01, 0.67)
            },
        }
    }

    fn with_budget(false_ejections_per_year: f64, corroborated: f64) -> Self {
        let observations = OBSERVATIONS_PER_SECOND * SECONDS_PER_YEAR;
        let threshold = (observations * TESTS_PER_SERVER / false_ejections_per_year).ln();
        Self {
            threshold,
            corroboration: threshold * corroborated,
            suspicion: threshold / 3.0,
            observer_cap: threshold * 0.55,
            settle: Millis(0),
            settle_when_down: Millis(0),
        }
    }
}
