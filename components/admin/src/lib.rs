//! Serves metrics, status and operators' requests over HTTP.

mod server;
mod settings_file;
mod shutdown;

pub use crate::{
    server::{AdminRequest, AdminResponse, AdminService, MAX_ADMIN_BODY_BYTES, serve},
    settings_file::{SettingsError, read_settings},
    shutdown::stop_signal,
};
