//! The HTTP server: accepts connections, runs requests and sheds those beyond its queue.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use ids::{DataCentreName, Incarnation, Millis, ServerId, ServiceName};
use schema::announcement::{Announcement, ServerState};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    task::JoinHandle,
};

use crate::{
    announcer::Announcer,
    behaviour::{Behaviour, Controls, Runs},
    body::{Aborted, ResponseBody},
    status_stream::{StatusStream, replaced_status},
};

/// Maximum requests that wait for a slot, per slot; more are shed.
const MAX_WAITING_PER_SLOT: u32 = 4;

/// The settings of a stand-in server.
#[derive(Debug, Clone)]
pub struct StandInSettings {
    /// Id of the server.
    pub server: ServerId,
    /// The service that the server provides.
    pub service: ServiceName,
    /// The data centre that the server announces.
    pub data_centre: DataCentreName,
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// The address to bind.
    pub address: SocketAddr,
    /// The address to announce, if it differs from the bound one.
    pub announced_address: Option<SocketAddr>,
    /// Caller addresses of the entry hosts to announce the server to.
    pub entry_hosts: Vec<SocketAddr>,
    /// Requests that the server runs at a time.
    pub slots: u32,
    /// Time that running a request takes.
    pub service_time: Millis,
    /// Time after which an announcement that was not renewed expires.
    pub lifetime: Millis,
    /// Path whose requests crash the server.
    pub crash_path: Option<String>,
}

/// A stand-in server that runs in this process.
pub struct StandIn {
    /// The address that the server listens on.
    pub address: SocketAddr,
    state: Arc<State>,
    announcer: Arc<Announcer>,
    tasks: [JoinHandle<()>; 2],
}

struct State {
    settings: StandInSettings,
    controls: Arc<Controls>,
    runs: Runs,
    slots: Semaphore,
    /// Requests that wait for a slot or are running.
    pending: AtomicU32,
    /// Set when the server is killed or crashes; closes all connections.
    stopped: watch::Sender<bool>,
}

impl StandIn {
    /// Returns the id of the server.
    pub fn id(&self) -> &ServerId {
        &self.state.settings.server
    }

    /// Returns the counts of the requests that the server ran.
    pub fn runs(&self) -> &Runs {
        &self.state.runs
    }

    /// Changes how the server handles requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.controls.set_behaviour(behaviour);
    }

    /// Changes the time that running a request takes.
    pub fn set_service_time(&self, time: Millis) {
        self.state.controls.set_service_time(time);
    }

    /// Announces that the server drains; returns whether an entry host accepted it.
    pub async fn drain(&self) -> bool {
        self.announcer.set_state(ServerState::Draining).await
    }

    /// Stops at once, like a killed process; closes all connections.
    pub fn kill(&self) {
        self.state.stopped.send_replace(true);
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    /// Returns whether the server was killed or crashed by a request.
    pub fn has_stopped(&self) -> bool {
        *self.state.stopped.borrow()
    }
}

/// Starts a server and its announcements.
pub async fn start(settings: StandInSettings) -> io::Result<StandIn> {
    let listener = TcpListener::bind(settings.address).await?;
    let address = listener.local_addr()?;
    let announcement = Announcement {
        server: settings.server.clone(),
        service: settings.service.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.announced_address.unwrap_or(address),
        incarnation: settings.incarnation,
        sequence: 0,
        state: ServerState::Serving,
        slots: settings.slots,
        lifetime_ms: settings.lifetime,
    };
    let announcer = Arc::new(Announcer::new(announcement, settings.entry_hosts.clone()));
    let state = Arc::new(State {
        controls: Arc::new(Controls::new(settings.service_time)),
        runs: Runs::default(),
        slots: Semaphore::new(settings.slots as usize),
        pending: AtomicU32::new(0),
        stopped: watch::Sender::new(false),
        settings,
    });
    let tasks =
        [tokio::spawn(accept_all(listener, state.clone())), tokio::spawn(announcer.clone().run())];
    Ok(StandIn { address, state, announcer, tasks })
}

