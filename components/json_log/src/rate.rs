//! Bounds how many lines of a kind are written.

use ids::FastMap;

/// Lines of one kind in a second at most: twice the requests that an entry host gets a second at
/// the peaks of today's deployments.
pub const MAX_LINES_PER_SECOND: u32 = 50;

/// Counts the lines of each kind in the present second.
#[derive(Debug, Default)]
pub struct LineRates {
    second: u64,
    written: FastMap<&'static str, u32>,
}

impl LineRates {
    /// Whether a line with this fixed message may be written; lines without one always may.
    pub fn allows(&mut self, now_millis: u64, message: Option<&'static str>) -> bool {
        let Some(message) = message else { return true };
        let second = now_millis / 1_000;
        if second != self.second {
            self.second = second;
            self.written.clear();
        }
        let written = self.written.entry(message).or_default();
        *written += 1;
        *written <= MAX_LINES_PER_SECOND
    }
}
