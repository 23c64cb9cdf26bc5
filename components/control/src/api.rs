//! HTTP API for operators and monitoring.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use admin::{AdminRequest, AdminResponse, AdminService};
use hyper::{Method, StatusCode};
use schema::operator::{OperatorRequest, OperatorResponse, Origin};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};
use transport::Transport;

use crate::{
    driver::{DriverEvent, SharedStatus},
    metrics::Metrics,
    tokens::OperatorTokens,
};

/// Maximum time that the response to an operator may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP API of a control host.
pub(crate) struct ControlApi {
    pub(crate) tokens: OperatorTokens,
    pub(crate) event_tx: mpsc::Sender<DriverEvent>,
    pub(crate) status: Arc<Mutex<SharedStatus>>,
    pub(crate) transport: Arc<Transport>,
    pub(crate) metrics: Metrics,
}

impl AdminService for ControlApi {
    async fn handle(&self, req: AdminRequest) -> AdminResponse {
        match (&req.method, req.path.as_str()) {
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/v1/fleet") => self.fleet(),
            (&Method::POST, "/v1/request") => self.request(req).await,
            _ => AdminResponse::not_found(),
        }
    }
}

impl ControlApi {
    fn status(&self) -> SharedStatus {
        self.status.lock().expect("no holder panics").clone()
    }

    fn metrics(&self) -> AdminResponse {
        let text = self.metrics.render(&self.status(), self.transport.stats());
        AdminResponse::text(StatusCode::OK, text)
    }

    fn fleet(&self) -> AdminResponse {
        let body = serde_json::to_vec(&self.status().fleet).expect("the status serializes to JSON");
        AdminResponse::json(StatusCode::OK, body)
    }

    async fn request(&self, req: AdminRequest) -> AdminResponse {
        let token = req.token.as_deref().unwrap_or_default();
        let Some(operator) = self.tokens.operator(token) else {
            return AdminResponse::text(
                StatusCode::UNAUTHORIZED,
                "an operator's token is needed\n",
            );
        };
        let body: OperatorRequest = match serde_json::from_slice(&req.body) {
            Ok(body) => body,
            Err(e) => return AdminResponse::text(StatusCode::BAD_REQUEST, format!("{e}\n")),
        };
        let origin = Origin { operator: operator.to_owned(), address: req.client_ip };
        let (tx, rx) = oneshot::channel();
        if self.event_tx.send(DriverEvent::Request(origin, body, tx)).await.is_err() {
            return unavailable();
        }
        match timeout(RESPONSE_TIMEOUT, rx).await {
            Ok(Ok(response)) => json(&response),
            Ok(Err(_)) => unavailable(),
            // The command may still be accepted; if it is, a resend returns the first outcome.
            Err(_) => json(&OperatorResponse::OutcomeUnknown),
        }
    }
}

fn json(response: &OperatorResponse) -> AdminResponse {
    let body = serde_json::to_vec(response).expect("responses serialize to JSON");
    AdminResponse::json(StatusCode::OK, body)
}

fn unavailable() -> AdminResponse {
    AdminResponse::text(StatusCode::SERVICE_UNAVAILABLE, "this control host is stopping\n")
}
