//! What all processes of the fleet share: clocks, settings files, shutdown signals, transport
//! metrics and an HTTP server for operators and monitoring.

mod clock;
mod server;
mod settings_file;
mod shutdown;
mod transport_metrics;

pub use crate::{
    clock::Clock,
    server::{AdminRequest, AdminResponse, AdminService, MAX_ADMIN_BODY_BYTES, serve},
    settings_file::{SettingsError, read_settings},
    shutdown::shutdown_signal,
    transport_metrics::{TransportMetrics, gauge_value, set_counter},
};
