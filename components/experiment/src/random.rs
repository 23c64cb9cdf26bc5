//! Seeded random numbers.

use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

/// Seeded random number generator.
pub struct Random(Xoshiro256PlusPlus);

impl Random {
    /// Creates a generator whose draws depend only on the seed.
    pub fn new(seed: u64) -> Self {
        Self(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// Returns a uniform number in `0.0..1.0`.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns `true` with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Returns a uniform integer below `limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        (self.unit() * limit as f64) as usize
    }

    /// Returns an exponentially distributed number with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
