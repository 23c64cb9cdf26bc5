//! When a gateway that stops takes requests, gives them up and ends.
//!
//! Load pattern: hosts are restarted one after the other under load. Callers use the address of a
//! stopping gateway until their directory answers run out, and can go to another gateway at the cost of
//! one attempt, whereas a request that is given up while a server works on it may have run.

use ids::{Millis, Timestamp};

/// Maximum number of consecutive directory answers that callers cache before they notice that a
/// host has left.
const MAX_CACHED_ANSWERS: u64 = 3;

/// Time until a planned stop is known to all directories, in milliseconds.
const PROPAGATION_TIME: Millis = Millis(500);

/// Maximum time for which requests are taken that most likely end in time, in milliseconds. Servers
/// may still work at the end on requests of the first 3 s, counted from when the signal was sent.
const MAX_LIKELY_TIME: Millis = Millis(2_800);

/// Number of parts into which the time limit of a stop is divided.
const PARTS: u64 = 48;

/// Latest start of closing the connections, in parts of the time limit.
const CLOSE_PARTS: u64 = 36;

/// When unfinished requests are given up, in parts of the time limit: in its last sixth, the rest of
/// which is for the delivery of responses.
const CUT_PARTS: u64 = 41;

/// When the process ends though responses are still being written, in parts of the time limit: the
/// rest is for a process that is late.
const LEAVE_PARTS: u64 = 46;

/// Minimum time that is left for a process that is late, in milliseconds.
const MIN_EXIT_RESERVE: Millis = Millis(400);

/// The times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// Until then, requests are taken that most likely end in time: callers may have this gateway's
    /// address from a valid directory answer. Later, only those whose time limit ends in time.
    pub likely_until: Timestamp,
    /// When the listeners close, and each connection after its response.
    pub close_at: Timestamp,
    /// When requests without a response are given up.
    pub cut_at: Timestamp,
    /// When the process ends even if responses are still being written.
    pub leave_at: Timestamp,
}

impl StopSchedule {
    /// Creates the schedule of a stop that begins now, for a process that is killed after
    /// `time_limit`.
    pub fn new(now: Timestamp, time_limit: Millis, directory_ttl: Millis) -> Self {
        let part = |parts| Millis(time_limit.0 * parts / PARTS);
        let cache_time = Millis(directory_ttl.0 * MAX_CACHED_ANSWERS);
        let latest_leave = Millis(time_limit.0.saturating_sub(MIN_EXIT_RESERVE.0));
        let leave_after = part(LEAVE_PARTS).min(latest_leave).max(part(CUT_PARTS));
        let close_after = Millis(cache_time.0 + PROPAGATION_TIME.0).min(part(CLOSE_PARTS));
        Self {
            likely_until: now + cache_time.min(part(CUT_PARTS / 2)).min(MAX_LIKELY_TIME),
            close_at: now + close_after,
            cut_at: now + part(CUT_PARTS),
            leave_at: now + leave_after,
        }
    }

    /// Returns whether to take a request that arrives now: if its time limit ends before requests are
    /// given up, or, while callers can't know of the stop, if it most likely ends by then.
    pub(crate) fn admits(
        &self,
        now: Timestamp,
        deadline: Timestamp,
        likely_end: Timestamp,
    ) -> bool {
        deadline <= self.cut_at || (now < self.likely_until && likely_end <= self.cut_at)
    }
}
