//! Reads the clocks of the machine for the decision components.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use ids::{Incarnation, Timestamp, WallTime};

/// The clocks of one process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Clocks whose monotonic time starts now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The monotonic time.
    pub fn now(&self) -> Timestamp {
        Timestamp(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// The wall clock time.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    /// An incarnation for a process that starts now; later starts have higher ones.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.wall().0)
    }
}
