//! Requests that others have put into quarantine although this gateway has got an answer lately.
//!
//! Load pattern: many gateways have answers to a popular request. Each waits for a time drawn so that a
//! few of them tell the fleet first, however many there are; the others hear of it meanwhile.

use ids::{Fingerprint, Millis, Timestamp};

/// Time in which what one gateway tells has reached most others, in milliseconds.
const SLOT: Millis = Millis(50);

/// Number of slots; in each, about twice as many gateways would tell as in the one before.
const SLOTS: u32 = 11;

/// The requests to be cleared, and when.
#[derive(Debug)]
pub(crate) struct Objections {
    state: u64,
    waiting: Vec<(Timestamp, Fingerprint)>,
}

impl Objections {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed, waiting: Vec::new() }
    }

    pub(crate) fn add(&mut self, now: Timestamp, request: Fingerprint) {
        let slot = (SLOTS - 1).saturating_sub(self.draw().trailing_zeros());
        self.waiting.retain(|(_, it)| *it != request);
        self.waiting.push((now + Millis(SLOT.0 * u64::from(slot)), request));
    }

    /// Returns when the next request is to be cleared.
    pub(crate) fn next(&self) -> Option<Timestamp> {
        self.waiting.iter().map(|(at, _)| *at).min()
    }

    /// Takes the requests that are to be cleared now.
    pub(crate) fn take(&mut self, now: Timestamp) -> Vec<Fingerprint> {
        let due = self.waiting.extract_if(.., |(at, _)| *at <= now);
        due.map(|(_, request)| request).collect()
    }

    /// Returns the next number of the SplitMix64 generator.
    fn draw(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
