//! Estimates the latency percentiles of a service.

use ids::Millis;

/// Number of histogram buckets; four cover each power of two.
const BUCKET_COUNT: usize = 128;

/// Number of observations after which all counts are halved, so that old ones lose weight.
const DECAY_AFTER: u32 = 1_000;

/// Minimum number of observations for an estimate.
const MIN_OBSERVATIONS: u32 = 20;

/// A latency histogram with logarithmic buckets and decaying counts.
#[derive(Debug, Clone)]
pub struct LatencyEstimate {
    counts: [u32; BUCKET_COUNT],
    total: u32,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self { counts: [0; BUCKET_COUNT], total: 0 }
    }
}

impl LatencyEstimate {
    /// Records the latency of a complete response.
    pub fn observe(&mut self, latency: Millis) {
        self.counts[bucket(latency.0)] += 1;
        self.total += 1;
        if self.total >= DECAY_AFTER {
            self.decay();
        }
    }

    /// Returns a latency that at least `quantile_milli` thousandths of the responses don't exceed.
    ///
    /// Returns `None` while there are too few observations.
    pub fn percentile(&self, quantile_milli: u32) -> Option<Millis> {
        if self.total < MIN_OBSERVATIONS {
            return None;
        }
        let rank = (u64::from(self.total) * u64::from(quantile_milli)).div_ceil(1_000);
        let mut cumulative = 0;
        for (index, &count) in self.counts.iter().enumerate() {
            cumulative += u64::from(count);
            if cumulative >= rank {
                return Some(Millis(upper_bound(index)));
            }
        }
        None
    }

    fn decay(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().sum();
    }
}

/// Returns the bucket of a latency: one per millisecond below 4 ms, then four per power of two.
fn bucket(millis: u64) -> usize {
    if millis < 4 {
        return millis as usize;
    }
    let exponent = u64::from(millis.ilog2());
    let sub_bucket = (millis >> (exponent - 2)) & 3;
    (((exponent - 1) * 4 + sub_bucket) as usize).min(BUCKET_COUNT - 1)
}

/// Returns the largest latency of a bucket, in milliseconds.
fn upper_bound(index: usize) -> u64 {
    let index = index as u64;
    if index < 4 {
        return index;
    }
    let exponent = index / 4 + 1;
    let sub_bucket = index % 4;
    ((5 + sub_bucket) << (exponent - 2)) - 1
}
