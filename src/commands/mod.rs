//! Commands of the operators' command line.

mod audit;
mod fleet;
mod servers;
mod submit;
mod trace;

use std::{fs, net::SocketAddr};

use crate::{
    cli::ExitError,
    operator::{OperatorClient, OperatorError},
};

pub use self::{
    audit::audit,
    fleet::{remove_voter, status},
    servers::{explain, servers},
    submit::{check, current, submit},
    trace::trace,
};

/// Access to the control hosts.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// Client that sends requests to the leader.
    pub client: OperatorClient,
    /// Admin addresses of the control hosts.
    pub addresses: Vec<SocketAddr>,
}

impl ControlOptions {
    /// Parses addresses separated by commas, and reads the operator's token from a file.
    pub fn read(addresses: &str, token_file: &str) -> Result<Self, ExitError> {
        let addresses: Result<Vec<SocketAddr>, _> =
            addresses.split(',').map(|it| it.trim().parse()).collect();
        let addresses = addresses.map_err(|e| ExitError::usage(format!("--control: {e}")))?;
        let token = fs::read_to_string(token_file)
            .map_err(|e| ExitError::failed(format!("cannot read {token_file}: {e}")))?;
        let client = OperatorClient::new(addresses.clone(), token.trim().to_owned());
        Ok(Self { client, addresses })
    }
}

impl From<OperatorError> for ExitError {
    fn from(e: OperatorError) -> Self {
        Self::failed(e)
    }
}

/// Returns the error for a response other than those that the command handles.
fn unexpected_response(response: &schema::operator::OperatorResponse) -> ExitError {
    use schema::operator::{LeaderHint, OperatorResponse};
    match response {
        OperatorResponse::NotLeader(LeaderHint::Host(host)) => ExitError::failed(format!(
            "control host {host} is the leader, but could not be reached"
        )),
        OperatorResponse::NotLeader(LeaderHint::Unknown) => {
            ExitError::failed("the control hosts have no leader at the moment; try again")
        }
        OperatorResponse::LeaseExpired(_) => {
            ExitError::failed("no control host can reach a majority; nothing was changed")
        }
        OperatorResponse::OutcomeUnknown => {
            ExitError::failed("the outcome is unknown; send the same request again")
        }
        OperatorResponse::Busy => {
            ExitError::failed("too many requests are waiting; nothing was changed")
        }
        other => ExitError::failed(format!("unexpected response: {other:?}")),
    }
}
