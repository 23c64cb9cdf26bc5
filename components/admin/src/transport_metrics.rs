//! Metrics of the transport between hosts.

use std::sync::atomic::Ordering;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use transport::{Purpose, StatsSnapshot};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PurposeLabels {
    purpose: &'static str,
}

/// Counters of the transport.
#[derive(Debug, Clone, Default)]
pub struct TransportMetrics {
    sent: Counter,
    sent_bytes: Counter,
    received: Counter,
    received_bytes: Counter,
    dropped: Counter,
    bad_mac: Counter,
    malformed: Counter,
    queued_bytes: Family<PurposeLabels, Counter>,
}

impl TransportMetrics {
    /// Creates the counters and registers them.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let counters = [
            ("peer_sent", "Messages sent to other hosts", &metrics.sent),
            ("peer_sent_bytes", "Bytes sent to other hosts", &metrics.sent_bytes),
            ("peer_received", "Genuine messages from other hosts", &metrics.received),
            ("peer_received_bytes", "Bytes of genuine messages", &metrics.received_bytes),
            ("peer_dropped", "Messages that could not be sent", &metrics.dropped),
            ("peer_bad_mac", "Messages refused for a wrong key", &metrics.bad_mac),
            ("peer_malformed", "Messages that could not be decoded", &metrics.malformed),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "peer_queued_bytes",
            "Bytes to be sent to other hosts, by what they are for",
            metrics.queued_bytes.clone(),
        );
        metrics
    }

    /// Sets the counters to the counts of the transport.
    pub fn set(&self, stats: StatsSnapshot) {
        set_counter(&self.sent, stats.sent);
        set_counter(&self.sent_bytes, stats.sent_bytes);
        set_counter(&self.received, stats.received);
        set_counter(&self.received_bytes, stats.received_bytes);
        set_counter(&self.dropped, stats.dropped);
        set_counter(&self.bad_mac, stats.bad_mac);
        set_counter(&self.malformed, stats.malformed);
        for (purpose, bytes) in Purpose::ALL.iter().zip(stats.queued_bytes) {
            let labels = PurposeLabels { purpose: purpose.name() };
            set_counter(&self.queued_bytes.get_or_create(&labels), bytes);
        }
    }
}

/// Sets a counter to a count that is kept outside the metrics library.
pub fn set_counter(counter: &Counter, count: u64) {
    counter.inner().store(count, Ordering::Relaxed);
}

/// Converts a count to the value of a gauge; counts above `i64::MAX` become `i64::MAX`.
pub fn gauge_value(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
