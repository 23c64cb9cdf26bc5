//! Requests that the entry host handles itself: directory and announcements.

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

/// Maximum size of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 4096;

/// Maximum lifetime of an announcement.
const MAX_ANNOUNCEMENT_LIFETIME: Millis = Millis(600_000);

/// Number of announcements per lifetime, so that one or two may be lost.
const RENEWALS_PER_LIFETIME: u64 = 3;

/// Handles `GET /directory?data_centre=NAME` of a caller.
pub(crate) fn directory(shared: &Shared, query: Option<&str>) -> Response<ReplyBody> {
    let data_centre = match query.and_then(|it| it.strip_prefix("data_centre=")) {
        None => None,
        Some(name) => match name.parse::<DataCentreName>() {
            Ok(name) => Some(name),
            Err(e) => return reply::text(StatusCode::BAD_REQUEST, &format!("{e}\n")),
        },
    };
    let wall = shared.clock.wall();
    let directory = shared.with_core(|core, now| core.directory(now, wall, data_centre));
    let addresses = directory.answer.addresses.into_iter().map(|it| EntryAddress {
        host: it.host,
        data_centre: it.data_centre,
        address: it.address,
    });
    let answer = DirectoryAnswer {
        addresses: addresses.collect(),
        keep_ms: directory.answer.ttl,
        ticket: directory.ticket.to_string(),
    };
    reply::json(StatusCode::OK, serde_json::to_vec(&answer).expect("the answer serializes to JSON"))
}

/// Handles `POST /announce` of a backend server.
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
    if lifetime == Millis(0) || lifetime > MAX_ANNOUNCEMENT_LIFETIME || announcement.slots == 0 {
        let message =
            format!("lifetime_ms must be 1 to {MAX_ANNOUNCEMENT_LIFETIME}, slots at least 1\n");
        return reply::text(StatusCode::BAD_REQUEST, &message);
    }
    shared.handle_event(EntryEvent::Announced(announcement));
    let answer = AnnounceAnswer { renew_ms: Millis((lifetime.0 / RENEWALS_PER_LIFETIME).max(1)) };
    reply::json(StatusCode::OK, serde_json::to_vec(&answer).expect("the answer serializes to JSON"))
}
