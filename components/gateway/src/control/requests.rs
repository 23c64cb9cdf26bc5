//! Handles HTTP requests of operators and backend servers.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use gateway_core::GatewayConfig;
use hyper::{
    Request as HttpRequest, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
};
use ids::{ByteSize, HostId, Millis};
use platform::{announcements, calls::ControlCall, configuration};
use registry::{Answer, MAX_CONFIG_BYTES, Request, pack_text, unpack_text};
use schema::{gateway_settings::RegistrySettings, registry::ConfigDocument};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep},
};

use super::driver::DriverEvent;
use crate::{
    body::{self, BodyError, ReadLimits},
    connections::{CloseSignal, ConnectionState},
    http::{self, Reply},
    peers,
};

/// Time that the rest of a request body may take during a planned stop.
const BODY_TIME_AT_STOP: Duration = Duration::from_millis(500);

/// Maximum size of the body of a request that carries no configuration.
const MAX_SMALL_BODY: ByteSize = ByteSize(64 * 1024);

/// Message of a response during a planned stop.
const STOPPING: &str = "this control host stops";

/// Message of a response to a departure that names no incarnation of a server that is not known.
const UNKNOWN_SERVER: &str = "no server with this id is known; name its start in the body\n";

/// Handles HTTP requests by forwarding them to the driver.
pub(crate) struct RequestHandler {
    tx: mpsc::Sender<DriverEvent>,
    /// Port of the request listener, which is the same on all control hosts.
    port: u16,
    announcement_lifetime: Millis,
    close: CloseSignal,
}

impl RequestHandler {
    pub(crate) fn new(
        settings: &RegistrySettings,
        tx: mpsc::Sender<DriverEvent>,
        close: CloseSignal,
    ) -> Self {
        let port = settings.request_address.port();
        Self { tx, port, announcement_lifetime: settings.announcement_lifetime_ms, close }
    }

    /// Handles one HTTP request.
    pub(crate) async fn handle(
        self: Rc<Self>,
        req: HttpRequest<Incoming>,
        state: Rc<ConnectionState>,
    ) -> Reply {
        let (head, body) = req.into_parts();
        let path = head.uri.path();
        let Some(call) = ControlCall::of(&head.method, path) else {
            return http::text(StatusCode::NOT_FOUND, "no such call\n");
        };
        let size = match call {
            ControlCall::PutConfig => ByteSize(MAX_CONFIG_BYTES as u64),
            _ => MAX_SMALL_BODY,
        };
        let stall_time = state.stall_time();
        // Its sender has given up long before.
        let deadline = Some(Instant::now() + stall_time);
        let limits = ReadLimits { size, deadline, stall_time };
        let body = tokio::select! {
            biased;
            body = body::read_request(&state, body, limits) => body,
            () = self.body_time_over() => {
                log::warn!(path:% = path; "the process stops before the request body is complete");
                return unavailable(STOPPING);
            }
        };
        let ready = body.and_then(|it| state.begin_work().map(|()| it).map_err(BodyError::Refused));
        let body = match ready {
            Ok(body) => body,
            Err(e) => {
                log::debug!(path:% = path, error:% = e; "cannot read the request body");
                return http::body_error(&e, &state);
            }
        };
        let request = match self.decode(call, &body.to_bytes()) {
            Ok(request) => request,
            Err(message) => {
                log::warn!(path:% = path, error:% = message; "invalid request rejected");
                return http::text(StatusCode::BAD_REQUEST, format!("{message}\n"));
            }
        };
        // The request takes no more than its body, which is accounted for until the answer.
        let _charge = body.into_charge();
        let version = match &request {
            Request::PutConfig(it) => Some(it.version),
            _ => None,
        };
        let answer = self.submit(request).await;
        log_answer(call, path, version, &answer);
        self.reply(call, path, answer)
    }

    /// Completes when a planned stop no longer waits for request bodies.
    async fn body_time_over(&self) {
        self.close.clone().received().await;
        sleep(BODY_TIME_AT_STOP).await;
    }

