//! When a request in quarantine may be tried again.

use ids::Millis;

use crate::records::Crashes;

/// Time from the last crash to the next trial, by the number of crashes since the request has been in
/// quarantine, in milliseconds: the first ones bring back what was refused wrongly.
const TRIAL_DELAYS: [Millis; 4] =
    [Millis(5_000), Millis(15_000), Millis(3_600_000), Millis(86_400_000)];

/// Longest time that a trial takes, in milliseconds; a request that takes longer ends without an answer.
pub(crate) const TRIAL_TIME: Millis = Millis(10_000);

/// Lower and upper bound of the Retry-After of requests in quarantine, in milliseconds.
const RETRY_AFTER_BOUNDS: (Millis, Millis) = (Millis(1_000), Millis(30_000));

/// Returns the time until a request may be tried again; 0 if it may now.
pub(crate) fn trial_due_in(crashes: &Crashes) -> Millis {
    let delay = TRIAL_DELAYS[crashes.late.min(TRIAL_DELAYS.len() - 1)];
    Millis(delay.0.saturating_sub(crashes.last_age.0))
}

/// Returns the Retry-After of a request that may be tried again after this time.
pub(crate) fn retry_after(due_in: Millis) -> Millis {
    let (min, max) = RETRY_AFTER_BOUNDS;
    due_in.clamp(min, max)
}