async fn accept_all(listener: TcpListener, state: Arc<State>) {
    let mut stopped = state.stopped.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|it| *it) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        // Nagle's algorithm would delay small answers until the client's acknowledgement.
        let _ = stream.set_nodelay(true);
        let state = state.clone();
        let (mut stopped, controls) = (state.stopped.subscribe(), state.controls.clone());
        tokio::spawn(async move {
            let handler = service_fn(move |req| handle(state.clone(), req));
            let stream = TokioIo::new(StatusStream::new(stream, controls));
            let connection = http1::Builder::new().serve_connection(stream, handler);
            // Errors are ignored: some behaviours close the connection on purpose.
            tokio::select! {
                _ = connection => {}
                _ = stopped.wait_for(|it| *it) => {}
            }
        });
    }
}

/// Crashes, sheds or runs a request, according to the settings, the behaviour and the queue.
async fn handle(
    state: Arc<State>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Aborted> {
    if state.settings.crash_path.as_deref() == Some(req.uri().path()) {
        state.stopped.send_replace(true);
        return Err(Aborted);
    }
    let behaviour = state.controls.behaviour();
    if behaviour == Behaviour::Shedding {
        return Ok(shed());
    }
    let max_pending = state.settings.slots * (MAX_WAITING_PER_SLOT + 1);
    if state.pending.fetch_add(1, Ordering::SeqCst) >= max_pending {
        state.pending.fetch_sub(1, Ordering::SeqCst);
        return Ok(shed());
    }
    let pending = PendingGuard(&state.pending);
    let result = run(&state, req, behaviour).await;
    drop(pending);
    result
}

/// Counts a request as pending until it is dropped.
struct PendingGuard<'a>(&'a AtomicU32);

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Waits for a slot, counts the request and answers it according to `behaviour`.
async fn run(
    state: &State,
    req: Request<Incoming>,
    behaviour: Behaviour,
) -> Result<Response<ResponseBody>, Aborted> {
    let (head, body) = req.into_parts();
    let Ok(body) = body.collect().await else { return Err(Aborted) };
    let body = body.to_bytes();
    let is_probe = head.headers.contains_key("daisypaddle-probe");
    let attempt_id = head.headers.get("daisypaddle-request").cloned();
    let Ok(_slot) = state.slots.acquire().await else { return Err(Aborted) };
    let key = head.headers.get("idempotency-key").and_then(|it| it.to_str().ok());
    match is_probe {
        true => state.runs.count_probe(),
        false => state.runs.count(key),
    }
    tokio::time::sleep(state.controls.service_time()).await;
    let text = format!("{} {} {} ", state.settings.server, head.method, head.uri.path());
    let mut echo = text.into_bytes();
    echo.extend_from_slice(&body);
    let mut response = match behaviour {
        Behaviour::Healthy => Response::new(ResponseBody::complete(echo)),
        Behaviour::Failing => with_status(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
        Behaviour::Answering(_) if !is_probe => with_status(replaced_status(), "a status\n"),
        Behaviour::Answering(_) => Response::new(ResponseBody::complete(echo)),
        Behaviour::Hanging => std::future::pending().await,
        Behaviour::Truncating => Response::new(ResponseBody::cut_off(echo)),
        Behaviour::WrongAnswer => with_status(StatusCode::OK, "somebody else's answer\n"),
        Behaviour::Shedding => shed(),
        Behaviour::ResettingRequests if is_probe => Response::new(ResponseBody::complete(echo)),
        Behaviour::Resetting | Behaviour::ResettingRequests => return Err(Aborted),
    };
    let headers = response.headers_mut();
    headers.insert("daisypaddle-load", state.pending.load(Ordering::SeqCst).into());
    match (behaviour, attempt_id) {
        (Behaviour::WrongAnswer, _) => {
            headers.insert("daisypaddle-request", "another".parse().expect("a valid header value"));
        }
        (_, Some(attempt_id)) => {
            headers.insert("daisypaddle-request", attempt_id);
        }
        (_, None) => {}
    }
    Ok(response)
}

/// Returns the answer of a server that is too busy to run the request.
fn shed() -> Response<ResponseBody> {
    let mut response = with_status(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
    let headers = response.headers_mut();
    headers.insert("daisypaddle-shed", 1.into());
    headers.insert("retry-after", 1.into());
    response
}

fn with_status(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(text.as_bytes().to_vec()));
    *response.status_mut() = status;
    response
}
