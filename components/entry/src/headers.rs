//! Headers that the fleet reads and writes.

use hyper::{HeaderMap, StatusCode, header};

/// Idempotency key: the caller's id of a request that must not run twice.
pub const KEY_HEADER: &str = "idempotency-key";

/// Organisation of the caller.
pub const ORGANISATION_HEADER: &str = "daisypaddle-organisation";

/// Time left for a request, in milliseconds: sent by callers and to backend servers.
pub const DEADLINE_HEADER: &str = "daisypaddle-deadline-ms";

/// Id of an attempt; a backend server may repeat it to show which request it answers.
pub const REQUEST_HEADER: &str = "daisypaddle-request";

/// Whether a request ran: `ran`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "daisypaddle-outcome";

/// Marks the stored answer to an earlier request with the same key.
pub const REPLAYED_HEADER: &str = "daisypaddle-replayed";

/// Marks a health probe.
pub const PROBE_HEADER: &str = "daisypaddle-probe";

/// Set by a backend server that was busy and did not run the request.
pub const SHED_HEADER: &str = "daisypaddle-shed";

/// Number of requests in a backend server, set in its answers.
pub const LOAD_HEADER: &str = "daisypaddle-load";

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns whether a final response may have this status (RFC 9110, section 15); others mean nothing
/// to a caller.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Removes the hop-by-hop headers, and those that the `Connection` header lists.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let connection_headers: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse::<header::HeaderName>().ok())
        .collect();
    for name in connection_headers.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// Returns the value of a header; `None` if it is missing or not text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}
