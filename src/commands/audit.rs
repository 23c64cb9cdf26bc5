//! Prints and verifies the audit trail.

use control_core::verify_trail;
use schema::operator::{AuditPage, AuditQuery, AuditRecord, OperatorRequest, OperatorResponse};

use super::{ControlOptions, unexpected_response};
use crate::cli::{self, ExitError};

/// Maximum number of entries per request.
const MAX_PAGE_ENTRIES: u32 = 500;

/// Prints the whole audit trail and verifies its hash chain.
pub async fn audit(control: &ControlOptions) -> Result<(), ExitError> {
    let mut pages: Vec<AuditPage> = Vec::new();
    let mut first = 0;
    loop {
        let query = AuditQuery { first, limit: MAX_PAGE_ENTRIES };
        let page = match control.client.request(&OperatorRequest::Audit(query)).await? {
            OperatorResponse::Audit(page) => page,
            other => return Err(unexpected_response(&other)),
        };
        page.entries.iter().for_each(|it| cli::print(&format_record(&it.record)));
        let last = page.entries.last().map(|it| it.record.sequence + 1);
        let next = page.next;
        pages.push(page);
        match last {
            Some(last) if last < next => first = last,
            Some(_) | None => break,
        }
    }
    verify_trail(&pages)
        .map_err(|e| ExitError::failed(format!("the audit trail fails verification: {e}")))?;
    let head = pages.last().map(|it| it.head.to_string()).unwrap_or_default();
    cli::print(&format!("the hashes fit; head {head}\n"));
    Ok(())
}

fn format_record(record: &AuditRecord) -> String {
    format!(
        "{} at_ms={} operator={} from={} version={} digest={} outcome={} {}\n",
        record.sequence,
        record.at,
        record.origin.operator,
        record.origin.address,
        record.version,
        &record.digest.to_string()[..12],
        record.outcome,
        record.summary
    )
}
