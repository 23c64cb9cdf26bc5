//! Checks, submits and prints configuration texts.

use std::{fs, time::Duration};

use ids::{ConfigVersion, HostId};
use membership::MemberState;
use schema::{
    fleet_status::{HostStatus, HostStatusRole},
    operator::{OperatorRequest, OperatorResponse, Submit},
};
use tokio::time::{Instant, sleep};

use super::{ControlOptions, unexpected_response};
use crate::{
    cli::{self, ExitError},
    operator,
};

/// Interval at which `submit --wait` polls the hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of attempts while the outcome of a submission is unknown.
const MAX_SUBMIT_ATTEMPTS: u32 = 5;

/// Pause between two attempts.
const SUBMIT_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Checks a configuration text without contacting the fleet.
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

/// Submits a configuration text; with `wait`, waits up to that long until it is in force on all
/// live entry hosts.
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
            return Err(ExitError::invalid(operator::format_errors(&errors)));
        }
        OperatorResponse::TooLarge(limit) => {
            return Err(ExitError::invalid(format!(
                "{file}: the text is larger than {limit} bytes"
            )));
        }
        other => return Err(unexpected_response(&other)),
    }
    match wait {
        Some(timeout) => wait_until_in_force(control, version, timeout).await,
        None => Ok(()),
    }
}

/// Prints the configuration text in force.
pub async fn current(control: &ControlOptions) -> Result<(), ExitError> {
    match control.client.request(&OperatorRequest::Current).await? {
        OperatorResponse::Current(it) => {
            cli::print(&it.text);
            Ok(())
        }
        OperatorResponse::NoConfiguration => {
            Err(ExitError::refused("no configuration text has been accepted yet"))
        }
        other => Err(unexpected_response(&other)),
    }
}

/// Submits the same text again while the outcome is unknown. This is safe: the response to a text
/// that was submitted before repeats the first outcome.
async fn submit_until_known(
    control: &ControlOptions,
    request: &OperatorRequest,
) -> Result<OperatorResponse, ExitError> {
    for _ in 1..MAX_SUBMIT_ATTEMPTS {
        match control.client.request(request).await {
            Ok(
                OperatorResponse::OutcomeUnknown
                | OperatorResponse::NotLeader(_)
                | OperatorResponse::LeaseExpired(_),
            )
            | Err(operator::OperatorError::Unreachable(_)) => sleep(SUBMIT_RETRY_INTERVAL).await,
            other => return Ok(other?),
        }
    }
    Ok(control.client.request(request).await?)
}

async fn wait_until_in_force(
    control: &ControlOptions,
    version: ConfigVersion,
    timeout: Duration,
) -> Result<(), ExitError> {
    let deadline = Instant::now() + timeout;
    loop {
        let fleet = control.client.fleet().await?;
        let entries: Vec<_> = fleet.hosts.iter().filter(|it| is_live_entry(it)).collect();
        let outdated: Vec<HostId> =
            entries.iter().filter(|it| it.version < version).map(|it| it.host).collect();
        if outdated.is_empty() && !entries.is_empty() {
            let count = entries.len();
            cli::print(&format!("version {version} is in force on {count} entry hosts\n"));
            return Ok(());
        }
        if Instant::now() >= deadline {
            let hosts: Vec<_> = outdated.iter().map(ToString::to_string).collect();
            return Err(ExitError::failed(format!(
                "version {version} is not in force on {} of {} entry hosts: {}",
                outdated.len(),
                entries.len(),
                hosts.join(", ")
            )));
        }
        sleep(POLL_INTERVAL).await;
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
