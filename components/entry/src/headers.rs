//! The headers that the fleet reads and writes.

use hyper::{HeaderMap, header};

/// The caller's key of a request that must not run twice.
pub const KEY_HEADER: &str = "idempotency-key";

/// The organisation that the caller belongs to.
pub const ORGANISATION_HEADER: &str = "daisypaddle-organisation";

/// Milliseconds that are left for a request, towards backend servers and from callers.
pub const DEADLINE_HEADER: &str = "daisypaddle-deadline-ms";

/// Names one attempt; a backend server that repeats it shows whose answer it gives.
pub const REQUEST_HEADER: &str = "daisypaddle-request";

/// Whether a request ran: `ran`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "daisypaddle-outcome";

/// Marks a stored answer that is given to a resend.
pub const REPLAYED_HEADER: &str = "daisypaddle-replayed";

/// Marks a probe.
pub const PROBE_HEADER: &str = "daisypaddle-probe";

/// A backend server's answer: it was busy and did not run the request.
pub const SHED_HEADER: &str = "daisypaddle-shed";

/// A backend server's answer: the requests that it holds.
pub const LOAD_HEADER: &str = "daisypaddle-load";

/// Headers that concern one connection only.
const HOP_BY_HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that concern one connection only.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse::<header::HeaderName>().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// The value of a header as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}
