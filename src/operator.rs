//! Client for the control hosts' operator interface.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use schema::{
    fleet_status::FleetStatus,
    operator::{OperatorRequest, OperatorResponse, TextError},
};
use stand_in::{HttpAnswer, HttpError, exchange};

/// Timeout of a request to one control host.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);

/// Client that sends operator requests to the leader among the control hosts.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    token: String,
}

/// Error of a request to the control hosts.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum OperatorError {
    /// no control host responded: {0}
    Unreachable(String),
    /// the operator's token is invalid
    BadToken,
    /// control host responded with {0}: {1}
    Refused(StatusCode, String),
}

impl std::error::Error for OperatorError {}

impl OperatorClient {
    /// Creates a client for control hosts with the given admin addresses.
    pub fn new(addresses: Vec<SocketAddr>, token: String) -> Self {
        Self { addresses, token }
    }

    /// Asks the control hosts in turn and returns the response of the leader, or that of the last
    /// host if none is the leader.
    pub async fn request(
        &self,
        request: &OperatorRequest,
    ) -> Result<OperatorResponse, OperatorError> {
        let mut last = Err(OperatorError::Unreachable("no address was given".to_owned()));
        for address in &self.addresses {
            last = self.request_at(*address, request).await;
            let should_try_next = matches!(
                last,
                Err(OperatorError::Unreachable(_))
                    | Ok(OperatorResponse::NotLeader(_) | OperatorResponse::LeaseExpired(_))
            );
            if !should_try_next {
                return last;
            }
        }
        last
    }

    /// Returns the response of one control host.
    pub async fn request_at(
        &self,
        address: SocketAddr,
        request: &OperatorRequest,
    ) -> Result<OperatorResponse, OperatorError> {
        let body = serde_json::to_vec(request).expect("operator requests serialize to JSON");
        let req = Request::post("/v1/request")
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| OperatorError::BadToken)?;
        let answer =
            exchange(address, req, REQUEST_TIMEOUT).await.map_err(|e| unreachable(address, e))?;
        parse_answer(&answer)
    }

    /// Returns the hosts of the fleet, as known to the first control host that responds.
    pub async fn fleet(&self) -> Result<FleetStatus, OperatorError> {
        let mut last = Err(OperatorError::Unreachable("no address was given".to_owned()));
        for address in &self.addresses {
            let req = Request::get("/v1/fleet").body(Full::new(Bytes::new()));
            let Ok(req) = req else { continue };
            last = match exchange(*address, req, REQUEST_TIMEOUT).await {
                Ok(answer) => parse_answer(&answer),
                Err(e) => Err(unreachable(*address, e)),
            };
            if last.is_ok() {
                return last;
            }
        }
        last
    }
}

fn parse_answer<T: serde::de::DeserializeOwned>(answer: &HttpAnswer) -> Result<T, OperatorError> {
    if answer.status == StatusCode::UNAUTHORIZED {
        return Err(OperatorError::BadToken);
    }
    if answer.status != StatusCode::OK {
        return Err(OperatorError::Refused(answer.status, answer.text().trim().to_owned()));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|e| OperatorError::Refused(answer.status, e.to_string()))
}

fn unreachable(address: SocketAddr, e: HttpError) -> OperatorError {
    OperatorError::Unreachable(format!("{address}: {e}"))
}

/// Formats the errors of a refused configuration text, one per line.
pub fn format_errors(errors: &[TextError]) -> String {
    let lines: Vec<_> =
        errors.iter().map(|it| format!("{}:{}: {}", it.line, it.column, it.message)).collect();
    lines.join("\n")
}
