//! Prints the status of backend servers on an entry host.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use ids::ServerId;
use schema::entry_status::{EntryStatusPage, ServerPage};
use stand_in::{HttpAnswer, exchange};

use crate::cli::{self, ExitError};

/// Timeout of a request to the entry host.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints one line for each backend server.
pub async fn servers(entry: SocketAddr) -> Result<(), ExitError> {
    let answer = get(entry, "/v1/status").await?;
    let page: EntryStatusPage = serde_json::from_slice(&answer.body).map_err(ExitError::failed)?;
    cli::print(&format!(
        "entry host mode={} version={} claim_epoch={} in_flight={}\n",
        page.mode, page.version, page.claim_epoch, page.in_flight
    ));
    page.servers.iter().for_each(|it| cli::print(&format_server(it)));
    Ok(())
}

/// Prints the status of a server and the reasons why it is in or out of rotation.
pub async fn explain(entry: SocketAddr, server: &ServerId) -> Result<(), ExitError> {
    let answer = get(entry, &format!("/v1/servers/{server}")).await?;
    if answer.status == StatusCode::NOT_FOUND {
        return Err(ExitError::refused(format!("server {server} has not announced itself")));
    }
    let page: ServerPage = serde_json::from_slice(&answer.body).map_err(ExitError::failed)?;
    cli::print(&format_server(&page));
    let watchers: Vec<_> = page.watchers.iter().map(ToString::to_string).collect();
    cli::print(&format!("watched by hosts {}\n", watchers.join(", ")));
    if page.avoided_here {
        cli::print("avoided by this entry host, on its own evidence\n");
    }
    if page.held_by_floor {
        cli::print("kept as a last resort: the service's floor allows no further ejection\n");
    }
    page.verdicts.iter().for_each(|it| cli::print(&format!("verdict {it}\n")));
    for it in &page.evidence {
        cli::print(&format!("evidence from {}: {} milli-nats\n", it.data_centre, it.milli_nats));
    }
    if page.comes_back_in_ms.0 > 0 {
        cli::print(&format!("comes back on probation in {} ms\n", page.comes_back_in_ms));
    }
    Ok(())
}

fn format_server(page: &ServerPage) -> String {
    format!(
        "server {} service={} data_centre={} address={} announced={} status={}\n",
        page.server, page.service, page.data_centre, page.address, page.announced, page.status
    )
}

async fn get(entry: SocketAddr, path: &str) -> Result<HttpAnswer, ExitError> {
    let req = Request::get(path).body(Full::new(Bytes::new())).map_err(ExitError::failed)?;
    exchange(entry, req, REQUEST_TIMEOUT)
        .await
        .map_err(|e| ExitError::failed(format!("entry host {entry}: {e}")))
}
