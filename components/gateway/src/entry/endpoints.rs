//! The endpoints of a gateway for the platform, callers and monitoring.

use std::rc::Rc;

use hyper::{Request, StatusCode, body::Incoming};
use platform::{calls, directory};

use super::shared::Shared;
use crate::http::{self, Reply};

/// Responds with whether the gateway accepts callers.
pub(crate) async fn readiness(shared: Rc<Shared>, req: Request<Incoming>) -> Reply {
    if !calls::is_readiness_call(req.method(), req.uri().path()) {
        return http::text(StatusCode::NOT_FOUND, "no such page\n");
    }
    match shared.with_core(|core, now| core.is_ready(now)) {
        true => http::text(StatusCode::OK, "ready\n"),
        false => http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

/// Responds with the addresses that a caller should use.
pub(crate) async fn directory(shared: Rc<Shared>, req: Request<Incoming>) -> Reply {
    if !calls::is_directory_call(req.method(), req.uri().path()) {
        return http::text(StatusCode::NOT_FOUND, "no such page\n");
    }
    let location = directory::read_location(req.uri().query());
    let answer = shared.with_core(|core, _| {
        core.directory(location.region.as_ref(), location.data_centre.as_ref())
    });
    if answer.addresses.is_empty() {
        return http::text(StatusCode::SERVICE_UNAVAILABLE, "no addresses are known yet\n");
    }
    http::json(StatusCode::OK, directory::encode_answer(&answer))
}

/// Responds with the metrics.
pub(crate) async fn metrics(shared: Rc<Shared>, _req: Request<Incoming>) -> Reply {
    let stats = shared.transport_stats();
    let text = shared.with_core(|core, _| shared.metrics.render(core, stats));
    http::text(StatusCode::OK, text)
}
