//! What callers and backend servers ask of the system itself.

use std::sync::Arc;

use entry_core::EntryEvent;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use ids::{DataCentreName, Millis};
use schema::{
    announcement::Announcement,
    caller::{AnnounceAnswer, DirectoryAnswer, EntryAddress},
};

use crate::{reply, reply_body::ReplyBody, shared::Shared};

/// Largest announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4096;

/// Longest lifetime of an announcement, in milliseconds.
const MAX_LIFETIME: Millis = Millis(600_000);

/// Announcements in one lifetime, so that one or two may be lost.
const RENEWALS_PER_LIFETIME: u64 = 3;

/// Answers `GET /directory?data_centre=NAME`.
pub(crate) fn directory(shared: &Shared, query: Option<&str>) -> Response<ReplyBody> {
    let data_centre = match query.and_then(|it| it.strip_prefix("data_centre=")) {
        None => None,
        Some(name) => match name.parse::<DataCentreName>() {
            Ok(name) => Some(name),
            Err(e) => return reply::text(StatusCode::BAD_REQUEST, &format!("{e}\n")),
        },
    };
    let wall = shared.clock.wall();
    let page = shared.with_core(|core, now| core.directory(now, wall, data_centre));
    let addresses = page.answer.addresses.into_iter().map(|it| EntryAddress {
        host: it.host,
        data_centre: it.data_centre,
        address: it.address,
    });
    let answer = DirectoryAnswer {
        addresses: addresses.collect(),
        keep_ms: page.answer.ttl,
        ticket: page.ticket.to_string(),
    };
    reply::json(StatusCode::OK, serde_json::to_vec(&answer).expect("the answer is plain data"))
}

/// Takes `POST /announce` from a backend server.
pub(crate) async fn announce(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<ReplyBody> {
    let body = Limited::new(req.into_body(), MAX_ANNOUNCEMENT_BYTES).collect().await;
    let Ok(body) = body else {
        return reply::text(StatusCode::PAYLOAD_TOO_LARGE, "the announcement is too large\n");
    };
    let announcement: Announcement = match serde_json::from_slice(&body.to_bytes()) {
        Ok(it) => it,
        Err(e) => return reply::text(StatusCode::BAD_REQUEST, &format!("{e}\n")),
    };
    let lifetime = announcement.lifetime_ms;
    if lifetime == Millis(0) || lifetime > MAX_LIFETIME || announcement.slots == 0 {
        let message = format!("lifetime_ms must be 1 to {MAX_LIFETIME}, slots at least 1\n");
        return reply::text(StatusCode::BAD_REQUEST, &message);
    }
    shared.feed(EntryEvent::Announced(announcement));
    let answer = AnnounceAnswer { renew_ms: Millis((lifetime.0 / RENEWALS_PER_LIFETIME).max(1)) };
    reply::json(StatusCode::OK, serde_json::to_vec(&answer).expect("the answer is plain data"))
}
