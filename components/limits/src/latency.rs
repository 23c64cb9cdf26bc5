//! Estimates latency percentiles of a service from a stream of observations.

use ids::Millis;

/// Buckets of the histogram; each is a quarter of a doubling wide.
const BUCKETS: usize = 128;

/// Observations after which all counts are halved, so that old ones fade.
const FADE_AFTER: u32 = 1_000;

/// Observations that an estimate needs.
const MIN_OBSERVATIONS: u32 = 20;

/// A fading histogram of latencies.
#[derive(Debug, Clone)]
pub struct LatencyEstimate {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl LatencyEstimate {
    /// Notes the latency of a whole answer.
    pub fn observe(&mut self, latency: Millis) {
        self.counts[bucket(latency.0)] += 1;
        self.total += 1;
        if self.total >= FADE_AFTER {
            self.fade();
        }
    }

    /// The latency that `share_milli` thousandths of the answers don't exceed, once enough are
    /// known.
    pub fn percentile(&self, share_milli: u32) -> Option<Millis> {
        if self.total < MIN_OBSERVATIONS {
            return None;
        }
        let wanted = (u64::from(self.total) * u64::from(share_milli)).div_ceil(1_000);
        let mut seen = 0;
        for (index, &count) in self.counts.iter().enumerate() {
            seen += u64::from(count);
            if seen >= wanted {
                return Some(Millis(upper_bound(index)));
            }
        }
        None
    }

    fn fade(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().sum();
    }
}

/// The bucket of a latency: exact below 4 ms, then four to each doubling.
fn bucket(millis: u64) -> usize {
    if millis < 4 {
        return millis as usize;
    }
    let doubling = u64::from(millis.ilog2());
    let quarter = (millis >> (doubling - 2)) & 3;
    (((doubling - 1) * 4 + quarter) as usize).min(BUCKETS - 1)
}

/// The largest latency of a bucket, in milliseconds.
fn upper_bound(index: usize) -> u64 {
    let index = index as u64;
    if index < 4 {
        return index;
    }
    let doubling = index / 4 + 1;
    let quarter = index % 4;
    ((5 + quarter) << (doubling - 2)) - 1
}
