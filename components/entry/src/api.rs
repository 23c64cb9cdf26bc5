//! HTTP API for operators and monitoring.

use std::sync::Arc;

use admin::{AdminRequest, AdminResponse, AdminService};
use hyper::{Method, StatusCode};
use ids::ServerId;

use crate::{metrics::Metrics, shared::Shared, status_page};

/// HTTP API of an entry host.
pub(crate) struct EntryApi {
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Metrics,
}

impl AdminService for EntryApi {
    async fn handle(&self, req: AdminRequest) -> AdminResponse {
        if req.method != Method::GET {
            return AdminResponse::not_found();
        }
        match req.path.as_str() {
            "/metrics" => self.metrics(),
            "/v1/status" => {
                let page = self.shared.with_core(|core, now| status_page::status_page(core, now));
                json(&page)
            }
            path => match path.strip_prefix("/v1/servers/") {
                Some(server) => self.server(server),
                None => AdminResponse::not_found(),
            },
        }
    }
}

impl EntryApi {
    fn metrics(&self) -> AdminResponse {
        let status = self.shared.with_core(|core, now| core.status(now));
        let text = self.metrics.render(&status, self.shared.transport.stats());
        AdminResponse::text(StatusCode::OK, text)
    }

    fn server(&self, name: &str) -> AdminResponse {
        let Ok(server) = name.parse::<ServerId>() else { return AdminResponse::not_found() };
        let page = self.shared.with_core(|core, now| status_page::server_page(core, now, &server));
        match page {
            Some(page) => json(&page),
            None => AdminResponse::not_found(),
        }
    }
}

fn json<T: serde::Serialize>(page: &T) -> AdminResponse {
    let body = serde_json::to_vec(page).expect("pages serialize to JSON");
    AdminResponse::json(StatusCode::OK, body)
}