    fn decode(&self, call: ControlCall<'_>, body: &Bytes) -> Result<Request, String> {
        match call {
            ControlCall::PutConfig => {
                let config = decode_config(body)?;
                let packed_text = pack_text(body);
                Ok(Request::PutConfig(ConfigDocument { version: config.version, packed_text }))
            }
            ControlCall::ReadConfig => Ok(Request::ReadConfig),
            ControlCall::Announce(id) => {
                let decoded =
                    announcements::decode_announcement(id, body, self.announcement_lifetime);
                decoded.map(Request::Announce).map_err(|e| e.to_string())
            }
            ControlCall::Leave(id) => {
                let decoded = announcements::decode_departure(id, body);
                let (server, incarnation) = decoded.map_err(|e| e.to_string())?;
                Ok(Request::Leave { server, incarnation })
            }
        }
    }

    /// Passes a request to the driver; returns `None` if the process is stopping.
    async fn submit(&self, request: Request) -> Option<Answer> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(DriverEvent::Request(request, tx)).await.ok()?;
        rx.await.ok()
    }

    fn reply(&self, call: ControlCall<'_>, path: &str, answer: Option<Answer>) -> Reply {
        match answer {
            Some(Answer::Accepted) => match call {
                ControlCall::Announce(_) | ControlCall::Leave(_) => {
                    http::json(StatusCode::OK, announcements::encode_announce_response(None))
                }
                ControlCall::PutConfig | ControlCall::ReadConfig => {
                    http::text(StatusCode::OK, Bytes::new())
                }
            },
            Some(Answer::AnnouncementAccepted { next }) => {
                let next = next.map(|it| peers::address_of(it, self.port));
                http::json(StatusCode::OK, announcements::encode_announce_response(next))
            }
            Some(Answer::Config(it)) => config_response(&it),
            Some(Answer::NoConfig) => unavailable("no configuration was put yet"),
            Some(Answer::UnknownServer) => http::text(StatusCode::NOT_FOUND, UNKNOWN_SERVER),
            Some(Answer::AskLeader(leader)) => self.redirect(leader, path),
            Some(Answer::Unavailable(reason)) => unavailable(&reason.to_string()),
            None => unavailable(STOPPING),
        }
    }

    fn redirect(&self, leader: HostId, path: &str) -> Reply {
        let location = format!("http://{}{path}", peers::address_of(leader, self.port));
        let Ok(value) = HeaderValue::from_str(&location) else {
            return unavailable("the leader cannot be named");
        };
        let mut reply: Reply = Response::new(Bytes::new().into());
        *reply.status_mut() = StatusCode::TEMPORARY_REDIRECT;
        reply.headers_mut().insert(header::LOCATION, value);
        reply
    }
}

fn decode_config(text: &[u8]) -> Result<GatewayConfig, String> {
    let submitted = configuration::decode_submitted(text).map_err(|e| e.to_string())?;
    submitted.check().map_err(|e| e.to_string())?;
    Ok(submitted.config)
}

fn config_response(config: &ConfigDocument) -> Reply {
    match unpack_text(&config.packed_text) {
        Ok(text) => http::json(StatusCode::OK, text),
        Err(e) => {
            log::error!(
                version = config.version.0,
                error:% = e;
                "cannot decompress the configuration"
            );
            unavailable("the configuration cannot be read")
        }
    }
}

fn unavailable(message: &str) -> Reply {
    http::text(StatusCode::SERVICE_UNAVAILABLE, format!("{message}\n"))
}

/// Logs all requests except announcements that were accepted or redirected.
fn log_answer(
    call: ControlCall<'_>,
    path: &str,
    version: Option<ids::ConfigVersion>,
    answer: &Option<Answer>,
) {
    let outcome = match answer {
        Some(Answer::Accepted | Answer::AnnouncementAccepted { .. }) => "accepted".to_owned(),
        Some(Answer::Config(it)) => format!("version {}", it.version),
        Some(Answer::NoConfig) => "no configuration".to_owned(),
        Some(Answer::UnknownServer) => "unknown server".to_owned(),
        Some(Answer::AskLeader(leader)) => {
            format!("redirected to {}", peers::address_of(*leader, 0).ip())
        }
        Some(Answer::Unavailable(reason)) => reason.to_string(),
        None => "stopping".to_owned(),
    };
    let is_routine = matches!(call, ControlCall::Announce(_))
        && matches!(answer, Some(Answer::AnnouncementAccepted { .. } | Answer::AskLeader(_)));
    if is_routine {
        return;
    }
    let version = version.unwrap_or_default();
    log::info!(path:% = path, version = version.0, outcome:% = outcome; "request answered");
}
