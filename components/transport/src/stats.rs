//! Counts of messages.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts kept by a transport.
#[derive(Debug, Default)]
pub struct Stats {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    dropped: AtomicU64,
    bad_mac: AtomicU64,
    malformed: AtomicU64,
    misdirected: AtomicU64,
}

/// The counts at one instant, each since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatsSnapshot {
    /// Messages handed to the operating system.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Genuine messages received.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Messages dropped because a queue was full or a peer could not be reached.
    pub dropped: u64,
    /// Messages refused for a wrong key.
    pub bad_mac: u64,
    /// Messages refused because they could not be decoded.
    pub malformed: u64,
    /// Genuine messages for another host.
    pub misdirected: u64,
}

impl Stats {
    pub(crate) fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_bad_mac(&self) {
        self.bad_mac.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_malformed(&self) {
        self.malformed.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_misdirected(&self) {
        self.misdirected.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts now.
    pub fn snapshot(&self) -> StatsSnapshot {
        StatsSnapshot {
            sent: self.sent.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
            bad_mac: self.bad_mac.load(Ordering::Relaxed),
            malformed: self.malformed.load(Ordering::Relaxed),
            misdirected: self.misdirected.load(Ordering::Relaxed),
        }
    }
}
