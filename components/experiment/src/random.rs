//! Seeded random draws.

use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

/// A seeded source of random draws.
pub struct Random(Xoshiro256PlusPlus);

impl Random {
    /// A source that always gives the same draws for one seed.
    pub fn new(seed: u64) -> Self {
        Self(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// A number in `0.0..1.0`.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Whether an event of this probability happens.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// A number below `limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        (self.unit() * limit as f64) as usize
    }

    /// An exponential draw with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
