//! The operators' commands.

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

/// How control hosts are reached.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// Asks whichever control host leads.
    pub client: OperatorClient,
    /// The control hosts' admin addresses.
    pub addresses: Vec<SocketAddr>,
}

impl ControlOptions {
    /// Reads addresses separated by commas, and the file with the operator's token.
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

/// The error for an answer that says that the request was not carried out.
fn not_done(response: &schema::operator::OperatorResponse) -> ExitError {
    use schema::operator::{LeaderHint, OperatorResponse};
    match response {
        OperatorResponse::NotLeader(LeaderHint::Host(host)) => {
            ExitError::failed(format!("control host {host} leads and could not be asked"))
        }
        OperatorResponse::NotLeader(LeaderHint::Unknown) => {
            ExitError::failed("no control host leads now; try again")
        }
        OperatorResponse::LeaseExpired(_) => {
            ExitError::failed("no control host reaches a majority; nothing was done")
        }
        OperatorResponse::OutcomeUnknown => {
            ExitError::failed("the outcome is unknown; send the same request again")
        }
        OperatorResponse::Busy => ExitError::failed("too many requests wait; nothing was done"),
        other => ExitError::failed(format!("unexpected answer: {other:?}")),
    }
}
