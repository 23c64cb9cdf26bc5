//! Talks to control hosts for operators.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use schema::{
    fleet_status::FleetStatus,
    operator::{OperatorRequest, OperatorResponse, TextError},
};
use stand_in::{HttpAnswer, HttpError, exchange};

/// Longest wait for one control host.
const REQUEST_LIMIT: Duration = Duration::from_secs(12);

/// Sends operators' requests to the first control host that leads.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    token: String,
}

/// No control host gave an answer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum OperatorError {
    /// no control host answers: {0}
    Unreachable(String),
    /// the operator's token is not known
    BadToken,
    /// control host answered with {0}: {1}
    Refused(StatusCode, String),
}

impl std::error::Error for OperatorError {}

impl OperatorClient {
    /// A client for the control hosts' admin addresses.
    pub fn new(addresses: Vec<SocketAddr>, token: String) -> Self {
        Self { addresses, token }
    }

    /// The answer of the leader, or of the last host asked when none leads.
    pub async fn request(
        &self,
        request: &OperatorRequest,
    ) -> Result<OperatorResponse, OperatorError> {
        let mut last = Err(OperatorError::Unreachable("no address given".to_owned()));
        for address in &self.addresses {
            last = self.request_at(*address, request).await;
            let is_elsewhere = matches!(
                last,
                Err(OperatorError::Unreachable(_))
                    | Ok(OperatorResponse::NotLeader(_) | OperatorResponse::LeaseExpired(_))
            );
            if !is_elsewhere {
                return last;
            }
        }
        last
    }

    /// The answer of one control host.
    pub async fn request_at(
        &self,
        address: SocketAddr,
        request: &OperatorRequest,
    ) -> Result<OperatorResponse, OperatorError> {
        let body = serde_json::to_vec(request).expect("requests are plain data");
        let http = Request::post("/v1/request")
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| OperatorError::BadToken)?;
        let answer =
            exchange(address, http, REQUEST_LIMIT).await.map_err(|e| unreachable(address, e))?;
        read_answer(&answer)
    }

    /// The hosts of the fleet, as the first control host that answers knows them.
    pub async fn fleet(&self) -> Result<FleetStatus, OperatorError> {
        let mut last = Err(OperatorError::Unreachable("no address given".to_owned()));
        for address in &self.addresses {
            let http = Request::get("/v1/fleet").body(Full::new(Bytes::new()));
            let Ok(http) = http else { continue };
            last = match exchange(*address, http, REQUEST_LIMIT).await {
                Ok(answer) => read_answer(&answer),
                Err(e) => Err(unreachable(*address, e)),
            };
            if last.is_ok() {
                return last;
            }
        }
        last
    }
}

fn read_answer<T: serde::de::DeserializeOwned>(answer: &HttpAnswer) -> Result<T, OperatorError> {
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

/// Lists the errors of a refused text, one a line.
pub fn describe_errors(errors: &[TextError]) -> String {
    let lines: Vec<_> =
        errors.iter().map(|it| format!("{}:{}: {}", it.line, it.column, it.message)).collect();
    lines.join("\n")
}
