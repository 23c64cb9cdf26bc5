//! Metrics of the messages between hosts.

use prometheus_client::{metrics::gauge::Gauge, registry::Registry};
use transport::StatsSnapshot;

/// Gauges of a transport's counts, each since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct TransportMetrics {
    sent: Gauge,
    sent_bytes: Gauge,
    received: Gauge,
    received_bytes: Gauge,
    dropped: Gauge,
    bad_mac: Gauge,
    malformed: Gauge,
}

impl TransportMetrics {
    /// Registers the gauges.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let gauges = [
            ("peer_sent", "Messages sent to other hosts", &metrics.sent),
            ("peer_sent_bytes", "Bytes sent to other hosts", &metrics.sent_bytes),
            ("peer_received", "Genuine messages from other hosts", &metrics.received),
            ("peer_received_bytes", "Bytes of genuine messages", &metrics.received_bytes),
            ("peer_dropped", "Messages that could not be sent", &metrics.dropped),
            ("peer_bad_mac", "Messages refused for a wrong key", &metrics.bad_mac),
            ("peer_malformed", "Messages that could not be decoded", &metrics.malformed),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        metrics
    }

    /// Sets the gauges.
    pub fn set(&self, stats: StatsSnapshot) {
        self.sent.set(clamp(stats.sent));
        self.sent_bytes.set(clamp(stats.sent_bytes));
        self.received.set(clamp(stats.received));
        self.received_bytes.set(clamp(stats.received_bytes));
        self.dropped.set(clamp(stats.dropped));
        self.bad_mac.set(clamp(stats.bad_mac));
        self.malformed.set(clamp(stats.malformed));
    }
}

/// The value as a gauge holds it.
pub fn clamp(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
