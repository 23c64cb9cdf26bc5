//! HTTP calls to the hosts of a fleet.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use stand_in::{HttpAnswer, HttpError, exchange};

use super::WAIT_TIMEOUT;

/// Sends a request over a new connection and reads the whole response.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<HttpAnswer, HttpError> {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).unwrap();
    exchange(address, request, WAIT_TIMEOUT).await
}

/// Sends a GET request.
pub async fn get(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<HttpAnswer, HttpError> {
    call(address, Method::GET, path, headers, "").await
}

/// Sends a POST request with an idempotency key.
pub async fn post(
    address: SocketAddr,
    path: &str,
    key: &str,
    body: &str,
) -> Result<HttpAnswer, HttpError> {
    call(address, Method::POST, path, &[("idempotency-key", key)], body).await
}
