//! The rate limit of log lines.

use ids::FastMap;

/// Maximum lines per second with the same message: twice the peak request rate of an entry host in
/// current deployments.
pub const MAX_LINES_PER_SECOND: u32 = 50;

/// Limits the number of lines per second for each message.
#[derive(Debug, Default)]
pub struct RateLimiter {
    current_second: u64,
    counts: FastMap<&'static str, u32>,
}

impl RateLimiter {
    /// Returns whether a line with this fixed message may be written. `None` stands for a message
    /// with formatted arguments; lines with such messages are not limited.
    pub fn allows(&mut self, now_millis: u64, message: Option<&'static str>) -> bool {
        let Some(message) = message else { return true };
        let second = now_millis / 1_000;
        if second != self.current_second {
            self.current_second = second;
            self.counts.clear();
        }
        let count = self.counts.entry(message).or_default();
        *count += 1;
        *count <= MAX_LINES_PER_SECOND
    }
}
