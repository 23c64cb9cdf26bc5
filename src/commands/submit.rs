//! Checks, submits and prints configuration texts.

use std::{fs, time::Duration};

use ids::{ConfigVersion, HostId};
use membership::MemberState;
use schema::{
    fleet_status::{HostStatus, HostStatusRole},
    operator::{OperatorRequest, OperatorResponse, Submit},
};
use tokio::time::{Instant, sleep};

use super::{ControlOptions, not_done};
use crate::{
    cli::{self, ExitError},
    operator,
};

/// Between two looks at the hosts.
const WAIT_INTERVAL: Duration = Duration::from_millis(250);

/// Tries to learn the outcome of a submit whose answer was lost.
const SUBMIT_TRIES: u32 = 5;

/// Between two tries.
const SUBMIT_RETRY: Duration = Duration::from_millis(500);

/// Checks a text, offline.
pub fn check(file: &str) -> Result<(), ExitError> {
    let config = parse(file, &read(file)?)?;
    let text = config.text();
    cli::print(&format!(
        "{file}: version {}, {} services, {} routes, {} organisations: no errors\n",
        text.version,
        text.services.len(),
        text.routes.len(),
        text.organisations.len()
    ));
    Ok(())
}

/// Submits a text, and waits until it is in force if asked to.
pub async fn submit(
    control: &ControlOptions,
    file: &str,
    wait: Option<Duration>,
) -> Result<(), ExitError> {
    let text = read(file)?;
    let version = parse(file, &text)?.version();
    let request = OperatorRequest::Submit(Submit { text });
    match submit_until_known(control, &request).await? {
        OperatorResponse::Accepted(it) => {
            let again = if it.resent { " before" } else { "" };
            let origin = &it.acceptance.origin;
            cli::print(&format!(
                "version {version} accepted{again}, from {}: {}\n",
                origin.operator, it.summary
            ));
        }
        OperatorResponse::Conflict(it) => {
            let winner = &it.winner;
            return Err(ExitError::refused(format!(
                "version {} is taken by another text: {} submitted it from {} at {} ms, digest {}; \
                 version {} is in force",
                winner.version,
                winner.origin.operator,
                winner.origin.address,
                winner.at,
                winner.digest,
                it.current
            )));
        }
        OperatorResponse::Superseded(it) | OperatorResponse::OutOfOrder(it) => {
            return Err(ExitError::refused(format!(
                "version {} does not follow version {}, which is in force",
                it.submitted, it.current
            )));
        }
        OperatorResponse::Invalid(errors) => {
            return Err(ExitError::invalid(operator::describe_errors(&errors)));
        }
        OperatorResponse::TooLarge(limit) => {
            return Err(ExitError::invalid(format!("{file}: larger than {limit} bytes")));
        }
        other => return Err(not_done(&other)),
    }
    match wait {
        Some(limit) => wait_in_force(control, version, limit).await,
        None => Ok(()),
    }
}

/// Prints the text in force.
pub async fn current(control: &ControlOptions) -> Result<(), ExitError> {
    match control.client.request(&OperatorRequest::Current).await? {
        OperatorResponse::Current(it) => {
            cli::print(&it.text);
            Ok(())
        }
        OperatorResponse::NoConfiguration => Err(ExitError::refused("no text was accepted yet")),
        other => Err(not_done(&other)),
    }
}

/// Sends the same text again while its outcome is unknown; that gives the first outcome.
async fn submit_until_known(
    control: &ControlOptions,
    request: &OperatorRequest,
) -> Result<OperatorResponse, ExitError> {
    for _ in 1..SUBMIT_TRIES {
        match control.client.request(request).await {
            Ok(
                OperatorResponse::OutcomeUnknown
                | OperatorResponse::NotLeader(_)
                | OperatorResponse::LeaseExpired(_),
            )
            | Err(operator::OperatorError::Unreachable(_)) => sleep(SUBMIT_RETRY).await,
            other => return Ok(other?),
        }
    }
    Ok(control.client.request(request).await?)
}

async fn wait_in_force(
    control: &ControlOptions,
    version: ConfigVersion,
    limit: Duration,
) -> Result<(), ExitError> {
    let end = Instant::now() + limit;
    loop {
        let fleet = control.client.fleet().await?;
        let entries: Vec<_> = fleet.hosts.iter().filter(|it| is_live_entry(it)).collect();
        let behind: Vec<HostId> =
            entries.iter().filter(|it| it.version < version).map(|it| it.host).collect();
        if behind.is_empty() && !entries.is_empty() {
            let count = entries.len();
            cli::print(&format!("version {version} is in force on {count} entry hosts\n"));
            return Ok(());
        }
        if Instant::now() >= end {
            let hosts: Vec<_> = behind.iter().map(ToString::to_string).collect();
            return Err(ExitError::failed(format!(
                "version {version} is not in force on {} of {} entry hosts: {}",
                behind.len(),
                entries.len(),
                hosts.join(", ")
            )));
        }
        sleep(WAIT_INTERVAL).await;
    }
}

fn is_live_entry(host: &HostStatus) -> bool {
    let is_live =
        matches!(host.state, MemberState::Joining | MemberState::Serving | MemberState::Draining);
    host.role == HostStatusRole::Entry && is_live
}

fn read(file: &str) -> Result<String, ExitError> {
    fs::read_to_string(file).map_err(|e| ExitError::failed(format!("cannot read {file}: {e}")))
}

fn parse(file: &str, text: &str) -> Result<config::Config, ExitError> {
    config::parse(text).map_err(|errors| {
        let lines: Vec<_> = errors.iter().map(|it| format!("{file}:{it}")).collect();
        ExitError::invalid(lines.join("\n"))
    })
}
