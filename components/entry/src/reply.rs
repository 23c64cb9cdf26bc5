//! Creates the HTTP responses to callers.

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

/// `Retry-After` of the response if no memory is free for the request body.
const NO_MEMORY_RETRY_AFTER: Millis = Millis(1_000);

/// Converts a response of the state machine to HTTP.
pub(crate) fn from_reply(reply: Reply) -> Response<ReplyBody> {
    match *reply.response {
        CallerResponse::Answer { answer, replayed } => {
            answer_response(answer, replayed, reply.reservation)
        }
        CallerResponse::Refusal(refusal) => refusal_response(&refusal),
    }
}

/// Creates a plain text response.
pub(crate) fn text(status: StatusCode, message: &str) -> Response<ReplyBody> {
    let mut response =
        Response::new(ReplyBody::new(Bytes::copy_from_slice(message.as_bytes()), None));
    *response.status_mut() = status;
    response
}

/// Creates a JSON response.
pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::new(body.into(), None));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

fn answer_response(
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
    set_outcome_header(&mut response, Outcome::Ran);
    if replayed {
        response.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    response
}

fn refusal_response(refusal: &Refusal) -> Response<ReplyBody> {
    let status = StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let code = refusal.reason.code();
    error_response(status, code, &refusal.reason.to_string(), refusal.outcome, refusal.retry_after)
}

/// Creates the response to a request whose body could not be read.
pub(crate) fn body_error_response(e: BodyError, has_key: bool) -> Response<ReplyBody> {
    // The key was not looked up: an earlier request with it may have run.
    let outcome = if has_key { Outcome::Unknown } else { Outcome::NotRun };
    match e {
        BodyError::TooLarge => {
            let message = "the request body is too large for the service";
            error_response(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", message, outcome, None)
        }
        BodyError::NoMemory => {
            let message = "there is no memory for the request body now";
            let retry_after = Some(NO_MEMORY_RETRY_AFTER);
            error_response(StatusCode::SERVICE_UNAVAILABLE, "busy", message, outcome, retry_after)
        }
        BodyError::CutOff => {
            let message = "the request body was cut off";
            error_response(StatusCode::BAD_REQUEST, "body-cut-off", message, outcome, None)
        }
    }
}

fn error_response(
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
    let mut response =
        json(status, serde_json::to_vec(&body).expect("the body serializes to JSON"));
    set_outcome_header(&mut response, outcome);
    if let Some(retry_after) = retry_after {
        let seconds = HeaderValue::from(retry_after.0.div_ceil(1000).max(1));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn set_outcome_header(response: &mut Response<ReplyBody>, outcome: Outcome) {
    let value = match outcome {
        Outcome::Ran => "ran",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    };
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static(value));
}
