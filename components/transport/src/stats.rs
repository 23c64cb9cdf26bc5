//! Counters of sent, received and rejected messages.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::Purpose;

/// The counters of a transport.
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
    queued_bytes: [AtomicU64; Purpose::ALL.len()],
}

/// The values of all counters, each since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatsSnapshot {
    /// Messages written to a socket.
    pub sent: u64,
    /// Size of the sent messages, in bytes.
    pub sent_bytes: u64,
    /// Messages received with a valid MAC and addressed to this host.
    pub received: u64,
    /// Size of the received messages, in bytes.
    pub received_bytes: u64,
    /// Outgoing messages dropped because a queue was full or the peer was unreachable.
    pub dropped: u64,
    /// Messages rejected because their MAC matched no key.
    pub bad_mac: u64,
    /// Messages rejected because they had the wrong size or could not be decoded.
    pub malformed: u64,
    /// Messages with a valid MAC that were addressed to another host.
    pub misdirected: u64,
    /// Size of the messages to be sent, in bytes, by [`Purpose::ALL`].
    pub queued_bytes: [u64; Purpose::ALL.len()],
}

impl Stats {
    pub(crate) fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_queued(&self, purpose: Purpose, bytes: usize) {
        self.queued_bytes[purpose as usize].fetch_add(bytes as u64, Ordering::Relaxed);
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

    /// Returns the current values.
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
            queued_bytes: self.queued_bytes.each_ref().map(|it| it.load(Ordering::Relaxed)),
        }
    }
}

impl StatsSnapshot {
    /// Returns the purposes and the bytes to be sent for each, as text.
    pub fn bytes_by_purpose(&self) -> String {
        let bytes = Purpose::ALL.iter().zip(self.queued_bytes).filter(|(_, it)| *it > 0);
        let texts: Vec<String> = bytes.map(|(it, n)| format!("{} {n}", it.name())).collect();
        texts.join(", ")
    }
}
