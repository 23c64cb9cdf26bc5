//! Turns decisions into HTTP responses.

use bytes::Bytes;
use entry_core::{CallerResponse, Outcome, Refusal};
use hyper::{
    Response, StatusCode,
    header::{self, HeaderName, HeaderValue},
};
use ids::Millis;
use schema::{answer::Answer, caller::ErrorBody};

use crate::{
    callers::BodyError,
    headers::{OUTCOME_HEADER, REPLAYED_HEADER},
    memory::Reservation,
    reply_body::ReplyBody,
    shared::Reply,
};

/// When a caller comes back whose body found no memory.
const NO_MEMORY_RETRY_AFTER: Millis = Millis(1_000);

/// The HTTP response for a decision.
pub(crate) fn to_caller(reply: Reply) -> Response<ReplyBody> {
    match *reply.response {
        CallerResponse::Answer { answer, replayed } => {
            whole_answer(answer, replayed, reply.reservation)
        }
        CallerResponse::Refusal(refusal) => refused(&refusal),
    }
}

/// A plain text response.
pub(crate) fn text(status: StatusCode, message: &str) -> Response<ReplyBody> {
    let mut response =
        Response::new(ReplyBody::new(Bytes::copy_from_slice(message.as_bytes()), None));
    *response.status_mut() = status;
    response
}

/// A response in JSON.
pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::new(body.into(), None));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

fn whole_answer(
    answer: Answer,
    replayed: bool,
    reservation: Option<Reservation>,
) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::new(answer.body.to_bytes(), reservation));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in &answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value.as_slice());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    set_outcome(&mut response, Outcome::Ran);
    if replayed {
        response.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    response
}

fn refused(refusal: &Refusal) -> Response<ReplyBody> {
    let status = StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let code = refusal.reason.code();
    error(status, code, &refusal.reason.to_string(), refusal.outcome, refusal.retry_after)
}

/// The response to a request whose body was not read.
pub(crate) fn body_refused(e: BodyError, has_key: bool) -> Response<ReplyBody> {
    // An earlier send of the key may have run: that was not looked up.
    let outcome = if has_key { Outcome::Unknown } else { Outcome::NotRun };
    match e {
        BodyError::TooLarge => {
            let message = "the request body is too large for the service";
            error(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", message, outcome, None)
        }
        BodyError::NoMemory => {
            let message = "there is no memory for the request body now";
            let retry_after = Some(NO_MEMORY_RETRY_AFTER);
            error(StatusCode::SERVICE_UNAVAILABLE, "busy", message, outcome, retry_after)
        }
        BodyError::CutOff => {
            let message = "the request body was cut off";
            error(StatusCode::BAD_REQUEST, "body-cut-off", message, outcome, None)
        }
    }
}

fn error(
    status: StatusCode,
    code: &str,
    message: &str,
    outcome: Outcome,
    retry_after: Option<Millis>,
) -> Response<ReplyBody> {
    let body = ErrorBody {
        error: code.to_owned(),
        message: message.to_owned(),
        outcome: outcome.to_string(),
    };
    let mut response = json(status, serde_json::to_vec(&body).expect("the body is plain data"));
    set_outcome(&mut response, outcome);
    if let Some(retry_after) = retry_after {
        let seconds = HeaderValue::from(retry_after.0.div_ceil(1000).max(1));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn set_outcome(response: &mut Response<ReplyBody>, outcome: Outcome) {
    let value = match outcome {
        Outcome::Ran => "ran",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    };
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static(value));
}
