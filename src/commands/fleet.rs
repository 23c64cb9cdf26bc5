//! Prints the status of the fleet and removes control hosts from the replicated log.

use ids::HostId;
use schema::operator::{OperatorRequest, OperatorResponse, Status};

use super::{ControlOptions, unexpected_response};
use crate::cli::{self, ExitError};

/// Prints the status of each control host and of each host of the fleet.
pub async fn status(control: &ControlOptions) -> Result<(), ExitError> {
    let mut reached = 0;
    for address in &control.addresses {
        match control.client.request_at(*address, &OperatorRequest::Status).await {
            Ok(OperatorResponse::Status(status)) => {
                reached += 1;
                cli::print(&format_control(&status));
            }
            Ok(other) => cli::print(&format!("control {address}: {other:?}\n")),
            Err(e) => cli::print(&format!("control {address}: {e}\n")),
        }
    }
    if reached == 0 {
        return Err(ExitError::failed("no control host responded"));
    }
    for host in control.client.fleet().await?.hosts {
        cli::print(&format!(
            "host {} role={} data_centre={} state={} version={} admin={}\n",
            host.host, host.role, host.data_centre, host.state, host.version, host.address
        ));
    }
    Ok(())
}

fn format_control(status: &Status) -> String {
    format!(
        "control {} role={} current={} term={} commit={} version={} voters={}\n",
        status.host,
        status.role,
        status.holds_lease,
        status.term,
        status.commit,
        status.version,
        status.members.voters.len()
    )
}

/// Removes a lost control host from the replicated log.
pub async fn remove_voter(control: &ControlOptions, host: HostId) -> Result<(), ExitError> {
    match control.client.request(&OperatorRequest::RemoveVoter(host)).await? {
        OperatorResponse::MembershipChangeStarted => {
            cli::print(&format!("removal of control host {host} has begun\n"));
            Ok(())
        }
        OperatorResponse::MembershipChangeRefused => Err(ExitError::refused(
            "another membership change is in progress, or the host is not a voter",
        )),
        other => Err(unexpected_response(&other)),
    }
}
