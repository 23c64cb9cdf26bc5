//! Operators' requests that are repeated until a leader answers them.

use control_core::verify_trail;
use daisypaddle::operator::OperatorClient;
use ids::ContentDigest;
use schema::operator::{
    Accepted, AuditPage, AuditQuery, AuditRecord, OperatorRequest, OperatorResponse, Submit,
};

use super::wait_for;

/// Entries of the audit trail per request.
const AUDIT_PAGE_SIZE: u32 = 100;

/// Submits a configuration until a leader accepts or rejects it.
pub async fn submit_through(client: &OperatorClient, text: &str) -> OperatorResponse {
    let request = OperatorRequest::Submit(Submit { text: text.to_owned() });
    wait_for("a decision on the configuration", async || match client.request(&request).await {
        Ok(
            OperatorResponse::NotLeader(_)
            | OperatorResponse::LeaseExpired(_)
            | OperatorResponse::OutcomeUnknown,
        )
        | Err(_) => None,
        Ok(decision) => Some(decision),
    })
    .await
}

/// Returns the acceptance in a response; panics unless the response accepts `text`.
pub fn accepted(response: OperatorResponse, text: &str) -> Accepted {
    let OperatorResponse::Accepted(accepted) = response else {
        panic!("not accepted: {response:?}");
    };
    assert_eq!(accepted.acceptance.digest, ContentDigest::of(text.as_bytes()));
    accepted
}

/// Reads and verifies the whole audit trail.
pub async fn audit_trail(client: &OperatorClient) -> Vec<AuditRecord> {
    let mut pages: Vec<AuditPage> = Vec::new();
    let mut first = 0;
    loop {
        let request = OperatorRequest::Audit(AuditQuery { first, limit: AUDIT_PAGE_SIZE });
        let page =
            wait_for("a page of the audit trail", async || match client.request(&request).await {
                Ok(OperatorResponse::Audit(page)) => Some(page),
                _ => None,
            })
            .await;
        let next = page.next;
        let last = page.entries.last().map(|it| it.record.sequence + 1);
        pages.push(page);
        match last {
            Some(last) if last < next => first = last,
            _ => break,
        }
    }
    verify_trail(&pages).unwrap();
    pages.into_iter().flat_map(|it| it.entries).map(|it| it.record).collect()
}
