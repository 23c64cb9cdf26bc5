//! Logs the events of the decision logic.

use gateway_core::{Event, QuarantineEvent};

use crate::peers;

/// Logs an event; each variant has its own fixed message.
pub(crate) fn log_event(event: &Event) {
    match event {
        Event::ConfigInForce { version, before, routes } => {
            log::info!(
                version = version.0,
                before = before.0,
                routes = *routes;
                "configuration in force"
            );
        }
        Event::ServerAnnounced { server, service, data_centre, state } => {
            log::info!(
                server:% = server,
                service:% = service,
                data_centre:% = data_centre,
                state:% = state;
                "server announced"
            );
        }
        Event::ServerAvoided { server, cause, seen_by } => {
            log::info!(
                server:% = server,
                cause:% = cause,
                seen_by:% = peers::address_of(*seen_by, 0).ip();
                "server avoided"
            );
        }
        Event::ServerLeaving { server, address, seen_by } => {
            log::info!(
                server:% = server.as_ref().map_or("", |it| it.as_str()),
                server_address:% = address,
                seen_by:% = peers::address_of(*seen_by, 0).ip();
                "server leaving"
            );
        }
        Event::ServerPaused { server, pause } => {
            log::info!(server:% = server, pause_ms = pause.0; "server paused");
        }
        Event::ServerLimitChanged { server, limit, seen_by } => {
            log::info!(
                server:% = server,
                limit_milli:? = limit.map(|it| it.0),
                seen_by:% = peers::address_of(*seen_by, 0).ip();
                "server limit changed"
            );
        }
        Event::LimitLeaseHeld { server } => {
            log::info!(server:% = server; "grants permits for the server");
        }
        Event::PermitDenied { server, free_in } => {
            log::debug!(server:% = server, free_in_ms = free_in.0; "no permit for the server");
        }
        Event::EarlierRetriesKnown { charged } => {
            log::info!(charged_milli = charged.0; "retries of earlier processes known");
        }
        Event::ControlHostLost { host, cause } => {
            log::warn!(
                host:% = peers::address_of(*host, 0).ip(),
                cause:% = cause;
                "control host lost"
            );
        }
        Event::ControlHostPassedOver { host, cause } => {
            log::debug!(
                host:% = peers::address_of(*host, 0).ip(),
                cause:% = cause;
                "control host passed over"
            );
        }
        Event::ControlHostFound { host, searched } => {
            log::info!(
                host:% = peers::address_of(*host, 0).ip(),
                searched_ms = searched.0;
                "control host found"
            );
        }
        Event::PathsDown { servers } => {
            log::warn!(servers = *servers; "paths to the servers are down");
        }
        Event::PathsUp { after } => {
            log::info!(after_ms = after.0; "paths to the servers are up");
        }
        Event::RelayEnded { host, end } => {
            log::debug!(host:% = peers::address_of(*host, 0).ip(), end:% = end; "relay ended");
        }
        Event::OverLimit { organisation, cause, retry_after } => {
            log::info!(
                organisation:% = organisation,
                cause:% = cause,
                retry_after_ms = retry_after.0;
                "request over the limit of its organisation"
            );
        }
        Event::RetrySent { service, usage } => {
            log::info!(
                service:% = service,
                requests = usage.requests,
                charged_milli = usage.charged.0,
                borrowed_milli = usage.borrowed.0,
                allowed_milli = usage.allowed.0;
                "retry sent"
            );
        }
        Event::Quarantine(QuarantineEvent::Crashed { request, server, crashes }) => {
            log::warn!(
                fingerprint:% = request,
                server_address:% = server.address,
                servers = *crashes;
                "server crashed while it ran a request"
            );
        }
        Event::Quarantine(QuarantineEvent::Quarantined { request, crashes }) => {
            log::warn!(fingerprint:% = request, servers = *crashes; "request quarantined");
        }
        Event::Quarantine(QuarantineEvent::TrialGranted { request }) => {
            log::info!(fingerprint:% = request; "request in quarantine is tried");
        }
        Event::Quarantine(QuarantineEvent::Cleared { request }) => {
            log::info!(fingerprint:% = request; "request answered, its crashes are forgotten");
        }
    }
}
