//! Monotonic and wall clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use ids::{Incarnation, Timestamp, WallTime};

/// Monotonic and wall clock of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates clocks whose monotonic time starts at zero.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Timestamp {
        Timestamp(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the wall clock time.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the incarnation of a process that starts now: the wall clock time, so that a later
    /// start has a higher incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.wall().0)
    }
}
